//! Claims: at most one run for a request id, whatever the store does.

mod support;

use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use hawthorn_store::ClaimClient;
use hawthorn_store::claim;
use hawthorn_store::claim::ClaimEvent;
use hawthorn_store::claim::ClaimRequest;
use hawthorn_store::claim::GrantExpired;
use hawthorn_store::claim::Outcome;
use hawthorn_store::claim::ProcessSeed;
use hawthorn_store::claim::UnavailableCause;
use hawthorn_types::CallerOutcome;
use hawthorn_types::RefusalReason;
use hawthorn_types::UnknownReason;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use support::FakeStore;
use support::Fault;
use support::claims::LATENCY;
use support::claims::NOW;
use support::claims::SETTLED;
use support::claims::ask;
use support::claims::dispatch;
use support::claims::granted;
use support::claims::keeper;
use support::claims::options;
use support::claims::unix;
use support::load;
use support::load::ClaimLoad;

type TestResult = Result<(), Box<dyn Error>>;

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

/// A claim is recorded, its answer is lost, and the host dies before it can
/// take the claim out. Nobody else can tell that it was never used. The agent is
/// told `unknown` until its id is too old for a claim, and never served twice.
#[tokio::test(start_paused = true)]
async fn a_claim_of_a_dead_host_is_never_taken_over() -> TestResult {
    let store = FakeStore::new(LATENCY);
    let (dying, second) = (store.other_host(), keeper(&store, 2));
    let first = keeper(&dying, 1);
    store.script([Fault::LostAnswer]);
    let (outcome, ()) = tokio::join!(first.claim(ask("1700000000-a")), async {
        sleep(LATENCY * 2).await;
        dying.cut_off();
    });
    assert!(matches!(outcome, Outcome::Uncertain), "{outcome:?}");
    for (age, told) in [
        (0, CallerOutcome::Unknown(UnknownReason::ClaimedEarlier)),
        (600, CallerOutcome::Unknown(UnknownReason::ClaimedEarlier)),
        (601, CallerOutcome::NotRun(RefusalReason::RequestIdTooOld)),
    ] {
        sleep(SETTLED).await;
        let ask = ClaimRequest { unix_now: unix(NOW + age), ..ask("1700000000-a") };
        assert_eq!(second.claim(ask).await.refusal(), Some(told), "{age} s later");
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

/// The first owner that the order is handed to says that it will not run it, as
/// its group has just moved. The claim is still this send's: the next owner may
/// run it, and no other send may in between.
#[tokio::test(start_paused = true)]
async fn a_claim_that_certainly_did_not_run_is_handed_on() -> TestResult {
    let store = FakeStore::new(LATENCY);
    let (first, second) = (keeper(&store, 1), keeper(&store, 2));
    let grant = granted(first.claim(ask("1700000000-a")).await)?;
    let permit = grant.dispatch(Instant::now(), unix(NOW))?;
    let outcome = second.claim(ask("1700000000-a")).await;
    assert!(matches!(outcome, Outcome::HeldEarlier), "{outcome:?}");
    let spent = permit.not_run().dispatch(Instant::now(), unix(NOW))?;
    // Dropped spent, it stays spent: nobody runs the order a second time.
    drop(spent);
    sleep(SETTLED).await;
    let outcome = second.claim(ask("1700000000-a")).await;
    assert!(matches!(outcome, Outcome::HeldEarlier), "{outcome:?}");
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
    let keeper = ClaimClient::spawn(Arc::new(store), ProcessSeed(1), &cancel, options());
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
