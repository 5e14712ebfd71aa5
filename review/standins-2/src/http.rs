//! HTTP/1.1 over blocking sockets.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

/// The head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The words of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    /// The status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads messages from a connection.
#[derive(Debug)]
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        let _best_effort = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Whether bytes were read that belong to no message yet.
    pub fn has_more(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(count) => {
                    self.buffer.extend_from_slice(&chunk[..count]);
                    return Ok(count);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// The next head; `None` if the connection ended before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            let end = self.buffer.windows(4).position(|window| window == b"\r\n\r\n");
            if let Some(end) = end {
                let bytes: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
                return Ok(Some(Head { start, headers: headers.collect() }));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(broken("cut head")) };
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(broken("cut body"));
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let bytes: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&bytes[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(broken("cut line"));
            }
        }
    }

    /// The body that follows a head; one without a length ends with the connection if
    /// `until_close`, and is empty otherwise.
    pub fn body(&mut self, head: &Head, until_close: bool) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| broken("bad chunk"))?;
                body.extend(self.exactly(size)?);
                let end = self.line()?;
                if size == 0 {
                    // Trailers are not used.
                    let mut last = end;
                    while !last.is_empty() {
                        last = self.line()?;
                    }
                    return Ok(body);
                }
            }
        }
        if let Some(length) = head.header("content-length") {
            return self.exactly(length.parse().map_err(|_| broken("bad length"))?);
        }
        if until_close {
            while self.fill()? > 0 {}
            return Ok(std::mem::take(&mut self.buffer));
        }
        Ok(Vec::new())
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// An answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
