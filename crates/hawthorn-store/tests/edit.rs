//! Configuration edits: racing editors, lost answers, outages, history.

mod support;

use std::error::Error;
use std::time::Duration;

use hawthorn_store::NotRunCause;
use hawthorn_store::UncertainCause;
use hawthorn_store::edit;
use hawthorn_store::edit::Options;
use hawthorn_store::edit::Outcome;
use hawthorn_store::edit::ProposedEdit;
use hawthorn_store::edit::history;
use tokio::task::JoinSet;
use tokio::time::sleep;

use support::FakeStore;
use support::Fault;
use support::FaultRates;

type TestResult = Result<(), Box<dyn Error>>;

const LATENCY: Duration = Duration::from_millis(3);

fn proposed(base: u64, edit_id: &str) -> ProposedEdit {
    ProposedEdit {
        base,
        edit_id: edit_id.to_owned(),
        author: "port operator".to_owned(),
        changed_at: 1_700_000_000_000,
        inventory: format!("# by {edit_id}"),
        rules: String::new(),
    }
}

async fn make(store: &FakeStore, base: u64, id: &str) -> Result<Outcome, edit::Error> {
    edit::edit(store, &proposed(base, id), &Options::default()).await
}

async fn in_force(store: &FakeStore) -> Result<(u64, String), Box<dyn Error>> {
    let document = edit::current(store).await?.ok_or("no configuration")?;
    Ok((document.revision, document.edit_id))
}

const APPLIED: Result<Outcome, edit::Error> = Ok(Outcome::Applied { revision: 2 });

struct EditCase {
    name: &'static str,
    /// What the writes of the edit meet, in order: the history first, then the document.
    faults: Vec<Fault>,
    outcome: Result<Outcome, edit::Error>,
    in_force: (u64, &'static str),
}

/// The second edit of a configuration meets a store that fails. Whatever it
/// meets, the operator is not told that an edit in force failed, nor the other
/// way round.
#[tokio::test(start_paused = true)]
async fn an_edit_is_told_as_it_is() -> TestResult {
    use Fault::LostAnswer;
    use Fault::None as Well;
    use Fault::Outage;
    let later = |ms| Fault::RunsLater(Duration::from_millis(ms));
    let case = |name, faults: &[Fault], outcome, in_force| EditCase {
        name,
        faults: faults.to_vec(),
        outcome,
        in_force,
    };
    let limited = Err(edit::Error::NotRun(NotRunCause::RateLimited));
    let outage = Ok(Outcome::Uncertain { cause: UncertainCause::Outage });
    let cases = [
        case("well", &[], APPLIED, (2, "b")),
        case("answer lost", &[Well, LostAnswer], APPLIED, (2, "b")),
        case("history's answer lost", &[LostAnswer], APPLIED, (2, "b")),
        case("runs before it is read", &[Well, later(50)], APPLIED, (2, "b")),
        case("runs after the second write", &[Well, later(900)], APPLIED, (2, "b")),
        case("never run", &[Fault::RateLimited; 6], limited, (1, "a")),
        case("outage at each write", &[Well, Outage].repeat(6), outage, (1, "a")),
    ];
    for case in cases {
        let store = FakeStore::new(LATENCY);
        make(&store, 0, "a").await?;
        store.script(case.faults);
        assert_eq!(make(&store, 1, "b").await, case.outcome, "{}", case.name);
        sleep(Duration::from_secs(2)).await;
        let (revision, edit_id) = in_force(&store).await?;
        assert_eq!((revision, edit_id.as_str()), case.in_force, "{}", case.name);
    }
    Ok(())
}

/// Two operators save at once. One wins; the other is shown what is in force
/// now, and nothing of its edit ever takes effect.
#[tokio::test(start_paused = true)]
async fn of_two_racing_editors_one_is_told_of_the_other() -> TestResult {
    let store = FakeStore::new(LATENCY);
    make(&store, 0, "a").await?;
    let (first, second) = tokio::join!(make(&store, 1, "b"), make(&store, 1, "c"));
    let (winner, loser) = if first == APPLIED { ("b", second?) } else { ("c", first?) };
    let Outcome::Conflict { current: Some(current) } = loser else {
        return Err(format!("not a conflict: {loser:?}").into());
    };
    assert_eq!((current.revision, current.edit_id.as_str()), (2, winner));
    assert_eq!(current.parent.as_deref(), Some("a"));
    assert_eq!(in_force(&store).await?, (2, winner.to_owned()));
    Ok(())
}

/// An edit takes effect, its answer is lost, and before its operator can look
/// another one builds on it. The first reads a stranger's document two
/// revisions on: a lost race, were the history not asked.
#[tokio::test(start_paused = true)]
async fn an_edit_that_was_built_upon_is_still_applied() -> TestResult {
    let store = FakeStore::new(LATENCY);
    make(&store, 0, "a").await?;
    store.script([Fault::None, Fault::LostAnswer]);
    let (first, second) = tokio::join!(make(&store, 1, "b"), async {
        sleep(LATENCY * 5).await;
        make(&store, 2, "c").await
    });
    assert_eq!(first, APPLIED);
    assert_eq!(second, Ok(Outcome::Applied { revision: 3 }));
    Ok(())
}

/// The store goes down after the write. The operator is told that it is not
/// known, makes the same edit again an hour later, and learns what became of it.
#[tokio::test(start_paused = true)]
async fn the_same_edit_made_again_finds_out() -> TestResult {
    let store = FakeStore::new(LATENCY);
    make(&store, 0, "a").await?;
    store.script([Fault::None, Fault::LostAnswer]);
    let (first, ()) = tokio::join!(make(&store, 1, "b"), async {
        sleep(LATENCY * 4).await;
        store.set_down(true);
    });
    assert!(matches!(first, Ok(Outcome::Uncertain { .. })), "{first:?}");
    let while_down = make(&store, 1, "c").await;
    assert!(matches!(while_down, Err(edit::Error::Read(_))), "{while_down:?}");
    store.set_down(false);
    make(&store, 2, "d").await?;
    assert_eq!(make(&store, 1, "b").await, APPLIED);
    assert_eq!(in_force(&store).await?, (3, "d".to_owned()));
    Ok(())
}

/// The store comes back from an old copy. An edit on top of it would bring a
/// configuration into force that was replaced long ago.
#[tokio::test(start_paused = true)]
async fn a_store_that_went_back_is_not_built_upon() -> TestResult {
    let store = FakeStore::new(LATENCY);
    make(&store, 0, "a").await?;
    let backup = store.backup();
    make(&store, 1, "b").await?;
    store.restore(backup);
    assert_eq!(make(&store, 2, "c").await, Err(edit::Error::Reverted(1, 2)));
    store.force(edit::CURRENT_KEY, "not JSON");
    let malformed = edit::Error::Malformed(edit::CURRENT_KEY.to_owned());
    assert_eq!(make(&store, 2, "c").await, Err(malformed));
    Ok(())
}

#[tokio::test(start_paused = true)]
async fn a_bounded_number_of_revisions_is_kept() -> TestResult {
    let store = FakeStore::new(LATENCY);
    for base in 0..60 {
        make(&store, base, &format!("edit-{base}")).await?;
    }
    let kept: Vec<u64> = (10..60).collect();
    assert_eq!(history::list(&store).await?, kept);
    let oldest = history::read(&store, 10).await?.ok_or("not kept")?;
    assert_eq!(oldest.edit_id, "edit-9");
    assert_eq!(history::read(&store, 9).await?, None);
    Ok(())
}

/// Makes `count` edits one after the other, each on what is in force, until
/// each is known to be applied.
async fn keep_editing(store: FakeStore, editor: u32, count: u32) -> Result<(), edit::Error> {
    for number in 0..count {
        let mut attempt = 0;
        let mut edit = proposed(0, "");
        let mut settled = true;
        loop {
            if settled {
                let Ok(current) = edit::current(&store).await else {
                    continue;
                };
                attempt += 1;
                let base = current.map_or(0, |document| document.revision);
                edit = proposed(base, &format!("{editor}-{number}-{attempt}"));
            }
            match edit::edit(&store, &edit, &Options::default()).await {
                Ok(Outcome::Applied { .. }) => break,
                Ok(Outcome::Uncertain { .. }) => settled = false,
                Ok(Outcome::Conflict { .. }) => settled = true,
                Err(error @ (edit::Error::Reverted(..) | edit::Error::Malformed(_))) => {
                    return Err(error);
                }
                // Nothing was written; an edit in doubt stays the same edit.
                Err(_) => {}
            }
        }
    }
    Ok(())
}

/// Three operators make five edits each on a store that loses answers. Were
/// one lost answer taken for a lost race, an edit would be made twice; were a
/// lost race taken for a lost answer, one would be missing.
#[test]
fn each_edit_is_applied_exactly_once() -> TestResult {
    let mut writes = 0;
    for seed in 0..60 {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_time().start_paused(true).build()?;
        let (revision, puts) = runtime.block_on(async {
            let rates = FaultRates { outage: 5, lost_answer: 15, runs_later: 15, rate_limited: 5 };
            let store = FakeStore::seeded(LATENCY, rates, seed);
            let mut editors = JoinSet::new();
            for editor in 0..3 {
                editors.spawn(keep_editing(store.clone(), editor, 5));
            }
            for outcome in editors.join_all().await {
                outcome?;
            }
            store.stop_random_faults();
            sleep(Duration::from_secs(1)).await;
            let (revision, _) = in_force(&store).await?;
            Ok::<_, Box<dyn Error>>((revision, store.calls().puts))
        })?;
        assert_eq!(revision, 15, "seed {seed}");
        writes += puts;
    }
    // Fifteen edits of two writes each, had nothing gone wrong.
    assert!(writes > 60 * 30, "the editors did not get in each other's way: {writes}");
    Ok(())
}
