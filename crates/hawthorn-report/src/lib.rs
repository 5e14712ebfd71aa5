//! What hosts' log lines and saved metrics tell of a run.
//!
//! | module | holds |
//! |---|---|
//! | [`line`] | one log line, taken apart |
//! | [`timeline`] | counts of a run by second, from the lines of all its hosts |
//! | [`scrape`] | metrics as they were saved, one text after the other |
//! | `page` | one HTML page with a run's drawings and tables |
//!
//! Nothing here opens a file or a socket.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

#[cfg(feature = "draw")]
mod draw;
pub mod line;
#[cfg(feature = "draw")]
pub mod page;
pub mod scrape;
pub mod timeline;
