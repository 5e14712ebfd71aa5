//! Claims: a request id runs at most once, whatever the store does.

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
use support::claims::SETTLE_TIME;
use support::claims::client;
use support::claims::dispatch;
use support::claims::granted;
use support::claims::options;
use support::claims::request;
use support::claims::unix;
use support::load;
use support::load::ClaimLoad;

type TestResult = Result<(), Box<dyn Error>>;

/// Faults of the writes of the first send, in order, and the expected store calls.
struct LostCase {
    name: &'static str,
    faults: Vec<Fault>,
    /// Store calls until the claim is granted.
    writes: u64,
    reads: u64,
}

/// Guards against a claim that conflicts with itself: the answer to its write is lost or the
/// write takes effect late. A retry without a read would attribute the claim to another host
/// and refuse the order as already sent.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_distinguished_from_a_conflict() -> TestResult {
    let later = Fault::RunsLater(Duration::from_millis(24));
    let much_later = Fault::RunsLater(Duration::from_millis(500));
    let cases = [
        LostCase { name: "no fault", faults: vec![], writes: 1, reads: 0 },
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
        let (first, second) = (client(&store, 1), client(&store, 2));
        store.script(case.faults);
        let grant = granted(first.claim(request("1700000000-a")).await)?;
        let calls = store.calls();
        assert_eq!((calls.puts, calls.gets), (case.writes, case.reads), "{}", case.name);
        dispatch(grant)?;
        sleep(SETTLE_TIME).await;
        for client in [&first, &second] {
            let outcome = client.claim(request("1700000000-a")).await;
            assert!(matches!(outcome, Outcome::HeldEarlier), "{}: {outcome:?}", case.name);
            let expected = CallerOutcome::Unknown(UnknownReason::ClaimedEarlier);
            assert_eq!(outcome.refusal(), Some(expected), "{}", case.name);
        }
    }
    Ok(())
}

struct OutageCase {
    name: &'static str,
    first_write: Fault,
    /// The first send is uncertain, as opposed to certainly not recorded.
    uncertain: bool,
}

/// Guards against an order blocked for ten minutes by its own unused claim. The store fails
/// during a claim and recovers a minute later; the caller receives `not-run` and sends the same
/// id to another host.
#[tokio::test(start_paused = true)]
async fn an_uncertain_claim_is_removed_once_the_store_recovers() -> TestResult {
    let later = Fault::RunsLater(Duration::from_secs(20));
    let cases = [
        OutageCase { name: "not recorded", first_write: Fault::Outage, uncertain: true },
        OutageCase { name: "recorded", first_write: Fault::LostAnswer, uncertain: true },
        OutageCase { name: "recorded later", first_write: later, uncertain: true },
        OutageCase { name: "never run", first_write: Fault::RateLimited, uncertain: false },
    ];
    for case in cases {
        let store = FakeStore::new(LATENCY);
        let (first, second) = (client(&store, 1), client(&store, 2));
        let rate_limited = [Fault::RateLimited; 7];
        store.script([case.first_write].into_iter().chain(rate_limited));
        let claim = tokio::spawn({
            let first = first.clone();
            async move { first.claim(request("1700000000-a")).await }
        });
        sleep(Duration::from_millis(2)).await;
        if case.uncertain {
            store.set_down(true);
        }
        let outcome = claim.await?;
        let is_uncertain = matches!(outcome, Outcome::Uncertain);
        assert_eq!(is_uncertain, case.uncertain, "{}: {outcome:?}", case.name);
        let expected = CallerOutcome::NotRun(RefusalReason::ClaimUnavailable);
        assert_eq!(outcome.refusal(), Some(expected), "{}", case.name);
        assert_eq!(first.retry_after(&outcome), Some(Duration::from_secs(1)), "{}", case.name);
        if case.uncertain {
            // During the outage no write is attempted, so no further claim is uncertain.
            let outcome = first.claim(request("1700000000-b")).await;
            let unavailable = matches!(outcome, Outcome::Unavailable(UnavailableCause::Store));
            assert!(unavailable, "{}: {outcome:?}", case.name);
        }
        sleep(Duration::from_secs(60)).await;
        store.set_down(false);
        sleep(SETTLE_TIME).await;
        dispatch(granted(second.claim(request("1700000000-a")).await)?)?;
        let outcome = first.claim(request("1700000000-a")).await;
        assert!(matches!(outcome, Outcome::HeldEarlier), "{}: {outcome:?}", case.name);
    }
    Ok(())
}

/// A claim is recorded, its answer is lost, and the host crashes before it can remove the
/// claim. No other host knows that the claim was never used, so the caller receives `unknown`
/// until its id is too old, and the request never runs twice.
#[tokio::test(start_paused = true)]
async fn a_claim_of_a_crashed_host_is_never_reassigned() -> TestResult {
    let store = FakeStore::new(LATENCY);
    let (crashing, second) = (store.other_host(), client(&store, 2));
    let first = client(&crashing, 1);
    store.script([Fault::LostAnswer]);
    let (outcome, ()) = tokio::join!(first.claim(request("1700000000-a")), async {
        sleep(LATENCY * 2).await;
        crashing.disconnect();
    });
    assert!(matches!(outcome, Outcome::Uncertain), "{outcome:?}");
    for (age, expected) in [
        (0, CallerOutcome::Unknown(UnknownReason::ClaimedEarlier)),
        (600, CallerOutcome::Unknown(UnknownReason::ClaimedEarlier)),
        (601, CallerOutcome::NotRun(RefusalReason::RequestIdTooOld)),
    ] {
        sleep(SETTLE_TIME).await;
        let request = ClaimRequest { unix_now: unix(NOW + age), ..request("1700000000-a") };
        assert_eq!(second.claim(request).await.refusal(), Some(expected), "{age} s later");
    }
    Ok(())
}

/// Guards against an order that conflicts with its own unused claim: the claim is granted, but
/// no target has a free slot, and the caller sends the order again.
#[tokio::test(start_paused = true)]
async fn an_unused_grant_is_released() -> TestResult {
    let store = FakeStore::new(LATENCY);
    let (first, second) = (client(&store, 1), client(&store, 2));
    drop(granted(first.claim(request("1700000000-a")).await)?);
    // Until the claim is removed from the store, another host cannot distinguish it from a used
    // one.
    let outcome = second.claim(request("1700000000-a")).await;
    assert!(matches!(outcome, Outcome::HeldEarlier), "{outcome:?}");
    // The client that released it can.
    drop(granted(first.claim(request("1700000000-a")).await)?);
    sleep(SETTLE_TIME).await;
    dispatch(granted(second.claim(request("1700000000-a")).await)?)?;
    Ok(())
}

/// The first owner to which the order is forwarded refuses it, as its group has just moved.
/// The claim still belongs to this send: the next owner may run it, and no other send may in
/// between.
#[tokio::test(start_paused = true)]
async fn a_claim_that_certainly_did_not_run_can_be_dispatched_again() -> TestResult {
    let store = FakeStore::new(LATENCY);
    let (first, second) = (client(&store, 1), client(&store, 2));
    let grant = granted(first.claim(request("1700000000-a")).await)?;
    let permit = grant.dispatch(Instant::now(), unix(NOW))?;
    let outcome = second.claim(request("1700000000-a")).await;
    assert!(matches!(outcome, Outcome::HeldEarlier), "{outcome:?}");
    let dispatched = permit.not_run().dispatch(Instant::now(), unix(NOW))?;
    // Dropping the permit does not release the claim, so the order cannot run a second time.
    drop(dispatched);
    sleep(SETTLE_TIME).await;
    let outcome = second.claim(request("1700000000-a")).await;
    assert!(matches!(outcome, Outcome::HeldEarlier), "{outcome:?}");
    Ok(())
}

/// Guards against an order that runs although nobody expects it: the process is paused between
/// claim and dispatch, and resumes after the caller has given up or, if the monotonic clock
/// stopped as well, after the claim was swept.
#[tokio::test(start_paused = true)]
async fn a_paused_holder_does_not_dispatch() -> TestResult {
    let store = FakeStore::new(LATENCY);
    let client = client(&store, 1);
    let grant = granted(client.claim(request("1700000000-a")).await)?;
    tokio::time::advance(Duration::from_secs(2)).await;
    assert_eq!(dispatch(grant), Err(GrantExpired::DeadlinePast));
    let grant = granted(client.claim(request("1700000000-b")).await)?;
    let resumed_at = unix(NOW + 601);
    let outcome = grant.dispatch(Instant::now(), resumed_at).map(|_permit| ());
    assert_eq!(outcome, Err(GrantExpired::TooOld));
    Ok(())
}

/// The store hangs. The caller receives its outcome at its own deadline, and a claim queued
/// behind the hanging write certainly did not run.
#[tokio::test(start_paused = true)]
async fn a_hanging_store_delays_no_outcome_beyond_the_deadline() -> TestResult {
    let store = FakeStore::new(Duration::from_secs(30));
    let client = client(&store, 1);
    let started = Instant::now();
    let (first, queued) = tokio::join!(client.claim(request("1700000000-a")), async {
        sleep(LATENCY).await;
        client.claim(request("1700000000-b")).await
    });
    assert!(matches!(first, Outcome::Uncertain), "{first:?}");
    let expired = matches!(queued, Outcome::Unavailable(UnavailableCause::Expired));
    assert!(expired, "{queued:?}");
    assert!(started.elapsed() <= Duration::from_millis(810));
    Ok(())
}

/// Guards against orders that run twice after the store is restored from a backup without the
/// latest claims.
#[tokio::test(start_paused = true)]
async fn claims_missing_from_a_restored_store_are_rewritten() -> TestResult {
    let store = FakeStore::new(LATENCY);
    let client = client(&store, 1);
    dispatch(granted(client.claim(request("1700000000-a")).await)?)?;
    let backup = store.backup();
    dispatch(granted(client.claim(request("1700000000-b")).await)?)?;
    store.restore(backup);
    dispatch(granted(client.claim(request("1700000000-c")).await)?)?;
    let outcome = client.claim(request("1700000000-b")).await;
    assert!(matches!(outcome, Outcome::HeldEarlier), "{outcome:?}");
    assert_eq!(client.counts().get(ClaimEvent::StoreReverted), 1);
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
        refused("1700000006-x", RefusalReason::ClockUncertain),
        refused("1700000300-x", RefusalReason::ClockUncertain),
        refused("1700000301-x", RefusalReason::RequestIdInFuture),
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
    let client = client(&store, 1);
    for case in cases {
        let outcome = client.claim(request(case.request_id)).await;
        let refusal = outcome.refusal();
        assert_eq!(refusal, case.refusal.map(CallerOutcome::NotRun), "{}", case.request_id);
    }
    Ok(())
}

/// Guards against a proper request that is rejected for good because this host's clock is behind.
#[tokio::test(start_paused = true)]
async fn an_id_ahead_of_a_clock_that_may_be_behind_is_retried() {
    let store = FakeStore::new(LATENCY);
    let (behind, other) = (client(&store, 1), client(&store, 2));
    for (ahead, is_retried) in [(6, true), (300, true), (301, false), (6_000, false)] {
        let id = format!("{}-a", NOW + ahead);
        let outcome = behind.claim(request(&id)).await;
        let retry_after = behind.retry_after(&outcome);
        assert_eq!(retry_after.is_some(), is_retried, "{ahead} s: {outcome:?}");
        let right = ClaimRequest { unix_now: unix(NOW + ahead), ..request(&id) };
        let outcome = other.claim(right).await;
        assert!(outcome.refusal().is_none(), "{ahead} s, at another host: {outcome:?}");
    }
}

/// Guards against a proper request that is rejected as wrong because this host was slow.
#[tokio::test(start_paused = true)]
async fn a_deadline_that_passed_before_the_claim_is_no_fault_of_the_request() {
    let client = client(&FakeStore::new(LATENCY), 1);
    let request = ClaimRequest { deadline: Instant::now(), ..request("1700000000-a") };
    let outcome = client.claim(request).await;
    let expected = CallerOutcome::NotRun(RefusalReason::ExpiredInQueue);
    assert_eq!(outcome.refusal(), Some(expected));
    let retry_after = client.retry_after(&outcome);
    assert!(retry_after.is_some(), "{outcome:?}");
}

/// Guards against a claim deleted while a host with a slow clock still accepts its id, so that
/// the order runs again if it is sent again.
#[tokio::test(start_paused = true)]
async fn claims_are_kept_until_every_host_rejects_their_ids() -> TestResult {
    let store = FakeStore::new(LATENCY);
    let options = options();
    let span = NOW / options.span;
    let expired_at = unix((span + 1) * options.span) + options.window + options.margin;
    store.force(&format!("claims/0/{span}"), "{}");
    store.force("claims/0/other", "{}");
    let before = claim::sweep(&store, 0, expired_at - Duration::from_secs(1), &options).await?;
    assert_eq!((before.kept, before.deleted), (2, 0));
    let after = claim::sweep(&store, 0, expired_at, &options).await?;
    assert_eq!((after.kept, after.deleted), (1, 1));
    Ok(())
}

#[tokio::test(start_paused = true)]
async fn a_stopping_client_grants_nothing() -> TestResult {
    let store = FakeStore::new(LATENCY);
    let cancel = CancellationToken::new();
    let client = ClaimClient::spawn(Arc::new(store), ProcessSeed(1), &cancel, options());
    cancel.cancel();
    sleep(SETTLE_TIME).await;
    let outcome = client.claim(request("1700000000-a")).await;
    let expected = CallerOutcome::NotRun(RefusalReason::Stopping);
    assert_eq!(outcome.refusal(), Some(expected), "{outcome:?}");
    Ok(())
}

struct RateCase {
    rate: u64,
    buckets: u32,
    /// Upper bounds of the calls for 100 claims and of the writes per second.
    calls: f64,
    writes: f64,
}

/// Guards against a burst of orders that exhausts the store: one write for each claim would use
/// all of its several hundred writes a second, and block configuration edits.
#[tokio::test(start_paused = true)]
async fn the_write_rate_is_bounded_at_any_claim_rate() -> TestResult {
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
        // A write that has just been sent, the interval after it, and the next write.
        let longest = LATENCY + options.min_interval + LATENCY * 2;
        assert!(cost.slowest <= longest, "{} a second: {cost:?}", case.rate);
    }
    Ok(())
}
