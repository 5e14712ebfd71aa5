//! HTTP client and fixtures for the tests of the stand-ins.
#![allow(dead_code, reason = "each test binary uses its own part of this module")]

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hawthorn_standin::Corpus;
use hawthorn_standin::TargetOptions;
use hawthorn_standin::corpus::CorpusOptions;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::RangeSet;
use hawthorn_types::ShardName;
use hawthorn_types::target::CancelAttempt;
use hawthorn_types::target::HeldRanges;
use hawthorn_types::target::ShardSearch;
use hawthorn_types::target::TargetRun;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

pub type TestResult = Fallible<()>;
pub type Fallible<T> = Result<T, Box<dyn Error + Send + Sync>>;

/// Status and body of a response.
pub struct Reply {
    pub status: u16,
    pub body: Bytes,
}

impl Reply {
    pub fn json<T: DeserializeOwned>(&self) -> Fallible<T> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

/// An HTTP connection.
pub struct Client {
    sender: SendRequest<Full<Bytes>>,
}

impl Client {
    pub async fn connect(address: SocketAddr) -> Fallible<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self { sender })
    }

    pub async fn send(&mut self, method: Method, path: &str, body: Vec<u8>) -> Fallible<Reply> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "standin")
            .body(Full::new(Bytes::from(body)))?;
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let status = response.status().as_u16();
        Ok(Reply { status, body: response.into_body().collect().await?.to_bytes() })
    }

    pub async fn get(&mut self, path: &str) -> Fallible<Reply> {
        self.send(Method::GET, path, Vec::new()).await
    }

    pub async fn post<T: Serialize>(&mut self, path: &str, body: &T) -> Fallible<Reply> {
        self.send(Method::POST, path, serde_json::to_vec(body)?).await
    }

    pub async fn put<T: Serialize>(&mut self, path: &str, body: &T) -> Fallible<Reply> {
        self.send(Method::PUT, path, serde_json::to_vec(body)?).await
    }
}

/// Sends one request on a new connection.
pub async fn post<T: Serialize>(address: SocketAddr, path: &str, body: &T) -> Fallible<Reply> {
    Client::connect(address).await?.post(path, body).await
}

pub const SERVICE: &str = "agent-desk";

/// A search of all keys at version 1.
pub fn search(attempt: u64) -> ShardSearch {
    ShardSearch {
        request: format!("{attempt:032x}"),
        attempt,
        shard: ShardName(format!("{SERVICE}/00")),
        version: IndexVersion(1),
        range: KeyRange::FULL,
        text: String::new(),
        limit: 10,
        deadline_ms: 5_000,
    }
}

/// A non-idempotent request.
pub fn run(attempt: u64) -> TargetRun {
    TargetRun {
        request: format!("{attempt:032x}"),
        attempt,
        caller: "bunker-desk".to_owned(),
        caller_request: format!("1-{attempt}"),
        key: 1,
        body: "confirm order 7".to_owned(),
        deadline_ms: 5_000,
    }
}

pub fn cancel(attempt: u64) -> CancelAttempt {
    CancelAttempt { request: format!("{attempt:032x}"), attempt }
}

/// The entire key space at version 1.
pub fn all_ranges() -> HeldRanges {
    HeldRanges {
        service: SERVICE.to_owned(),
        version: IndexVersion(1),
        ranges: RangeSet::from(KeyRange::FULL),
    }
}

pub fn corpus() -> Arc<Corpus> {
    Arc::new(Corpus::generate(SERVICE, &CorpusOptions::default()))
}

/// Options of a target that holds the entire key space.
pub fn options() -> TargetOptions {
    TargetOptions {
        corpora: vec![corpus()],
        held: vec![all_ranges()],
        connect_cost: Duration::ZERO,
        ..TargetOptions::default()
    }
}

/// Waits until `condition` holds, for at most a hundred steps of ten milliseconds.
pub async fn until(condition: impl Fn() -> bool) -> TestResult {
    for _ in 0..100 {
        if condition() {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Err("the condition did not hold in time".into())
}

/// The status of the answer to a search, 0 without an answer.
pub async fn search_status(address: SocketAddr, attempt: u64) -> u16 {
    match post(address, "/search", &search(attempt)).await {
        Ok(reply) => reply.status,
        Err(_) => 0,
    }
}
