//! Clients: they send requests and check what comes back.

use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use crate::http::Head;
use crate::http::Reader;
use crate::world::World;

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub host: &'static str,
    pub path: String,
    pub deadline: Duration,
}

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A complete answer in the protocol.
    Answer(Head, Vec<u8>),
    /// The connection broke, or the answer was cut off.
    Broken(String),
}

impl Request {
    fn bytes(&self) -> Vec<u8> {
        let Self { path, host, id, deadline } = self;
        format!(
            "GET {path} HTTP/1.1\r\nHost: {host}\r\nHawthornroute-Attempt-Id: {id}\r\n\
             Hawthornroute-Deadline-Ms: {}\r\n\r\n",
            deadline.as_millis()
        )
        .into_bytes()
    }
}

/// A connection to a host.
#[derive(Debug)]
pub struct Connection {
    reader: Reader,
}

impl Connection {
    pub fn open(host: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&host, Duration::from_secs(1))?;
        Ok(Self { reader: Reader::new(stream) })
    }

    /// Sends a request and reads its answer; the flag tells whether the connection may be kept.
    pub fn send(&mut self, world: &Arc<World>, request: &Request) -> (Outcome, bool) {
        let wait = request.deadline + Duration::from_millis(1500);
        let _set = self.reader.stream.set_read_timeout(Some(wait));
        let _set = self.reader.stream.set_write_timeout(Some(wait));
        let Request { id, path, .. } = request;
        world.note(format!("client sends attempt={id} {path}"));
        let outcome = match self.exchange(request) {
            Ok((head, body)) => {
                let stamp = head.header("hawthornroute-response-stamp").unwrap_or("none");
                let text =
                    format!("client gets attempt={id} status={} stamp={stamp}", head.status());
                world.note(text);
                let keep = head.header("connection").is_none_or(|value| value != "close");
                return (Outcome::Answer(head, body), keep);
            }
            Err(error) => Outcome::Broken(error.to_string()),
        };
        world.note(format!("client gets no answer attempt={id} {outcome:?}"));
        (outcome, false)
    }

    fn exchange(&mut self, request: &Request) -> io::Result<(Head, Vec<u8>)> {
        self.reader.send(&request.bytes())?;
        let head = self.reader.head()?;
        let head = head.ok_or_else(|| io::Error::other("closed without an answer"))?;
        if !head.start.starts_with("HTTP/1.1 ") || head.status() < 200 {
            return Err(io::Error::other(format!("no answer: {}", head.start)));
        }
        let body = self.reader.body(&head, true)?;
        if self.reader.has_more() {
            return Err(io::Error::other("bytes after the answer"));
        }
        Ok((head, body))
    }
}
