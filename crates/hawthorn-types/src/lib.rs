//! Typed identifiers, outcomes and messages that every other crate speaks.
//!
//! The crate holds no behaviour beyond arithmetic on key ranges: it is the
//! vocabulary shared by the decisions, the daemon and the stand-ins. Shapes
//! that travel between processes are serde types; each module names who sends
//! what to whom.
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
