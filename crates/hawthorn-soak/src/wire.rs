//! A caller's connection to a host: a minimal HTTP/1.1 client that sees every byte.
//!
//! A client library hides bytes that arrive when no request waits, and connections that end within
//! an answer. Both are promises that the soak checks.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use quick_error::quick_error;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::history::HostKey;

/// Maximum size of an answer's head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Time in which callers expect a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

quick_error! {
    /// Why there is no answer.
    #[derive(Debug)]
    pub enum Error {
        /// The connection ended, or could not be opened.
        Closed(source: io::Error) {
            display("the connection ended: {source}")
            source(source)
            from()
        }
        /// The bytes are no answer.
        Malformed(what: String) {
            display("not an answer: {what}")
        }
    }
}

/// An answer as it arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WireAnswer {
    /// HTTP status.
    pub status: u16,
    /// Values by lower-case name; those of a repeated name are joined by a comma.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

impl WireAnswer {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Whether the host announces that it closes the connection.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// An open connection.
#[derive(Debug)]
pub struct CallerConnection {
    /// The host that it leads to.
    pub host: HostKey,
    /// Number of requests sent on it.
    pub uses: usize,
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl CallerConnection {
    /// Connects to a host.
    ///
    /// # Errors
    /// When the connection is refused, or not established in time.
    pub async fn open(host: HostKey, address: SocketAddr) -> Result<Self, Error> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        Ok(Self { host, uses: 0, stream, buffer: Vec::new() })
    }

    /// Whether the connection is open and nothing has arrived on it; the bytes that have, if any.
    pub fn is_quiet(&mut self) -> Result<bool, Vec<u8>> {
        if !self.buffer.is_empty() {
            return Err(std::mem::take(&mut self.buffer));
        }
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(0) => Ok(false),
            Ok(_) => Err(std::mem::take(&mut self.buffer)),
            Err(error) => Ok(error.kind() == io::ErrorKind::WouldBlock),
        }
    }

    /// Sends bytes.
    ///
    /// # Errors
    /// When the connection has ended.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), Error> {
        Ok(self.stream.write_all(bytes).await?)
    }

    /// Receives one answer.
    ///
    /// # Errors
    /// When the connection ends before the answer does, or the bytes are no answer.
    pub async fn receive(&mut self) -> Result<WireAnswer, Error> {
        loop {
            let mut answer = self.read_head().await?;
            // An informational response precedes the answer.
            if (100..200).contains(&answer.status) {
                continue;
            }
            answer.body = self.read_body(&answer).await?;
            return Ok(answer);
        }
    }

    async fn fill(&mut self) -> Result<(), Error> {
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
            _ => Ok(()),
        }
    }

    async fn read_line(&mut self) -> Result<String, Error> {
        let end = loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                break end;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(Error::Malformed("a line without an end".to_owned()));
            }
            self.fill().await?;
        };
        let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 2);
        Ok(line)
    }

    async fn read_head(&mut self) -> Result<WireAnswer, Error> {
        let first = self.read_line().await?;
        let mut words = first.split(' ');
        let (version, status) = (words.next(), words.next().and_then(|word| word.parse().ok()));
        let (Some("HTTP/1.1"), Some(status)) = (version, status) else {
            return Err(Error::Malformed(first));
        };
        let mut answer = WireAnswer { status, ..WireAnswer::default() };
        loop {
            let line = self.read_line().await?;
            if line.is_empty() {
                return Ok(answer);
            }
            let Some((name, value)) = line.split_once(':') else {
                return Err(Error::Malformed(line));
            };
            let values = answer.headers.entry(name.to_ascii_lowercase()).or_default();
            if !values.is_empty() {
                values.push_str(", ");
            }
            values.push_str(value.trim());
        }
    }

    async fn read_body(&mut self, answer: &WireAnswer) -> Result<Vec<u8>, Error> {
        if answer.header("transfer-encoding").is_some_and(|value| value == "chunked") {
            return self.read_chunks().await;
        }
        match answer.header("content-length").map(str::parse) {
            Some(Ok(length)) => self.read_exactly(length).await,
            Some(Err(_)) => Err(Error::Malformed("a length that is no number".to_owned())),
            None if answer.status == 204 || answer.status == 304 => Ok(Vec::new()),
            None => self.read_to_end().await,
        }
    }

    async fn read_exactly(&mut self, length: usize) -> Result<Vec<u8>, Error> {
        while self.buffer.len() < length {
            self.fill().await?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    async fn read_chunks(&mut self) -> Result<Vec<u8>, Error> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line().await?;
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return Err(Error::Malformed(format!("chunk length {line:?}")));
            };
            body.extend(self.read_exactly(length).await?);
            let end = self.read_line().await?;
            if !end.is_empty() {
                return Err(Error::Malformed(format!("{end:?} after a chunk")));
            }
            if length == 0 {
                return Ok(body);
            }
        }
    }

    async fn read_to_end(&mut self) -> Result<Vec<u8>, Error> {
        loop {
            match self.stream.read_buf(&mut self.buffer).await? {
                0 => return Ok(std::mem::take(&mut self.buffer)),
                _ => continue,
            }
        }
    }
}
