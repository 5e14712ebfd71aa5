//! Real `route` processes whose callers' keys are revoked while they cannot reach the store.

mod support;

use std::time::Duration;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::store::RouteOutage;
use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;
use support::TestResult;
use support::route;
use support::route::RouteHost;
use tokio::time::sleep;

/// Time within which keys must be revoked.
const WITHIN: Duration = Duration::from_millis(3200);

/// A host, its target, and a store with a customer that has the keys `old` and `new`.
struct KeyedHost {
    store: RouteStore,
    target: RouteTarget,
    host: RouteHost,
}

fn routes() -> [Value; 2] {
    let mut exempt = operator::single("/exempt/", "s", "safe");
    exempt["authExempt"] = json!(true);
    [operator::single("/keyed/", "s", "safe"), exempt]
}

impl KeyedHost {
    async fn start() -> TestResult<Self> {
        let store = RouteStore::start().await?;
        let target = RouteTarget::start("t-1", "s").await?;
        let customers = [operator::customer("shop", &["old", "new"])];
        operator::configure_customers(&store, 3, &routes(), &["s"], &customers);
        operator::register(&store, "t-1", &target, "east");
        let host = RouteHost::start_strict("h-1", "east", store.address(), &[], WITHIN)?;
        host.wait_until_ready().await?;
        Ok(Self { store, target, host })
    }

    /// Revokes the key `old`.
    fn revoke(&self) {
        let customers = [operator::customer("shop", &["new"])];
        operator::configure_customers(&self.store, 4, &routes(), &["s"], &customers);
    }

    async fn status(&self, path: &str, key: &str, id: &str) -> TestResult<u16> {
        Ok(self.host.send_with_key(path, id, key).await?.status)
    }
}

/// Guards against a host that serves a revoked key because its calls to the store, also the pending
/// watch, are never answered, and against one that stops serving what needs no key.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_the_store_refuses_keys() -> TestResult {
    let keyed = KeyedHost::start().await?;
    assert_eq!(keyed.status("/keyed/", "old", "id-1").await?, 200);
    route::wait_for("the host to watch", async || keyed.store.waiting_watches() == 1).await?;
    keyed.store.hang_watchers();
    keyed.revoke();
    sleep(WITHIN).await;
    for key in ["old", "new"] {
        let answer = keyed.host.send_with_key("/keyed/", "id-2", key).await?;
        assert_eq!(answer.status, 503, "{key}");
        assert_eq!(answer.body, b"stale-keys", "{key}");
        assert!(answer.headers.contains_key("retry-after"), "{key}");
    }
    assert_eq!(keyed.target.runs("id-2"), 0);
    assert_eq!(keyed.status("/exempt/", "old", "id-3").await?, 200);
    assert!(!keyed.host.is_ready().await);
    Ok(())
}

/// Guards against a host that remains stale after the store has returned, and against one that
/// serves a key that was revoked meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_is_current_again_when_the_store_is_back() -> TestResult {
    let keyed = KeyedHost::start().await?;
    keyed.store.set_outage(RouteOutage::Hang);
    route::wait_for("the host to be stale", async || !keyed.host.is_ready().await).await?;
    keyed.revoke();
    assert_eq!(keyed.status("/keyed/", "new", "id-3").await?, 503);
    keyed.store.set_outage(RouteOutage::None);
    keyed.host.wait_until_ready().await?;
    assert_eq!(keyed.status("/keyed/", "old", "id-4").await?, 401);
    assert_eq!(keyed.status("/keyed/", "new", "id-5").await?, 200);
    assert_eq!(keyed.target.runs("id-4"), 0);
    Ok(())
}

/// Guards against a host that takes the state from before its suspension for a current one when it
/// resumes.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_host_refuses_a_revoked_key() -> TestResult {
    let keyed = KeyedHost::start().await?;
    keyed.host.signal(Signal::STOP)?;
    keyed.revoke();
    sleep(WITHIN).await;
    keyed.store.set_outage(RouteOutage::Hang);
    keyed.host.signal(Signal::CONT)?;
    let status = keyed.status("/keyed/", "old", "id-1").await?;
    assert!([401, 503].contains(&status), "{status}");
    assert_eq!(keyed.target.runs("id-1"), 0);
    Ok(())
}

/// Guards against refusals on a calm day: a host keeps its configuration confirmed although
/// nothing changes, with few calls to the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_calm_host_serves_all_keyed_requests() -> TestResult {
    let keyed = KeyedHost::start().await?;
    let before = keyed.store.calls();
    for number in 0..80 {
        let status = keyed.status("/keyed/", "new", &format!("id-{number}")).await?;
        assert_eq!(status, 200, "{number}");
        sleep(Duration::from_millis(100)).await;
    }
    // In 8 s and a little more: a read each 1.2 s, and a watch each 4 s.
    let calls = keyed.store.calls() - before;
    assert!(calls <= 14, "{calls}");
    Ok(())
}
