//! Arbitrary input: stand-ins answer every request without failing, and answers of the
//! tier are either parsed or counted as lost connections.

mod support;

use std::future::Future;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use hawthorn_standin::PlatformOptions;
use hawthorn_standin::PlatformStandin;
use hawthorn_standin::TargetOptions;
use hawthorn_standin::TargetStandin;
use hawthorn_standin::load::HttpTier;
use hawthorn_standin::load::QueryTier;
use hawthorn_standin::load::inventory::TargetInventory;
use hawthorn_standin::load::tier::EntryHost;
use hawthorn_standin::load::tier::TierResponse;
use hawthorn_types::SearchQuery;
use hyper::Method;
use proptest::prelude::any;
use proptest::strategy::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use support::Client;
use support::Fallible;
use support::TestResult;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// A test runner with a fixed seed.
fn runner() -> TestRunner {
    let config = Config { cases: 64, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Sends each generated path and body on a new connection. Every request must be
/// answered, and none with a server error.
fn assert_all_answered(
    address: SocketAddr,
    method: &Method,
    runtime: &tokio::runtime::Runtime,
    requests: impl Strategy<Value = (String, Vec<u8>)>,
) -> TestResult {
    let answered = |(path, body): (String, Vec<u8>)| {
        let sent =
            async { Client::connect(address).await?.send(method.clone(), &path, body).await };
        let reply: Fallible<support::Reply> = runtime.block_on(sent);
        match reply {
            Ok(reply) if reply.status < 500 => Ok(()),
            Ok(reply) => Err(TestCaseError::fail(format!("status {}", reply.status))),
            Err(err) => Err(TestCaseError::fail(err.to_string())),
        }
    };
    runner().run(&requests, answered)?;
    Ok(())
}

fn started<T>(start: impl Future<Output = Fallible<T>>) -> Fallible<(tokio::runtime::Runtime, T)> {
    let runtime = tokio::runtime::Runtime::new()?;
    let value = runtime.block_on(start)?;
    Ok((runtime, value))
}

#[test]
fn a_target_answers_any_bytes() -> TestResult {
    let start = async { Ok(TargetStandin::start(TargetOptions::default()).await?) };
    let (runtime, target) = started(start)?;
    let paths = proptest::sample::select(vec!["/search", "/run", "/cancel", "/intent", "/"]);
    let requests = (paths.prop_map(str::to_owned), any::<Vec<u8>>());
    assert_all_answered(target.address(), &Method::POST, &runtime, requests)
}

#[test]
fn a_platform_answers_any_path_and_bytes() -> TestResult {
    let start = async { Ok(PlatformStandin::start(PlatformOptions::default()).await?) };
    let (runtime, platform) = started(start)?;
    let requests = ("/(kv|list|watch|leases|hosts|x)/[a-z%0-9?=&/]{0,20}", any::<Vec<u8>>());
    for method in [Method::GET, Method::PUT, Method::POST, Method::DELETE] {
        assert_all_answered(platform.address(), &method, &runtime, requests.clone())?;
    }
    Ok(())
}

#[test]
fn any_inventory_text_is_parsed_or_rejected() -> TestResult {
    runner().run(&"(\\[\\[(service|target)\\]\\]\n)?[a-z]{1,8} = [\"0-9a-z/]{0,12}\n", |text| {
        if let Ok(inventory) = TargetInventory::parse(&text) {
            drop(inventory.known_services());
        }
        Ok(())
    })?;
    Ok(())
}

/// Starts a server that reads once, answers with `bytes` and closes the connection.
async fn serve_once(bytes: Vec<u8>) -> Fallible<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await?;
        let mut request = [0; 4096];
        let _length = stream.read(&mut request).await?;
        stream.write_all(&bytes).await
    });
    Ok(address)
}

struct ResponseCase {
    name: &'static str,
    answer: &'static str,
    answered: bool,
}

#[tokio::test]
async fn entry_host_answers_are_parsed_or_counted_as_lost_connections() -> TestResult {
    let cases = [
        ResponseCase {
            name: "an answer",
            answer: r#"{"request":"1","outcome":"not-run","reason":"queue-full","configuration":{"revision":1,"age_ms":0},"elapsed_ms":1}"#,
            answered: true,
        },
        ResponseCase { name: "a truncated answer", answer: r#"{"request":"#, answered: false },
        ResponseCase { name: "JSON of another type", answer: "[]", answered: false },
    ];
    let query: SearchQuery = serde_json::from_str(
        r#"{"caller":"bunker-desk","service":"agent-desk","deadline_ms":1000}"#,
    )?;
    for case in cases {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", case.answer.len());
        let address = serve_once(format!("{head}{}", case.answer).into_bytes()).await?;
        let tier = HttpTier::new(vec![EntryHost { name: "entry-1".to_owned(), address }], 4);
        let response = tier.query(0, &query).await;
        assert_eq!(matches!(response, TierResponse::Answered(_)), case.answered, "{}", case.name);
    }
    // No server listens on this loopback port.
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let tier = HttpTier::new(vec![EntryHost { name: "entry-1".to_owned(), address }], 4);
    assert_eq!(tier.query(0, &query).await, TierResponse::NotSent);
    Ok(())
}
