//! The parts of HTTP/1.1 that the stand-ins speak.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

/// A request or an answer: its first line, its headers and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The first value of a header, by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn call(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Reads messages from a connection; keeps what was read beyond one.
pub struct MessageReader {
    stream: TcpStream,
    held: Vec<u8>,
}

impl MessageReader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, held: Vec::new() }
    }

    fn more(&mut self) -> std::io::Result<bool> {
        let mut buffer = [0_u8; 16384];
        let count = self.stream.read(&mut buffer)?;
        self.held.extend_from_slice(&buffer[..count]);
        Ok(count > 0)
    }

    /// The next message; `None` if the connection ended before its first byte.
    pub fn next(&mut self) -> std::io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.held.windows(4).position(|part| part == b"\r\n\r\n") {
                break at;
            }
            if !self.more()? {
                let cut = std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
                return if self.held.is_empty() { Ok(None) } else { Err(cut) };
            }
        };
        let head = String::from_utf8_lossy(&self.held[..end]).into_owned();
        self.held.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message { first, headers, body: Vec::new() };
        if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            message.body = self.chunks()?;
            return Ok(Some(message));
        }
        let length: usize =
            message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        self.fill(length)?;
        message.body = self.held.drain(..length).collect();
        Ok(Some(message))
    }

    fn fill(&mut self, length: usize) -> std::io::Result<()> {
        while self.held.len() < length {
            if !self.more()? {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(())
    }

    fn chunks(&mut self) -> std::io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = self.held.windows(2).position(|part| part == b"\r\n") {
                    break at;
                }
                self.fill(self.held.len() + 1)?;
            };
            let text = String::from_utf8_lossy(&self.held[..end]).into_owned();
            let size = usize::from_str_radix(text.trim(), 16)
                .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
            self.fill(end + 2 + size + 2)?;
            self.held.drain(..end + 2);
            body.extend(self.held.drain(..size));
            self.held.drain(..2);
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

/// The bytes of an answer with a length.
pub fn answer(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} S\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

pub fn send(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    stream.write_all(bytes)?;
    stream.flush()
}
