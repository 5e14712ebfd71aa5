//! The client on loopback sockets: the outcome that follows from each answer.

use std::error::Error;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hawthorn_store::DeleteOutcome;
use hawthorn_store::NotRunCause;
use hawthorn_store::ReadError;
use hawthorn_store::Store;
use hawthorn_store::StoreClient;
use hawthorn_store::UncertainCause;
use hawthorn_store::WriteOutcome;
use hawthorn_store::client::CallKind;
use hawthorn_store::client::CallOutcome;
use hawthorn_store::client::Options;
use hawthorn_store::client::WatchOutcome;
use hawthorn_types::platform::StoreEntry;
use hawthorn_types::platform::StorePut;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

type TestResult = Result<(), Box<dyn Error>>;

/// Behaviour of the server for one request.
#[derive(Clone, Copy, Debug)]
enum Reply {
    Answer(u16, &'static str),
    /// Never answers.
    Hang,
    /// Reads the request and closes the connection.
    Disconnect,
}

/// Serves `replies` in order and repeats the last one.
async fn serve(replies: Vec<Reply>) -> Result<SocketAddr, Box<dyn Error>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let next = Arc::new(AtomicUsize::new(0));
    let replies = Arc::new(replies);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (next, replies) = (Arc::clone(&next), Arc::clone(&replies));
            let answer = move |_: Request<Incoming>| {
                let number = next.fetch_add(1, Ordering::Relaxed).min(replies.len() - 1);
                reply(replies[number])
            };
            let connection = http1::Builder::new();
            tokio::spawn(connection.serve_connection(TokioIo::new(stream), service_fn(answer)));
        }
    });
    Ok(address)
}

async fn reply(reply: Reply) -> Result<Response<Full<Bytes>>, std::io::Error> {
    match reply {
        Reply::Answer(status, body) => {
            let response = Response::builder().status(status).body(Full::from(body));
            response.map_err(std::io::Error::other)
        }
        Reply::Hang => pending::<Result<_, _>>().await,
        Reply::Disconnect => Err(std::io::Error::other("connection closed")),
    }
}

fn options() -> Options {
    Options {
        call_deadline: Duration::from_millis(150),
        min_backoff: Duration::from_millis(1),
        max_backoff: Duration::from_millis(4),
        ..Options::default()
    }
}

fn put() -> StorePut {
    StorePut { expect: 4, value: "v".to_owned(), lease: None }
}

const ENTRY: &str = r#"{"key":"k","revision":5,"value":"v"}"#;

struct WriteCase {
    name: &'static str,
    replies: Vec<Reply>,
    outcome: WriteOutcome,
    counted: CallOutcome,
}

/// The answer alone determines whether a write may have taken effect. A lost answer treated as
/// "not run" applies an edit twice; a 429 treated as "may have run" delays an order needlessly.
#[tokio::test]
async fn the_outcome_of_a_write_follows_from_its_answer() -> TestResult {
    let case = |name, replies: &[Reply], outcome, counted| WriteCase {
        name,
        replies: replies.to_vec(),
        outcome,
        counted,
    };
    let written = WriteOutcome::Written { revision: 5 };
    let conflicted = WriteOutcome::Conflict { found: 7 };
    let rate_limited = WriteOutcome::NotRun(NotRunCause::RateLimited);
    let uncertain = WriteOutcome::Uncertain;
    let (success, limit) = (Reply::Answer(200, ENTRY), Reply::Answer(429, ""));
    let conflict = Reply::Answer(409, r#"{"found":7}"#);
    let cases = [
        case("written", &[success], written, CallOutcome::Ok),
        case("another revision", &[conflict], conflicted, CallOutcome::Conflict),
        case("rate limited once", &[limit, success], written, CallOutcome::RateLimited),
        case("rate limited until the deadline", &[limit], rate_limited, CallOutcome::RateLimited),
        case(
            "outage",
            &[Reply::Answer(503, "")],
            uncertain(UncertainCause::Outage),
            CallOutcome::Outage,
        ),
        case("no answer", &[Reply::Hang], uncertain(UncertainCause::Timeout), CallOutcome::Timeout),
        case(
            "connection closed",
            &[Reply::Disconnect],
            uncertain(UncertainCause::ConnectionLost),
            CallOutcome::ConnectionLost,
        ),
        case(
            "malformed answer",
            &[Reply::Answer(200, "{")],
            uncertain(UncertainCause::BadAnswer),
            CallOutcome::Ok,
        ),
    ];
    for case in cases {
        let client = StoreClient::new(serve(case.replies).await?, options());
        assert_eq!(client.put("k", put()).await, case.outcome, "{}", case.name);
        assert!(client.counts().get(CallKind::Put, case.counted) > 0, "{}", case.name);
    }
    Ok(())
}

#[tokio::test]
async fn an_unsent_write_is_reported_as_not_run() -> TestResult {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    drop(listener);
    let client = StoreClient::new(address, options());
    let unreachable = WriteOutcome::NotRun(NotRunCause::Unreachable);
    assert_eq!(client.put("k", put()).await, unreachable);
    let large = StorePut { value: "x".repeat((1 << 20) + 1), ..put() };
    assert_eq!(client.put("k", large).await, WriteOutcome::NotRun(NotRunCause::BadRequest));
    assert_eq!(client.counts().sent(), 0);
    Ok(())
}

#[tokio::test]
async fn answers_of_reads_leases_and_watches_are_decoded() -> TestResult {
    let serve_one = |status, body| serve(vec![Reply::Answer(status, body)]);
    let client = |address| StoreClient::new(address, options());
    let entry = StoreEntry { key: "k".to_owned(), revision: 5, value: "v".to_owned() };
    assert_eq!(client(serve_one(200, ENTRY).await?).get("k").await, Ok(Some(entry.clone())));
    assert_eq!(client(serve_one(404, "").await?).get("k").await, Ok(None));
    let outage = Err(ReadError::NoAnswer(UncertainCause::Outage));
    assert_eq!(client(serve_one(503, "").await?).get("k").await, outage);
    let wait = Duration::from_millis(10);
    let changed = client(serve_one(200, ENTRY).await?).watch("k", 4, wait).await;
    assert_eq!(changed, Ok(WatchOutcome::Changed(entry)));
    let unchanged = client(serve_one(204, "").await?).watch("k", 5, wait).await;
    assert_eq!(unchanged, Ok(WatchOutcome::Unchanged));
    assert_eq!(client(serve_one(404, "").await?).renew_lease(7).await, Ok(None));
    let lease =
        client(serve_one(200, r#"{"lease":7,"ttl_ms":900}"#).await?).grant_lease(wait).await?;
    assert_eq!((lease.lease, lease.ttl_ms), (7, 900));
    assert_eq!(client(serve_one(200, "[]").await?).list("p").await, Ok(Vec::new()));
    assert_eq!(client(serve_one(200, "[]").await?).hosts().await, Ok(Vec::new()));
    assert_eq!(client(serve_one(200, "").await?).delete("k", 5).await, DeleteOutcome::Deleted);
    assert_eq!(client(serve_one(404, "").await?).delete("k", 5).await, DeleteOutcome::Absent);
    assert_eq!(client(serve_one(409, "").await?).delete("k", 5).await, DeleteOutcome::Conflict);
    Ok(())
}

/// Guards against overload of a slow store: without a limit every call of a busy host opens
/// another connection.
#[tokio::test]
async fn concurrent_calls_to_a_slow_store_are_bounded() -> TestResult {
    let address = serve(vec![Reply::Hang]).await?;
    let client = StoreClient::new(address, Options { max_calls: 2, ..options() });
    let mut calls = JoinSet::new();
    for _ in 0..20 {
        let client = client.clone();
        calls.spawn(async move { client.put("k", put()).await });
    }
    let outcomes = calls.join_all().await;
    let timeout = WriteOutcome::Uncertain(UncertainCause::Timeout);
    assert_eq!(outcomes.iter().filter(|outcome| **outcome == timeout).count(), 2);
    let queued = WriteOutcome::NotRun(NotRunCause::QueueFull);
    assert_eq!(outcomes.iter().filter(|outcome| **outcome == queued).count(), 18);
    assert_eq!(client.counts().sent(), 2);
    Ok(())
}

/// How a body arrives, in pieces of 1 KiB.
struct BodyCase {
    name: &'static str,
    /// Pieces that arrive, of as many as the head states.
    pieces: usize,
    stated: usize,
    /// Time between two pieces.
    gap: Duration,
    is_read: bool,
}

/// Guards against a read that is cut although its body arrives, and against one that never ends.
#[tokio::test]
async fn a_long_body_is_read_for_as_long_as_it_arrives() -> TestResult {
    const PIECE: [u8; 1024] = [b'x'; 1024];
    let case = |name, pieces, stated, gap, is_read| {
        let gap = Duration::from_millis(gap);
        BodyCase { name, pieces, stated, gap, is_read }
    };
    let cases = [
        case("longer than a call may take", 20, 20, 30, true),
        case("stops in the middle", 3, 20, 10, false),
        case("without end", usize::MAX, usize::MAX / 2048, 10, false),
        case("larger than any answer", 400, 400, 0, false),
    ];
    for BodyCase { name, pieces, stated, gap, is_read } in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await?;
            let mut request = [0; 1024];
            let _read = stream.read(&mut request).await?;
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", stated * 1024);
            stream.write_all(head.as_bytes()).await?;
            for _ in 0..pieces {
                stream.write_all(&PIECE).await?;
                tokio::time::sleep(gap).await;
            }
            pending::<std::io::Result<()>>().await
        });
        let options = Options {
            body_stall: Duration::from_millis(200),
            body_deadline: Duration::from_secs(1),
            max_value: 64 * 1024,
            ..options()
        };
        let client = StoreClient::new(address, options);
        let read = client.read_path(CallKind::List, "/long".to_owned(), Duration::ZERO);
        let read = tokio::time::timeout(Duration::from_secs(3), read).await;
        let read = read.map_err(|_| format!("{name}: no end"))?;
        assert_eq!(read.is_ok(), is_read, "{name}: {read:?}");
    }
    Ok(())
}
