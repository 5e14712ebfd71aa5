//! Identifiers, outcomes and messages shared by all crates.
//!
//! The crate contains data types only, apart from arithmetic on key ranges. Types
//! that are sent between processes implement serde; each module documents their
//! sender and receiver.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod caller;
pub mod key;
pub mod platform;
pub mod range;
pub mod reason;
pub mod target;
pub mod version;

pub use caller::AnswerCoverage;
pub use caller::CallerAnswer;
pub use caller::CallerOutcome;
pub use caller::ConfigStamp;
pub use caller::MissingRange;
pub use caller::OnceRequest;
pub use caller::SearchQuery;
pub use caller::UrgencyClass;
pub use key::AttemptId;
pub use key::CallerKey;
pub use key::GroupKey;
pub use key::HostKey;
pub use key::RequestId;
pub use key::ServiceKey;
pub use key::ShardKey;
pub use key::ShardName;
pub use key::TargetKey;
pub use key::ZoneKey;
pub use range::KEY_SPACE;
pub use range::KeyRange;
pub use range::RangeSet;
pub use reason::FailureReason;
pub use reason::MissingReason;
pub use reason::RefusalReason;
pub use reason::RetryReason;
pub use reason::UnknownReason;
pub use target::DesiredState;
pub use target::TargetPhase;
pub use version::ConfigRevision;
pub use version::IndexVersion;
