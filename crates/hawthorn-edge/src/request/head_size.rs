//! The size of a request's head.

use hyper::http::request::Parts;

/// Bytes of a request line besides its method and target: two spaces, the version and the line end.
const REQUEST_LINE_BYTES: usize = " ".len() + " HTTP/1.1\r\n".len();
/// Bytes of a header line besides its name and value.
const HEADER_LINE_BYTES: usize = ":\r\n".len();
const EMPTY_LINE_BYTES: usize = "\r\n".len();

/// The size of a head in bytes, without optional white space: at most what the caller has sent.
pub(crate) fn head_bytes(head: &Parts) -> usize {
    let path = head.uri.path_and_query().map_or(0, |path| path.as_str().len());
    let authority = head.uri.authority().map_or(0, |authority| authority.as_str().len());
    let headers: usize = head
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_BYTES)
        .sum();
    head.method.as_str().len() + authority + path + REQUEST_LINE_BYTES + headers + EMPTY_LINE_BYTES
}
