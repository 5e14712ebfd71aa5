//! A crowd of clients that hold connections open, and what the process they hold them to uses.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;
use hawthorn_standin::route::headers::ATTEMPT_ID;
use hawthorn_standin::route::headers::TIME_LEFT;
use hawthorn_standin::route::operator::HOST;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use super::TestResult;

/// Time after which a client stops sending to a process that does not read.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a crowd stays after the last client has sent what it sends.
const STAY: Duration = Duration::from_secs(1);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// How the length of a body is stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// In chunks of this size.
    Chunks(usize),
}

impl Framing {
    /// The header field that states it.
    fn field(self, body_bytes: usize) -> String {
        match self {
            Self::Length => format!("Content-Length: {body_bytes}"),
            Self::Chunks(_) => "Transfer-Encoding: chunked".to_owned(),
        }
    }

    /// A body, as sent.
    fn encode(self, body_bytes: usize) -> Vec<u8> {
        let Self::Chunks(size) = self else { return vec![b'x'; body_bytes] };
        let mut bytes = Vec::new();
        let mut left = body_bytes;
        while left > 0 {
            let chunk = size.min(left);
            bytes.extend_from_slice(format!("{chunk:x}\r\n").as_bytes());
            bytes.resize(bytes.len() + chunk, b'x');
            bytes.extend_from_slice(b"\r\n");
            left -= chunk;
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        bytes
    }
}

/// A request with a body of the given size, for a caller that waits for as long as its route allows.
pub fn request(path: &str, id: &str, framing: Framing, body_bytes: usize) -> Vec<u8> {
    let field = framing.field(body_bytes);
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT_ID}: {id}\r\n{TIME_LEFT}: 60000\r\n\
         {field}\r\n\r\n"
    );
    [head.into_bytes(), framing.encode(body_bytes)].concat()
}

/// A request to the product's own interface with a body of the given size.
pub fn query(framing: Framing, body_bytes: usize) -> Vec<u8> {
    let field = framing.field(body_bytes);
    let head = format!("POST /v1/query HTTP/1.1\r\nHost: h\r\n{field}\r\n\r\n");
    [head.into_bytes(), framing.encode(body_bytes)].concat()
}

/// All but the last bytes of a request.
pub fn unfinished(mut request: Vec<u8>) -> Vec<u8> {
    const UNSENT: usize = 100;
    request.truncate(request.len() - UNSENT);
    request
}

/// A head of the given size without an end.
pub fn endless_head(bytes: usize) -> Vec<u8> {
    let mut head = format!("GET /once/ HTTP/1.1\r\nHost: {HOST}\r\nX-Filler: ").into_bytes();
    head.resize(bytes, b'x');
    head
}

/// Clients with an open connection each, which they keep until they are dropped.
pub struct Crowd {
    streams: Vec<TcpStream>,
}

impl Crowd {
    /// Opens `count` connections, sends the same bytes on each as far as the process takes them,
    /// and stays.
    pub async fn send(at: SocketAddr, count: usize, bytes: &[u8]) -> Self {
        Self::send_with(at, count, bytes, None).await
    }

    /// As [`Crowd::send`]; the clients' sockets take no more than `receive_bytes` of an answer.
    pub async fn send_with(
        at: SocketAddr,
        count: usize,
        bytes: &[u8],
        receive_bytes: Option<u32>,
    ) -> Self {
        let client = async || {
            let socket = TcpSocket::new_v4().ok()?;
            if let Some(bytes) = receive_bytes {
                socket.set_recv_buffer_size(bytes).ok()?;
            }
            let mut stream = timeout(SEND_TIMEOUT, socket.connect(at)).await.ok()?.ok()?;
            // A process may close the connection, or stop reading from it.
            let _sent = timeout(SEND_TIMEOUT, stream.write_all(bytes)).await;
            Some(stream)
        };
        let streams = join_all((0..count).map(|_| client())).await;
        sleep(STAY).await;
        Self { streams: streams.into_iter().flatten().collect() }
    }
}

impl Crowd {
    /// Has each client read a few bytes now and then, until the crowd is dropped.
    pub fn trickle(self) -> SlowCrowd {
        const READ_BYTES: usize = 4096;
        const READ_INTERVAL: Duration = Duration::from_millis(100);
        let reader = tokio::spawn(async move {
            loop {
                for stream in &self.streams {
                    // The process may have closed the connection.
                    let _read = stream.try_read(&mut [0; READ_BYTES]);
                }
                sleep(READ_INTERVAL).await;
            }
        });
        SlowCrowd(reader)
    }
}

/// A crowd that reads slowly; its connections close when it is dropped.
pub struct SlowCrowd(JoinHandle<()>);

impl Drop for SlowCrowd {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// What a process used at most since its start or since the watch began.
#[derive(Clone, Copy, Debug)]
pub struct PeakUse {
    /// Resident memory, in KiB.
    pub resident_kb: u64,
    /// Bytes that its sockets had received and it had not read, in KiB.
    pub unread_kb: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

/// Watches a process while a crowd is there.
pub struct UsageWatch {
    id: u32,
    unread: Arc<AtomicU64>,
    descriptors: Arc<AtomicU64>,
    ended: Arc<AtomicBool>,
    sampler: JoinHandle<()>,
}

impl UsageWatch {
    /// Watches a process that listens at `at`; with port 0, at all ports of that IP address.
    pub fn start(id: u32, at: SocketAddr) -> Self {
        let (unread, descriptors) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        let ended = Arc::<AtomicBool>::default();
        let sampler = {
            let (unread, descriptors) = (Arc::clone(&unread), Arc::clone(&descriptors));
            let ended = Arc::clone(&ended);
            tokio::task::spawn_blocking(move || {
                while !ended.load(Ordering::Relaxed) {
                    unread.fetch_max(unread_bytes(id, at), Ordering::Relaxed);
                    descriptors.fetch_max(open_descriptors(id), Ordering::Relaxed);
                    std::thread::sleep(SAMPLE_INTERVAL);
                }
            })
        };
        Self { id, unread, descriptors, ended, sampler }
    }

    /// What the process has used at most; fails if it has ended.
    pub async fn finish(self) -> TestResult<PeakUse> {
        self.ended.store(true, Ordering::Relaxed);
        self.sampler.await?;
        let status = std::fs::read_to_string(proc_file(self.id, "status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let words = line.and_then(|line| line.split_whitespace().next());
        Ok(PeakUse {
            resident_kb: words.ok_or("no peak of the resident size")?.parse()?,
            unread_kb: self.unread.load(Ordering::Relaxed) / 1024,
            descriptors: self.descriptors.load(Ordering::Relaxed),
        })
    }
}

fn proc_file(id: u32, name: &str) -> PathBuf {
    format!("/proc/{id}/{name}").into()
}

fn open_descriptors(id: u32) -> u64 {
    std::fs::read_dir(proc_file(id, "fd")).map_or(0, |entries| entries.count() as u64)
}

/// Bytes in the receive queues of the sockets at the address, of any port if it has port 0.
fn unread_bytes(id: u32, at: SocketAddr) -> u64 {
    let SocketAddr::V4(at) = at else { return 0 };
    // The kernel writes addresses in the byte order of the machine.
    let ip = format!("{:08X}", u32::from_ne_bytes(at.ip().octets()));
    let table = std::fs::read_to_string(proc_file(id, "net/tcp")).unwrap_or_default();
    let unread = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (local, port) = fields.next()?.split_once(':')?;
        let port = u16::from_str_radix(port, 16).ok()?;
        let (_, received) = fields.nth(2)?.split_once(':')?;
        // A listening socket's queue holds connections.
        let is_listening = line.split_whitespace().nth(3) == Some("0A");
        let is_local = local == ip && (at.port() == 0 || at.port() == port);
        (is_local && !is_listening).then(|| u64::from_str_radix(received, 16).ok())?
    });
    unread.sum()
}
