//! Small `Copy` keys into arenas, and the identifiers that cross processes.
//!
//! A `*Key` is an index into an arena that a process built from one configuration
//! revision, and is never sent to another process. A `*Id` or `*Name` may be sent.

use std::fmt;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

macro_rules! arena_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub u32);

        impl $name {
            /// The position in the arena.
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl From<usize> for $name {
            fn from(index: usize) -> Self {
                Self(u32::try_from(index).expect("an arena holds fewer than 2^32 entries"))
            }
        }
    };
}

arena_key!(
    /// A caller (a member firm or a desk) in the rules.
    CallerKey
);
arena_key!(
    /// A group of targets that one host owns together.
    GroupKey
);
arena_key!(
    /// An entry host of the tier, in the fleet's table of members.
    HostKey
);
arena_key!(
    /// A service, which is one sharded index.
    ServiceKey
);
arena_key!(
    /// A shard of a service.
    ShardKey
);
arena_key!(
    /// A target, which is one server holding replicas of shards.
    TargetKey
);
arena_key!(
    /// An availability zone.
    ZoneKey
);

/// Identifies a caller's request inside the tier: 128 random bits, so that ids
/// assigned by different hosts do not collide.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u128);

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Identifies one attempt of a request at one target. Unique within the host that
/// made the attempt, and globally together with the [`RequestId`].
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AttemptId(pub u64);

/// A shard as operators write it, `service/number`: `agent-desk/03`.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(transparent)]
pub struct ShardName(pub String);

impl ShardName {
    /// The service part, before the last slash.
    pub fn service(&self) -> &str {
        self.0.rsplit_once('/').map_or(self.0.as_str(), |(service, _)| service)
    }
}

impl fmt::Display for ShardName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
