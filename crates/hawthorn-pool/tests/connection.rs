//! When a request is on its way.

use std::io::ErrorKind;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hawthorn_pool::Options;
use hawthorn_pool::TargetPool;
use http_body_util::Full;
use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

const OPTIONS: Options = Options {
    max_connections: 4,
    max_buffered_bytes: 1024,
    connect_timeout: Duration::from_secs(5),
};

/// Longer than anything here takes.
const PATIENCE: Duration = Duration::from_secs(20);

/// A pool with two connections that stand, and the target's ends of them.
async fn pool() -> (Arc<TargetPool>, [TcpStream; 2]) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let pool = TargetPool::new(listener.local_addr().expect("it listens"), OPTIONS);
    pool.warm(2).await;
    let ends = [(); 2].map(|()| listener.accept().expect("a connection was opened").0);
    (Arc::new(pool), ends)
}

fn request(path: &str) -> Request<Full<Bytes>> {
    let request = Request::builder().uri(path).header("host", "target");
    request.body(Full::default()).expect("the request is valid")
}

/// Whether the target could read something.
fn has_bytes(end: &TcpStream) -> bool {
    end.set_nonblocking(true).expect("sockets may be made so");
    match end.peek(&mut [0; 1]) {
        Ok(count) => count > 0,
        Err(error) if error.kind() == ErrorKind::WouldBlock => false,
        Err(error) => panic!("{error}"),
    }
}

/// A starved host makes the requests of a query over ninety shards in one turn of
/// its loop, each with the time that its caller has left. Were they written in a
/// later turn, after all are made, targets would be handed time that is gone:
/// more than half a second of it on a host that stood still between. Each is
/// written before anything else has its turn.
#[tokio::test]
async fn a_request_is_written_where_it_is_made() {
    let (pool, ends) = pool().await;
    let first = Arc::clone(&pool);
    let first = tokio::spawn(async move {
        let connection = first.acquire().await.expect("two connections stand");
        connection.send(request("/first")).await
    });
    let next = tokio::spawn(async move { ends.iter().filter(|end| has_bytes(end)).count() });
    let written = timeout(PATIENCE, next).await.expect("it does not wait").expect("no panic");
    assert_eq!(written, 1, "requests at the target when the next task has its turn");
    first.abort();
}

/// A target closes a connection while it carries nothing. It is not handed out,
/// though no task watches it: a request on it would be lost.
#[tokio::test]
async fn a_connection_closed_at_rest_is_not_used() {
    let (pool, [kept, closed]) = pool().await;
    drop(closed);
    let held = Arc::clone(&pool);
    // Until the runtime has seen the end: what is polled before is a race by nature.
    tokio::time::sleep(Duration::from_millis(50)).await;
    let connection = timeout(PATIENCE, held.acquire()).await.expect("one stands");
    let sent = tokio::spawn(connection.expect("one stands").send(request("/kept")));
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(has_bytes(&kept), "the request went to the connection that stands");
    sent.abort();
}

/// After a loss of power 195 hosts each kept a connection to a target that accepts 120,
/// and it reset the requests of the others for as long as they were idle.
#[tokio::test]
async fn a_connection_that_is_not_kept_ends_with_its_exchange() {
    struct Case {
        kept: bool,
        opened: usize,
    }
    for Case { kept, opened } in [Case { kept: true, opened: 1 }, Case { kept: false, opened: 3 }] {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it listens");
        let count = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&count);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                counter.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(async move {
                    while stream.read(&mut [0; 1024]).await.is_ok_and(|read| read > 0) {
                        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                        stream.write_all(answer).await.expect("the pool reads");
                    }
                });
            }
        });
        let pool = TargetPool::new(address, OPTIONS);
        pool.set_keep_alive(kept);
        for _ in 0..3 {
            pool.send(request("/"), PATIENCE).await.expect("the target answers");
        }
        assert_eq!(count.load(Ordering::Relaxed), opened, "kept: {kept}");
    }
}
