//! HTTP/1.1 by hand, so that a stand-in can break its rules.

use std::collections::HashMap;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Bytes of a head that are read at the most.
const HEAD_LIMIT: usize = 64 * 1024;

/// A request as it was read.
#[derive(Clone, Debug, Default)]
pub(super) struct WireRequest {
    pub(super) method: String,
    /// Path and query.
    pub(super) target: String,
    /// By names in lower case.
    pub(super) headers: HashMap<String, String>,
    pub(super) body: Vec<u8>,
}

impl WireRequest {
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// A value of the query, as it was sent.
    pub(super) fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    pub(super) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// Reads the next request of a connection; `None` at its end.
pub(super) async fn read(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<WireRequest>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            break at;
        }
        if buffer.len() > HEAD_LIMIT || stream.read_buf(buffer).await? == 0 {
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
        request.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
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

/// An answer with a length.
pub(super) fn answer(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
