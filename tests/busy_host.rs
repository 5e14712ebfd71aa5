//! A `route` process whose event loop is never idle.

mod support;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use support::TestResult;
use support::route;
use support::route::RouteHost;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Longer than a request may take, so that a busy time counted as a request's age exceeds it.
const BUSY_TIME: Duration = Duration::from_secs(4);
const FLOODS: usize = 2;
/// Requests that a flood writes at once, so that the host always finds another one.
const PIPELINED: usize = 50;

/// Keeps the host busy with requests that no route matches.
async fn flood(address: SocketAddr) -> std::io::Result<()> {
    let (mut answers, mut requests) = TcpStream::connect(address).await?.into_split();
    let batch = route::request("GET", "/none/", "id-flood", "").repeat(PIPELINED);
    tokio::spawn(async move { while requests.write_all(&batch).await.is_ok() {} });
    let mut buffer = vec![0; 1 << 16];
    while answers.read(&mut buffer).await? > 0 {}
    Ok(())
}

/// Guards against refusing every request as too late once the host has been busy for as long as a
/// request may take, although each is read soon after its arrival.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_is_never_idle_refuses_no_request() -> TestResult {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    operator::configure(&store, 3, &[operator::single("/safe/", "s", "safe")], &["s"]);
    operator::register(&store, "t-1", &target, "east");
    let host = RouteHost::start("h-1", "east", store.address(), &[])?;
    host.wait_until_ready().await?;
    for _ in 0..FLOODS {
        tokio::spawn(flood(host.caller()));
    }
    let started = Instant::now();
    let mut round = 0;
    while started.elapsed() < BUSY_TIME {
        let answer = host.send("GET", "/safe/", &format!("id-{round}"), "").await?;
        let reason = String::from_utf8_lossy(&answer.body);
        assert_eq!(answer.status, 200, "after {:?}: {reason}", started.elapsed());
        round += 1;
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}
