//! A minimal HTTP/1.1 implementation that allows stand-ins to violate the protocol.

use std::collections::HashMap;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 1024 * 1024;

/// A parsed request.
#[derive(Clone, Debug, Default)]
pub struct WireRequest {
    /// The method.
    pub method: String,
    /// Path and query string.
    pub target: String,
    /// Values by lower-case name; the last one if a name is repeated.
    pub headers: HashMap<String, String>,
    /// All headers as received, with lower-case names.
    pub all_headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl WireRequest {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// A query parameter, without percent-decoding.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// The path without the query string.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// Reads the next request of a connection; `None` when the connection ends first.
///
/// # Errors
/// When the connection breaks.
pub async fn read(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<WireRequest>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            break at;
        }
        if buffer.len() > MAX_HEAD_BYTES || stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut first = lines.next().unwrap_or_default().split(' ');
    let mut request = WireRequest {
        method: first.next().unwrap_or_default().to_owned(),
        target: first.next().unwrap_or_default().to_owned(),
        ..WireRequest::default()
    };
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let (name, value) = (name.to_ascii_lowercase(), value.trim().to_owned());
        request.all_headers.push((name.clone(), value.clone()));
        request.headers.insert(name, value);
    }
    let length = request.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
    request.body = buffer.drain(..length).collect();
    Ok(Some(request))
}

/// Encodes an answer with a content length.
pub fn answer(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status:03} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
