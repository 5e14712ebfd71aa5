//! Analysis of a run from hosts' log lines and saved metrics.
//!
//! | module | holds |
//! |---|---|
//! | [`line`] | parsed log lines |
//! | [`timeline`] | per-second counts of a run, from the lines of all its hosts |
//! | [`scrape`] | saved metrics and their rates |
//! | `page` | HTML page with the charts and tables of a run |
//!
//! The crate performs no I/O.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

#[cfg(feature = "draw")]
mod chart;
pub mod line;
#[cfg(feature = "draw")]
pub mod page;
pub mod scrape;
pub mod timeline;
