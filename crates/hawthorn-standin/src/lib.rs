//! Development stand-ins: targets, platform, fault proxy, load tool and history checker.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]
