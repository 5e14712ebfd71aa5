//! The platform's key-value service: client, configuration edits and at-most-once claims.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]
