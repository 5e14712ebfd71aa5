//! Configuration edits: concurrent editors, lost answers, outages and history.

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

async fn apply(store: &FakeStore, base: u64, id: &str) -> Result<Outcome, edit::Error> {
    edit::edit(store, &proposed(base, id), &Options::default()).await
}

async fn in_force(store: &FakeStore) -> Result<(u64, String), Box<dyn Error>> {
    let document = edit::current(store).await?.ok_or("no configuration")?;
    Ok((document.revision, document.edit_id))
}

const APPLIED: Result<Outcome, edit::Error> = Ok(Outcome::Applied { revision: 2 });

struct EditCase {
    name: &'static str,
    /// Faults of the edit's writes in order: the history first, then the document.
    faults: Vec<Fault>,
    outcome: Result<Outcome, edit::Error>,
    in_force: (u64, &'static str),
}

/// Guards against an edit in force that is reported as failed, and the reverse, when the store
/// fails during the second edit of a configuration.
#[tokio::test(start_paused = true)]
async fn an_edit_reports_its_actual_outcome() -> TestResult {
    use Fault::LostAnswer;
    use Fault::None as NoFault;
    use Fault::Outage;
    let later = |ms| Fault::RunsLater(Duration::from_millis(ms));
    let case = |name, faults: &[Fault], outcome, in_force| EditCase {
        name,
        faults: faults.to_vec(),
        outcome,
        in_force,
    };
    let rate_limited = Err(edit::Error::NotRun(NotRunCause::RateLimited));
    let outage = Ok(Outcome::Uncertain { cause: UncertainCause::Outage });
    let cases = [
        case("no fault", &[], APPLIED, (2, "b")),
        case("answer lost", &[NoFault, LostAnswer], APPLIED, (2, "b")),
        case("answer of the history write lost", &[LostAnswer], APPLIED, (2, "b")),
        case("runs before it is read", &[NoFault, later(50)], APPLIED, (2, "b")),
        case("runs after the second write", &[NoFault, later(900)], APPLIED, (2, "b")),
        case("never run", &[Fault::RateLimited; 6], rate_limited, (1, "a")),
        case("outage at each write", &[NoFault, Outage].repeat(6), outage, (1, "a")),
    ];
    for case in cases {
        let store = FakeStore::new(LATENCY);
        apply(&store, 0, "a").await?;
        store.script(case.faults);
        assert_eq!(apply(&store, 1, "b").await, case.outcome, "{}", case.name);
        sleep(Duration::from_secs(2)).await;
        let (revision, edit_id) = in_force(&store).await?;
        assert_eq!((revision, edit_id.as_str()), case.in_force, "{}", case.name);
    }
    Ok(())
}

/// Two operators edit at the same time. One edit is applied; the other is rejected with the
/// configuration in force and never takes effect.
#[tokio::test(start_paused = true)]
async fn of_two_concurrent_edits_one_is_applied_and_one_conflicts() -> TestResult {
    let store = FakeStore::new(LATENCY);
    apply(&store, 0, "a").await?;
    let (first, second) = tokio::join!(apply(&store, 1, "b"), apply(&store, 1, "c"));
    let (winner, loser) = if first == APPLIED { ("b", second?) } else { ("c", first?) };
    let Outcome::Conflict { current: Some(current) } = loser else {
        return Err(format!("not a conflict: {loser:?}").into());
    };
    assert_eq!((current.revision, current.edit_id.as_str()), (2, winner));
    assert_eq!(current.parent.as_deref(), Some("a"));
    assert_eq!(in_force(&store).await?, (2, winner.to_owned()));
    Ok(())
}

/// Guards against an applied edit that is reported as a conflict: its answer is lost, and
/// another edit replaces it before it is read back. Only the history contains its id.
#[tokio::test(start_paused = true)]
async fn an_edit_replaced_before_it_is_read_back_counts_as_applied() -> TestResult {
    let store = FakeStore::new(LATENCY);
    apply(&store, 0, "a").await?;
    store.script([Fault::None, Fault::LostAnswer]);
    let (first, second) = tokio::join!(apply(&store, 1, "b"), async {
        sleep(LATENCY * 5).await;
        apply(&store, 2, "c").await
    });
    assert_eq!(first, APPLIED);
    assert_eq!(second, Ok(Outcome::Applied { revision: 3 }));
    Ok(())
}

/// The store fails after the write, so the outcome is uncertain. Repeating the edit with the
/// same id, after other edits, returns its actual outcome.
#[tokio::test(start_paused = true)]
async fn repeating_an_uncertain_edit_resolves_its_outcome() -> TestResult {
    let store = FakeStore::new(LATENCY);
    apply(&store, 0, "a").await?;
    store.script([Fault::None, Fault::LostAnswer]);
    let (first, ()) = tokio::join!(apply(&store, 1, "b"), async {
        sleep(LATENCY * 4).await;
        store.set_down(true);
    });
    assert!(matches!(first, Ok(Outcome::Uncertain { .. })), "{first:?}");
    let while_down = apply(&store, 1, "c").await;
    assert!(matches!(while_down, Err(edit::Error::Read(_))), "{while_down:?}");
    store.set_down(false);
    apply(&store, 2, "d").await?;
    assert_eq!(apply(&store, 1, "b").await, APPLIED);
    assert_eq!(in_force(&store).await?, (3, "d".to_owned()));
    Ok(())
}

/// Guards against edits on a store restored from an old backup, which would bring a
/// configuration into force that was replaced before.
#[tokio::test(start_paused = true)]
async fn an_edit_on_a_reverted_store_is_rejected() -> TestResult {
    let store = FakeStore::new(LATENCY);
    apply(&store, 0, "a").await?;
    let backup = store.backup();
    apply(&store, 1, "b").await?;
    store.restore(backup);
    assert_eq!(apply(&store, 2, "c").await, Err(edit::Error::Reverted(1, 2)));
    store.force(edit::CURRENT_KEY, "not JSON");
    let malformed = edit::Error::Malformed(edit::CURRENT_KEY.to_owned());
    assert_eq!(apply(&store, 2, "c").await, Err(malformed));
    Ok(())
}

#[tokio::test(start_paused = true)]
async fn a_bounded_number_of_revisions_is_kept() -> TestResult {
    let store = FakeStore::new(LATENCY);
    for base in 0..60 {
        apply(&store, base, &format!("edit-{base}")).await?;
    }
    let kept: Vec<u64> = (10..60).collect();
    assert_eq!(history::list(&store).await?, kept);
    let oldest = history::read(&store, 10).await?.ok_or("not kept")?;
    assert_eq!(oldest.edit_id, "edit-9");
    assert_eq!(history::read(&store, 9).await?, None);
    Ok(())
}

/// Makes `count` edits in sequence, each on the configuration in force. Repeats each until it
/// is known to be applied.
async fn keep_editing(store: FakeStore, editor: u32, count: u32) -> Result<(), edit::Error> {
    for number in 0..count {
        let mut attempt = 0;
        let mut edit = proposed(0, "");
        let mut resolved = true;
        loop {
            if resolved {
                let Ok(current) = edit::current(&store).await else {
                    continue;
                };
                attempt += 1;
                let base = current.map_or(0, |document| document.revision);
                edit = proposed(base, &format!("{editor}-{number}-{attempt}"));
            }
            match edit::edit(&store, &edit, &Options::default()).await {
                Ok(Outcome::Applied { .. }) => break,
                Ok(Outcome::Uncertain { .. }) => resolved = false,
                Ok(Outcome::Conflict { .. }) => resolved = true,
                Err(error @ (edit::Error::Reverted(..) | edit::Error::Malformed(_))) => {
                    return Err(error);
                }
                // Nothing was written; an uncertain edit keeps its id.
                Err(_) => {}
            }
        }
    }
    Ok(())
}

/// Three operators make five edits each on a store that loses answers. Guards against a lost
/// answer taken for a conflict, which applies an edit twice, and against a conflict taken for a
/// lost answer, which loses one.
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
    // Without faults there are two writes for each of the fifteen edits.
    assert!(writes > 60 * 30, "the editors did not conflict: {writes}");
    Ok(())
}
