//! Store, limits and faults of the platform.

mod support;

use std::time::Duration;

use hawthorn_standin::PlatformOptions;
use hawthorn_standin::PlatformStandin;
use hawthorn_standin::platform::CallKind;
use hawthorn_standin::platform::PlatformFaults;
use hawthorn_standin::platform::StoreOutage;
use hawthorn_standin::platform::rate_limit::RateLimiter;
use hawthorn_standin::platform::store::MAX_VALUE_BYTES;
use hawthorn_standin::platform::store::Store;
use hawthorn_standin::platform::store::WriteError;
use hawthorn_types::platform::HostEntry;
use hawthorn_types::platform::HostPhase;
use hawthorn_types::platform::LeaseAnswer;
use hawthorn_types::platform::LeaseGrant;
use hawthorn_types::platform::StoreConflict;
use hawthorn_types::platform::StoreEntry;
use hawthorn_types::platform::StorePut;
use hyper::Method;
use support::Client;
use support::Fallible;
use support::TestResult;

const KEY: &str = "/kv/config/current";

fn options() -> PlatformOptions {
    PlatformOptions { delay: Duration::ZERO, ..PlatformOptions::default() }
}

fn put(expect: u64, value: &str) -> StorePut {
    StorePut { expect, value: value.to_owned(), lease: None }
}

async fn start() -> Fallible<(PlatformStandin, Client)> {
    let platform = PlatformStandin::start(options()).await?;
    let client = Client::connect(platform.address()).await?;
    Ok((platform, client))
}

#[tokio::test]
async fn compare_and_swap_lets_one_of_two_editors_win() -> TestResult {
    let (_platform, mut client) = start().await?;
    assert_eq!(client.get(KEY).await?.status, 404);
    let first: StoreEntry = client.put(KEY, &put(0, "a")).await?.json()?;
    let second: StoreEntry = client.put(KEY, &put(first.revision, "b")).await?.json()?;
    assert!(second.revision > first.revision);
    let late = client.put(KEY, &put(first.revision, "c")).await?;
    assert_eq!(late.status, 409);
    assert_eq!(late.json::<StoreConflict>()?.found, second.revision);
    let read: StoreEntry = client.get("/kv/config%2Fcurrent").await?.json()?;
    assert_eq!((read.key.as_str(), read.value.as_str()), ("config/current", "b"));
    let listed: Vec<StoreEntry> = client.get("/list/config/").await?.json()?;
    assert_eq!(listed.len(), 1);
    assert_eq!(listed[0].value, "");
    let deleted = format!("{KEY}?expect={}", second.revision);
    assert_eq!(client.send(Method::DELETE, &deleted, Vec::new()).await?.status, 200);
    assert_eq!(client.send(Method::DELETE, &deleted, Vec::new()).await?.status, 404);
    Ok(())
}

struct MalformedCase {
    method: Method,
    path: &'static str,
    body: &'static str,
    status: u16,
}

#[tokio::test]
async fn malformed_calls_are_rejected() -> TestResult {
    let (_platform, mut client) = start().await?;
    let cases = [
        MalformedCase { method: Method::GET, path: "/", body: "", status: 400 },
        MalformedCase { method: Method::GET, path: "/kv/%f", body: "", status: 400 },
        MalformedCase { method: Method::GET, path: "/kv/%ff", body: "", status: 400 },
        MalformedCase { method: Method::GET, path: "/watch/k?after=x", body: "", status: 400 },
        MalformedCase { method: Method::DELETE, path: "/kv/k", body: "", status: 400 },
        MalformedCase { method: Method::PUT, path: "/kv/k", body: "{", status: 400 },
        MalformedCase { method: Method::POST, path: "/leases/x/renew", body: "", status: 400 },
        MalformedCase { method: Method::POST, path: "/leases/9/renew", body: "", status: 404 },
    ];
    for case in cases {
        let reply = client.send(case.method, case.path, case.body.into()).await?;
        assert_eq!(reply.status, case.status, "{}", case.path);
    }
    Ok(())
}

#[test]
fn failed_writes_report_the_reason() -> TestResult {
    let mut store = Store::default();
    let written = store.put("k", put(0, "v"))?;
    let large = "x".repeat(MAX_VALUE_BYTES + 1);
    assert_eq!(store.put("k", put(written.revision, &large)), Err(WriteError::TooLarge));
    let expired = StorePut { lease: Some(7), ..put(0, "v") };
    assert_eq!(store.put("l", expired), Err(WriteError::LeaseExpired));
    let conflict = StoreConflict { found: written.revision };
    assert_eq!(store.delete("k", 0), Err(WriteError::Conflict(conflict)));
    assert_eq!(store.delete("m", 0), Err(WriteError::Absent));
    Ok(())
}

/// Guards against two holders of one lease: a host that was paused beyond the expiry of
/// its lease must fail to renew it, and its key must be removed.
#[test]
fn an_expired_lease_removes_its_keys() -> TestResult {
    let mut store = Store::default();
    let second = Duration::from_secs(1);
    let lease = store.grant(2 * second, Duration::ZERO).lease;
    store.put("holder", StorePut { lease: Some(lease), ..put(0, "a") })?;
    assert!(!store.expire(second));
    assert!(store.renew(lease, second).is_some());
    assert!(!store.expire(2 * second));
    assert!(store.expire(3 * second));
    assert_eq!(store.get("holder"), None);
    assert_eq!(store.renew(lease, 3 * second), None);
    assert!(store.put("holder", put(0, "b")).is_ok());
    Ok(())
}

#[tokio::test]
async fn leases_are_granted_and_renewed() -> TestResult {
    let (_platform, mut client) = start().await?;
    let grant = LeaseGrant { ttl_ms: 60_000 };
    let lease: LeaseAnswer = client.post("/leases", &grant).await?.json()?;
    let path = format!("/leases/{}/renew", lease.lease);
    let renewed: LeaseAnswer = client.send(Method::POST, &path, Vec::new()).await?.json()?;
    assert_eq!(renewed, lease);
    Ok(())
}

#[tokio::test]
async fn a_watch_returns_on_a_change_or_timeout() -> TestResult {
    let (platform, mut client) = start().await?;
    let written: StoreEntry = client.put(KEY, &put(0, "a")).await?.json()?;
    let old: StoreEntry = client.get("/watch/config/current?after=0&wait_ms=0").await?.json()?;
    assert_eq!(old.value, "a");
    let path = format!("/watch/config/current?after={}&wait_ms=", written.revision);
    assert_eq!(client.get(&format!("{path}1")).await?.status, 204);
    let watching = tokio::spawn(async move {
        let reply = client.get(&format!("{path}20000")).await?;
        reply.json::<StoreEntry>()
    });
    while platform.control().counters(CallKind::Watch).calls < 3 {
        tokio::task::yield_now().await;
    }
    let mut editor = Client::connect(platform.address()).await?;
    editor.put(KEY, &put(written.revision, "b")).await?;
    assert_eq!(watching.await??.value, "b");
    Ok(())
}

#[test]
fn the_rate_limiter_bounds_calls_over_time() {
    let mut limiter = RateLimiter::new(100);
    let mut accepted = 0;
    // Twice the rate for five seconds.
    for call in 0..1_000_u64 {
        accepted += u32::from(limiter.try_take(Duration::from_millis(5 * call)));
    }
    assert!((500..=510).contains(&accepted), "{accepted}");
}

#[tokio::test]
async fn calls_over_the_rate_limit_are_rejected_and_counted() -> TestResult {
    let options = PlatformOptions { writes_per_second: 0, reads_per_second: 10_000, ..options() };
    let platform = PlatformStandin::start(options).await?;
    let mut client = Client::connect(platform.address()).await?;
    assert_eq!(client.put("/kv/a", &put(0, "a")).await?.status, 200);
    assert_eq!(client.put("/kv/b", &put(0, "b")).await?.status, 429);
    assert_eq!(client.get("/kv/b").await?.status, 404);
    let counters = platform.control().counters(CallKind::Put);
    assert_eq!((counters.calls, counters.rate_limited), (2, 1));
    assert_eq!(platform.control().counters(CallKind::Get).calls, 1);
    Ok(())
}

struct LostCase {
    name: &'static str,
    fault: fn(&mut PlatformFaults),
    status: Option<u16>,
}

/// Simulates an edit that conflicts with itself: a write takes effect, its answer is lost,
/// and the resent write fails with a conflict.
#[tokio::test]
async fn a_write_can_take_effect_without_an_answer() -> TestResult {
    let cases = [
        LostCase { name: "closed", fault: |faults| faults.lost_write_answers = 1, status: None },
        LostCase {
            name: "unavailable",
            fault: |faults| faults.applied_unavailable = 1,
            status: Some(503),
        },
    ];
    for case in cases {
        let (platform, mut client) = start().await?;
        platform.control().set_faults(case.fault);
        let grant = LeaseGrant { ttl_ms: 60_000 };
        assert_eq!(client.post("/leases", &grant).await?.status, 200, "{}", case.name);
        let reply = client.put(KEY, &put(0, "a")).await.ok();
        assert_eq!(reply.map(|reply| reply.status), case.status, "{}", case.name);
        let mut again = Client::connect(platform.address()).await?;
        assert_eq!(again.put(KEY, &put(0, "a")).await?.status, 409, "{}", case.name);
    }
    Ok(())
}

#[tokio::test]
async fn calls_fail_or_hang_during_an_outage() -> TestResult {
    let (platform, mut client) = start().await?;
    platform.control().set_outage(StoreOutage::Unavailable);
    assert_eq!(client.put(KEY, &put(0, "a")).await?.status, 503);
    platform.control().set_outage(StoreOutage::Hang);
    let hanging = tokio::spawn(async move {
        let reply = client.put(KEY, &put(0, "a")).await;
        reply.map(|reply| reply.status)
    });
    while platform.control().counters(CallKind::Put).in_outage < 2 {
        tokio::task::yield_now().await;
    }
    assert!(!hanging.is_finished());
    platform.control().set_outage(StoreOutage::None);
    assert_eq!(hanging.await??, 503);
    assert_eq!(platform.control().get("config/current"), None);
    let mut client = Client::connect(platform.address()).await?;
    assert_eq!(client.put(KEY, &put(0, "a")).await?.status, 200);
    Ok(())
}

/// A store restored from a backup must return the older value at its older revision, so
/// that daemons can detect the restore.
#[tokio::test]
async fn a_restored_store_returns_older_revisions() -> TestResult {
    let (platform, mut client) = start().await?;
    let first: StoreEntry = client.put(KEY, &put(0, "a")).await?.json()?;
    let backup = platform.control().backup();
    client.put(KEY, &put(first.revision, "b")).await?;
    platform.control().restore(backup);
    let read: StoreEntry = client.get(KEY).await?.json()?;
    assert_eq!((read.revision, read.value.as_str()), (first.revision, "a"));
    Ok(())
}

#[tokio::test]
async fn the_list_of_hosts_lags() -> TestResult {
    let entry = HostEntry {
        host: "entry-1".to_owned(),
        zone: "kurasini".to_owned(),
        peer: "127.0.0.1:1".parse()?,
        phase: HostPhase::Live,
    };
    for (host_lag, shown) in [(Duration::ZERO, 1), (Duration::from_secs(60), 0)] {
        let platform = PlatformStandin::start(PlatformOptions { host_lag, ..options() }).await?;
        platform.control().put_host(entry.clone());
        let mut client = Client::connect(platform.address()).await?;
        let hosts: Vec<HostEntry> = client.get("/hosts").await?.json()?;
        assert_eq!(hosts.len(), shown);
    }
    Ok(())
}
