//! Claims: at most one run for a request id, whatever the store does.

mod support;

use std::cell::Cell;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use hawthorn_store::ClaimKeeper;
use hawthorn_store::claim;
use hawthorn_store::claim::ClaimAsk;
use hawthorn_store::claim::ClaimEvent;
use hawthorn_store::claim::ClaimGrant;
use hawthorn_store::claim::GrantExpired;
use hawthorn_store::claim::Outcome;
use hawthorn_store::claim::ProcessSeed;
use hawthorn_store::claim::UnavailableCause;
use hawthorn_types::CallerOutcome;
use hawthorn_types::RefusalReason;
use hawthorn_types::UnknownReason;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use support::FakeStore;
use support::Fault;
use support::FaultRates;
use support::load;
use support::load::ClaimLoad;

type TestResult = Result<(), Box<dyn Error>>;

const NOW: u64 = 1_700_000_000;
const LATENCY: Duration = Duration::from_millis(3);
/// Long enough for every write on its way and every claim given back.
const SETTLED: Duration = Duration::from_secs(2);

fn unix(second: u64) -> Duration {
    Duration::from_secs(second)
}

fn options() -> claim::Options {
    claim::Options { buckets: 1, ..claim::Options::default() }
}

fn keeper(store: &FakeStore, seed: u64) -> ClaimKeeper {
    let cancel = CancellationToken::new();
    ClaimKeeper::spawn(Arc::new(store.clone()), ProcessSeed(seed), &cancel, options())
}

fn ask(request_id: &str) -> ClaimAsk {
    ClaimAsk {
        caller: "port-desk".to_owned(),
        request_id: request_id.to_owned(),
        deadline: Instant::now() + Duration::from_millis(800),
        unix_now: unix(NOW),
    }
}

fn granted(outcome: Outcome) -> Result<ClaimGrant, String> {
    match outcome {
        Outcome::Granted(grant) => Ok(grant),
        other => Err(format!("not granted: {other:?}")),
    }
}

fn dispatch(grant: ClaimGrant) -> Result<(), GrantExpired> {
    grant.dispatch(Instant::now(), unix(NOW)).map(|_permit| ())
}

/// One entry per fault: the writes of the first send meet these, in order.
struct LostCase {
    name: &'static str,
    faults: Vec<Fault>,
    /// Exchanges with the store until the claim is granted.
    writes: u64,
    reads: u64,
}

/// The store writes a claim and its answer is lost, or is slow to take effect.
/// Written again without a look, it would meet itself, be taken for another
/// host's, and the order would be refused as already sent.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_told_from_a_lost_race() -> TestResult {
    let later = Fault::RunsLater(Duration::from_millis(24));
    let much_later = Fault::RunsLater(Duration::from_millis(500));
    let cases = [
        LostCase { name: "nothing wrong", faults: vec![], writes: 1, reads: 0 },
        LostCase { name: "rate limited", faults: vec![Fault::RateLimited], writes: 2, reads: 0 },
        LostCase { name: "outage", faults: vec![Fault::Outage], writes: 2, reads: 1 },
        LostCase { name: "answer lost", faults: vec![Fault::LostAnswer], writes: 1, reads: 1 },
        LostCase { name: "runs before the second write", faults: vec![later], writes: 2, reads: 2 },
        LostCase {
            name: "runs after the second write",
            faults: vec![much_later],
            writes: 2,
            reads: 1,
        },
        LostCase {
            name: "lost twice",
            faults: vec![much_later, Fault::LostAnswer],
            writes: 2,
            reads: 2,
        },
    ];
    for case in cases {
        let store = FakeStore::new(LATENCY);
        let (first, second) = (keeper(&store, 1), keeper(&store, 2));
        store.script(case.faults);
        let grant = granted(first.claim(ask("1700000000-a")).await)?;
        let calls = store.calls();
        assert_eq!((calls.puts, calls.gets), (case.writes, case.reads), "{}", case.name);
        dispatch(grant)?;
        sleep(SETTLED).await;
        for keeper in [&first, &second] {
            let outcome = keeper.claim(ask("1700000000-a")).await;
            assert!(matches!(outcome, Outcome::HeldEarlier), "{}: {outcome:?}", case.name);
            let told = CallerOutcome::Unknown(UnknownReason::ClaimedEarlier);
            assert_eq!(outcome.refusal(), Some(told), "{}", case.name);
        }
    }
    Ok(())
}

struct OutageCase {
    name: &'static str,
    first_write: Fault,
    /// The first send is in doubt, as opposed to certainly not recorded.
    uncertain: bool,
}

/// The store goes down in the middle of a claim and comes back a minute later.
/// The agent is told `not-run` and sends the same id again to another host.
/// Left in the store, the first claim would block that order for ten minutes.
#[tokio::test(start_paused = true)]
async fn a_claim_in_doubt_is_taken_out_when_the_store_is_back() -> TestResult {
    let later = Fault::RunsLater(Duration::from_secs(20));
    let cases = [
        OutageCase { name: "not recorded", first_write: Fault::Outage, uncertain: true },
        OutageCase { name: "recorded", first_write: Fault::LostAnswer, uncertain: true },
        OutageCase { name: "recorded later", first_write: later, uncertain: true },
        OutageCase { name: "never run", first_write: Fault::RateLimited, uncertain: false },
    ];
    for case in cases {
        let store = FakeStore::new(LATENCY);
        let (first, second) = (keeper(&store, 1), keeper(&store, 2));
        let rate_limited = [Fault::RateLimited; 7];
        store.script([case.first_write].into_iter().chain(rate_limited));
        let claim = tokio::spawn({
            let first = first.clone();
            async move { first.claim(ask("1700000000-a")).await }
        });
        sleep(Duration::from_millis(2)).await;
        if case.uncertain {
            store.set_down(true);
        }
        let outcome = claim.await?;
        let is_uncertain = matches!(outcome, Outcome::Uncertain);
        assert_eq!(is_uncertain, case.uncertain, "{}: {outcome:?}", case.name);
        let told = CallerOutcome::NotRun(RefusalReason::ClaimUnavailable);
        assert_eq!(outcome.refusal(), Some(told), "{}", case.name);
        assert_eq!(first.retry_after(&outcome), Some(Duration::from_secs(1)), "{}", case.name);
        if case.uncertain {
            // While it is down nothing is written, so nothing more is in doubt.
            let outcome = first.claim(ask("1700000000-b")).await;
            let unavailable = matches!(outcome, Outcome::Unavailable(UnavailableCause::Store));
            assert!(unavailable, "{}: {outcome:?}", case.name);
        }
        sleep(Duration::from_secs(60)).await;
        store.set_down(false);
        sleep(SETTLED).await;
        dispatch(granted(second.claim(ask("1700000000-a")).await)?)?;
        let outcome = first.claim(ask("1700000000-a")).await;
        assert!(matches!(outcome, Outcome::HeldEarlier), "{}: {outcome:?}", case.name);
    }
    Ok(())
}

/// A claim is granted, and then no target has a free slot. The agent is told
/// `not-run`; sent again, the order must not meet its own unused claim.
#[tokio::test(start_paused = true)]
async fn a_grant_that_is_not_used_goes_back() -> TestResult {
    let store = FakeStore::new(LATENCY);
    let (first, second) = (keeper(&store, 1), keeper(&store, 2));
    drop(granted(first.claim(ask("1700000000-a")).await)?);
    // Before the claim is out of the store, another host cannot tell it from a used one.
    let outcome = second.claim(ask("1700000000-a")).await;
    assert!(matches!(outcome, Outcome::HeldEarlier), "{outcome:?}");
    // The keeper that gave it back can.
    drop(granted(first.claim(ask("1700000000-a")).await)?);
    sleep(SETTLED).await;
    dispatch(granted(second.claim(ask("1700000000-a")).await)?)?;
    Ok(())
}

/// The process is paused between claim and dispatch, and wakes after the agent
/// has given up, or, where the monotonic clock stood still as well, after the
/// claim was swept. A barge would come that nobody expects.
#[tokio::test(start_paused = true)]
async fn a_paused_holder_does_not_dispatch() -> TestResult {
    let store = FakeStore::new(LATENCY);
    let keeper = keeper(&store, 1);
    let grant = granted(keeper.claim(ask("1700000000-a")).await)?;
    tokio::time::advance(Duration::from_secs(2)).await;
    assert_eq!(dispatch(grant), Err(GrantExpired::DeadlinePast));
    let grant = granted(keeper.claim(ask("1700000000-b")).await)?;
    let woken = unix(NOW + 601);
    let outcome = grant.dispatch(Instant::now(), woken).map(|_permit| ());
    assert_eq!(outcome, Err(GrantExpired::TooOld));
    Ok(())
}

/// The store hangs. The agent gets its answer at its deadline, not at the
/// store's; what is still queued behind the hanging write is certainly not run.
#[tokio::test(start_paused = true)]
async fn a_hanging_store_holds_no_caller_beyond_its_deadline() -> TestResult {
    let store = FakeStore::new(Duration::from_secs(30));
    let keeper = keeper(&store, 1);
    let started = Instant::now();
    let (first, queued) = tokio::join!(keeper.claim(ask("1700000000-a")), async {
        sleep(LATENCY).await;
        keeper.claim(ask("1700000000-b")).await
    });
    assert!(matches!(first, Outcome::Uncertain), "{first:?}");
    let expired = matches!(queued, Outcome::Unavailable(UnavailableCause::Expired));
    assert!(expired, "{queued:?}");
    assert!(started.elapsed() <= Duration::from_millis(810));
    Ok(())
}

/// The store comes back from a copy that lacks the last claims. Their orders
/// have run; granted again, a second barge goes to the same vessel.
#[tokio::test(start_paused = true)]
async fn claims_lost_by_a_restored_store_are_put_back() -> TestResult {
    let store = FakeStore::new(LATENCY);
    let keeper = keeper(&store, 1);
    dispatch(granted(keeper.claim(ask("1700000000-a")).await)?)?;
    let backup = store.backup();
    dispatch(granted(keeper.claim(ask("1700000000-b")).await)?)?;
    store.restore(backup);
    dispatch(granted(keeper.claim(ask("1700000000-c")).await)?)?;
    let outcome = keeper.claim(ask("1700000000-b")).await;
    assert!(matches!(outcome, Outcome::HeldEarlier), "{outcome:?}");
    assert_eq!(keeper.counts().get(ClaimEvent::StoreWentBack), 1);
    Ok(())
}

struct StampCase {
    request_id: &'static str,
    refusal: Option<RefusalReason>,
}

#[tokio::test(start_paused = true)]
async fn an_id_outside_the_window_is_refused() -> TestResult {
    let refused = |request_id, reason| StampCase { request_id, refusal: Some(reason) };
    let granted = |request_id| StampCase { request_id, refusal: None };
    let cases = [
        granted("1700000000-x"),
        granted("1700000005-skewed"),
        refused("1700000006-x", RefusalReason::RequestIdInFuture),
        granted("1699999400-oldest"),
        refused("1699999399-x", RefusalReason::RequestIdTooOld),
        refused("1700000000", RefusalReason::BadRequestId),
        refused("1700000000-", RefusalReason::BadRequestId),
        refused("-x", RefusalReason::BadRequestId),
        refused("+1700000000-x", RefusalReason::BadRequestId),
        refused("1700000000-x y", RefusalReason::BadRequestId),
        refused("99999999999999999999-x", RefusalReason::BadRequestId),
    ];
    let store = FakeStore::new(LATENCY);
    let keeper = keeper(&store, 1);
    for case in cases {
        let outcome = keeper.claim(ask(case.request_id)).await;
        let refusal = outcome.refusal();
        assert_eq!(refusal, case.refusal.map(CallerOutcome::NotRun), "{}", case.request_id);
    }
    Ok(())
}

/// A claim is deleted while a slow clock still accepts its id: the same order,
/// sent again, runs a second time.
#[tokio::test(start_paused = true)]
async fn claims_outlive_every_clock_that_accepts_their_ids() -> TestResult {
    let store = FakeStore::new(LATENCY);
    let options = options();
    let span = NOW / options.span;
    let gone_at = unix((span + 1) * options.span) + options.window + options.margin;
    store.force(&format!("claims/0/{span}"), "{}");
    store.force("claims/0/other", "{}");
    let before = claim::sweep(&store, 0, gone_at - Duration::from_secs(1), &options).await?;
    assert_eq!((before.kept, before.deleted), (2, 0));
    let after = claim::sweep(&store, 0, gone_at, &options).await?;
    assert_eq!((after.kept, after.deleted), (1, 1));
    Ok(())
}

#[tokio::test(start_paused = true)]
async fn a_stopping_keeper_grants_nothing() -> TestResult {
    let store = FakeStore::new(LATENCY);
    let cancel = CancellationToken::new();
    let keeper = ClaimKeeper::spawn(Arc::new(store), ProcessSeed(1), &cancel, options());
    cancel.cancel();
    sleep(SETTLED).await;
    let outcome = keeper.claim(ask("1700000000-a")).await;
    let told = CallerOutcome::NotRun(RefusalReason::Stopping);
    assert_eq!(outcome.refusal(), Some(told), "{outcome:?}");
    Ok(())
}

struct RateCase {
    rate: u64,
    buckets: u32,
    /// Bounds on the calls for 100 claims and on the writes a second.
    calls: f64,
    writes: f64,
}

/// Every agent confirms orders at once. One write each would take the whole of
/// the store's several hundred a second, and configuration edits with it.
#[tokio::test(start_paused = true)]
async fn writes_are_bounded_whatever_the_rate() -> TestResult {
    let cases = [
        RateCase { rate: 10, buckets: 8, calls: 100.0, writes: 11.0 },
        RateCase { rate: 100, buckets: 8, calls: 100.0, writes: 101.0 },
        RateCase { rate: 1000, buckets: 8, calls: 30.0, writes: 320.0 },
        RateCase { rate: 1000, buckets: 2, calls: 8.0, writes: 80.0 },
    ];
    for case in cases {
        let options = claim::Options { buckets: case.buckets, ..options() };
        let load = ClaimLoad { rate: case.rate, seconds: 5, hosts: 1 };
        let cost = load::steady(load, options, LATENCY).await?;
        assert!(cost.calls_per_hundred <= case.calls, "{} a second: {cost:?}", case.rate);
        assert!(cost.writes_per_second <= case.writes, "{} a second: {cost:?}", case.rate);
        // A write that just left, the pause after it, and the next write.
        let longest = LATENCY + options.min_interval + LATENCY * 2;
        assert!(cost.slowest <= longest, "{} a second: {cost:?}", case.rate);
    }
    Ok(())
}

#[derive(Clone, Debug)]
struct Send {
    host: usize,
    id: u32,
    at: u64,
    used: bool,
}

fn any_sends() -> impl Strategy<Value = (Vec<Send>, u64)> {
    let send = (0_usize..3, 0_u32..3, 0_u64..400, any::<bool>())
        .prop_map(|(host, id, at, used)| Send { host, id, at, used });
    (proptest::collection::vec(send, 1..16), any::<u64>())
}

/// Three hosts claim the same few ids at random moments on a store that loses
/// answers, delays writes and fails. Used grants are counted for each id. When
/// the store is well again, an id that never ran can still run, once.
async fn interleave(sends: Vec<Send>, seed: u64) -> Result<u32, String> {
    let rates = FaultRates { outage: 12, lost_answer: 15, runs_later: 15, rate_limited: 5 };
    let store = FakeStore::seeded(LATENCY, rates, seed);
    let hosts: Vec<ClaimKeeper> = (0..3).map(|host| keeper(&store, host)).collect();
    let mut claims = JoinSet::new();
    for send in sends {
        let keeper = hosts[send.host].clone();
        claims.spawn(async move {
            sleep(Duration::from_millis(send.at)).await;
            let outcome = keeper.claim(ask(&format!("1700000000-{}", send.id))).await;
            match outcome {
                Outcome::Granted(grant) if send.used => dispatch(grant).is_ok().then_some(send.id),
                _ => None,
            }
        });
    }
    let ran: Vec<u32> = claims.join_all().await.into_iter().flatten().collect();
    store.stop_random_faults();
    sleep(SETTLED * 4).await;
    for id in 0..3 {
        let runs = ran.iter().filter(|run| **run == id).count();
        let last = hosts[id as usize].claim(ask(&format!("1700000000-{id}"))).await;
        let is_granted = matches!(last, Outcome::Granted(_));
        if runs > 1 || is_granted != (runs == 0) {
            return Err(format!("id {id} ran {runs} times, then {last:?}"));
        }
    }
    Ok(u32::try_from(ran.len()).unwrap_or(u32::MAX))
}

#[test]
fn no_interleaving_runs_an_id_twice_or_blocks_it() -> TestResult {
    let config = Config { cases: 600, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let ran = Cell::new(0);
    TestRunner::new_with_rng(config, rng).run(&any_sends(), |(sends, seed)| {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_time().start_paused(true).build();
        let runtime = runtime.map_err(|error| TestCaseError::fail(error.to_string()))?;
        let runs = runtime.block_on(interleave(sends, seed)).map_err(TestCaseError::fail)?;
        ran.set(ran.get() + runs);
        Ok(())
    })?;
    assert!(ran.get() > 300, "too few claims were used to mean anything: {}", ran.get());
    Ok(())
}
