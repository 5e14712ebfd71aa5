//! When requests are written, and which connections are reused.

use std::io::ErrorKind;
use std::io::Read;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hawthorn_pool::Error;
use hawthorn_pool::Options;
use hawthorn_pool::TargetPool;
use http_body_util::Full;
use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;
use tokio::time::timeout;

const OPTIONS: Options = Options {
    max_connections: 4,
    max_buffered_bytes: 1024,
    connect_timeout: Duration::from_secs(5),
};

/// Exceeds the duration of every operation here.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A pool with two open connections, and the target's ends of them.
async fn pool() -> (Arc<TargetPool>, [TcpStream; 2]) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let pool = TargetPool::new(listener.local_addr().expect("the listener is bound"), OPTIONS);
    pool.warm(2).await;
    let ends = [(); 2].map(|()| listener.accept().expect("a connection was opened").0);
    (Arc::new(pool), ends)
}

fn request(path: &str) -> Request<Full<Bytes>> {
    let request = Request::builder().uri(path).header("host", "target");
    request.body(Full::default()).expect("the request is valid")
}

/// Whether the target has received bytes.
fn has_bytes(end: &TcpStream) -> bool {
    end.set_nonblocking(true).expect("the socket supports non-blocking mode");
    match end.peek(&mut [0; 1]) {
        Ok(count) => count > 0,
        Err(error) if error.kind() == ErrorKind::WouldBlock => false,
        Err(error) => panic!("{error}"),
    }
}

/// Guards against overstated deadlines. A host short of processor time creates the requests
/// of a query over ninety shards in one turn of its event loop, each with the time that its
/// caller has left. If they were written in a later turn, that time would have passed: more
/// than half a second on a host paused in between.
#[tokio::test]
async fn a_request_is_written_before_other_tasks_run() {
    let (pool, ends) = pool().await;
    let first = Arc::clone(&pool);
    let first = tokio::spawn(async move {
        let connection = first.acquire().await.expect("two connections are open");
        connection.send(request("/first")).await
    });
    let next = tokio::spawn(async move { ends.iter().filter(|end| has_bytes(end)).count() });
    let written = timeout(TIMEOUT, next)
        .await
        .expect("the task does not wait")
        .expect("the task does not panic");
    assert_eq!(written, 1, "requests at the target when the next task runs");
    first.abort();
}

/// Guards against requests lost on a connection that the target closed while it was idle.
/// No task drives an idle connection, so the pool has to check it when it is acquired.
#[tokio::test]
async fn an_idle_connection_closed_by_the_target_is_not_reused() {
    let (pool, [open, closed]) = pool().await;
    drop(closed);
    let pool = Arc::clone(&pool);
    // Waits until the runtime has received the close: an earlier poll would race with it.
    tokio::time::sleep(Duration::from_millis(50)).await;
    let connection = timeout(TIMEOUT, pool.acquire()).await.expect("a connection is open");
    let sent = tokio::spawn(connection.expect("a connection is open").send(request("/kept")));
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(has_bytes(&open), "the request was sent on the open connection");
    sent.abort();
}

/// Guards against descriptors that stay in use after a peak of the load: the connections that are
/// idle since then are never acquired again, and stay half-closed when the target closes them.
#[tokio::test]
async fn idle_connections_closed_by_the_target_are_released() {
    let (pool, ends) = pool().await;
    for end in &ends {
        end.shutdown(Shutdown::Write).expect("the connection is open");
    }
    // The runtime learns of it when it next waits.
    sleep(Duration::from_millis(1)).await;
    pool.sweep();
    for mut end in ends {
        end.set_read_timeout(Some(TIMEOUT)).expect("the time is not zero");
        let read = end.read(&mut [0; 1]).expect("the connection ends in time");
        assert_eq!(read, 0, "the pool closes its end");
    }
}

/// A pool of connections to a target that answers every request with a body of this size, and
/// the number of connections that the target has accepted.
async fn answered_pool(body_bytes: usize) -> (TargetPool, Arc<AtomicUsize>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let count = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&count);
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {body_bytes}\r\n\r\n");
    let answer = [head.into_bytes(), vec![b'x'; body_bytes]].concat();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            counter.fetch_add(1, Ordering::Relaxed);
            let answer = answer.clone();
            tokio::spawn(async move {
                while stream.read(&mut [0; 1024]).await.is_ok_and(|read| read > 0) {
                    stream.write_all(&answer).await.expect("the pool reads");
                }
            });
        }
    });
    (TargetPool::new(address, OPTIONS), count)
}

/// Guards against idle connections that exhaust a target's limit: if more hosts keep one
/// open than the target accepts (195 hosts, limit 120), it resets the requests of the others.
#[tokio::test]
async fn a_connection_without_keep_alive_closes_after_its_exchange() {
    struct Case {
        keep_alive: bool,
        opened: usize,
    }
    for Case { keep_alive, opened } in
        [Case { keep_alive: true, opened: 1 }, Case { keep_alive: false, opened: 3 }]
    {
        let (pool, count) = answered_pool(0).await;
        pool.set_keep_alive(keep_alive);
        for _ in 0..3 {
            pool.send(request("/"), TIMEOUT).await.expect("the target answers").accept();
        }
        assert_eq!(count.load(Ordering::Relaxed), opened, "keep_alive: {keep_alive}");
    }
}

/// Guards against the answer to another call that is taken as the acknowledgement of an order.
#[tokio::test]
async fn only_an_answer_without_a_body_acknowledges() {
    struct Case {
        body_bytes: usize,
        acknowledged: bool,
        opened: usize,
    }
    let cases = [
        Case { body_bytes: 0, acknowledged: true, opened: 1 },
        Case { body_bytes: 1, acknowledged: false, opened: 3 },
        Case { body_bytes: 2 * OPTIONS.max_buffered_bytes, acknowledged: false, opened: 3 },
    ];
    for Case { body_bytes, acknowledged, opened } in cases {
        let (pool, count) = answered_pool(body_bytes).await;
        for _ in 0..3 {
            let answer = pool.send(request("/"), TIMEOUT).await.expect("the target answers");
            assert_eq!(answer.accept_empty().is_some(), acknowledged, "{body_bytes} bytes");
        }
        assert_eq!(count.load(Ordering::Relaxed), opened, "{body_bytes} bytes");
    }
}

/// Guards against a target that stops after the head of its answer, and is taken to have answered
/// with an empty body.
#[tokio::test]
async fn an_empty_body_has_a_stated_end() {
    struct Case {
        name: &'static str,
        answer: &'static str,
        body: Option<&'static str>,
    }
    let cases = [
        Case { name: "nothing stated", answer: "HTTP/1.1 200 OK\r\n\r\n", body: None },
        Case { name: "a failure", answer: "HTTP/1.1 500 -\r\n\r\n", body: None },
        Case { name: "a body", answer: "HTTP/1.1 200 OK\r\n\r\nx", body: Some("x") },
        Case { name: "no body by status", answer: "HTTP/1.1 204 -\r\n\r\n", body: Some("") },
        Case {
            name: "a length",
            answer: "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
            body: Some(""),
        },
        Case {
            name: "chunks",
            answer: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            body: Some(""),
        },
    ];
    for Case { name, answer, body } in cases {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let pool = TargetPool::new(listener.local_addr().expect("the listener is bound"), OPTIONS);
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("the pool connects");
            let _request = stream.read(&mut [0; 1024]).await.expect("the pool sends");
            stream.write_all(answer.as_bytes()).await.expect("the pool reads");
        });
        match (pool.send(request("/"), TIMEOUT).await, body) {
            (Ok(answer), Some(body)) => assert_eq!(answer.body(), body, "{name}"),
            (Err(Error::Broken(_)), None) => {}
            (other, _) => panic!("{name}: {other:?}"),
        }
    }
}

/// Guards against requests that get each other's answers: after an answer of another request,
/// the connection's next answer belongs to the request before.
#[tokio::test]
async fn only_an_accepted_answer_returns_its_connection() {
    struct Case {
        name: &'static str,
        body_bytes: usize,
        collects: bool,
        accepts: bool,
        opened: usize,
    }
    let case = |name, body_bytes, collects, accepts, opened| Case {
        name,
        body_bytes,
        collects,
        accepts,
        opened,
    };
    let long = 2 * OPTIONS.max_buffered_bytes;
    let cases = [
        case("accepted", 0, false, true, 1),
        case("accepted, long", long, true, true, 1),
        case("accepted, the end unread", long, false, true, 3),
        case("dropped", 0, false, false, 3),
        case("dropped, long", long, true, false, 3),
        case("dropped, the end unread", long, false, false, 3),
    ];
    for Case { name, body_bytes, collects, accepts, opened } in cases {
        let (pool, count) = answered_pool(body_bytes).await;
        for _ in 0..3 {
            let mut answer = pool.send(request("/"), TIMEOUT).await.expect("the target answers");
            if collects {
                answer = answer.collect(body_bytes).await.expect("the body fits");
                assert_eq!(answer.body().len(), body_bytes, "{name}");
            }
            if accepts {
                answer.accept();
            }
        }
        assert_eq!(count.load(Ordering::Relaxed), opened, "{name}");
    }
}
