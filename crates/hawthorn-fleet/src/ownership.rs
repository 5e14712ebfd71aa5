//! Which host owns a group of targets: rendezvous (highest random weight) hashing.
//!
//! A group is all targets of one zone whose shard hashes to one bucket. Each host has a score for
//! every group, and the live host with the highest score owns it. Daemons with the same list of
//! hosts agree on the owner without coordination, and a host that joins or leaves moves only its
//! own groups.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use hawthorn_types::HostKey;

use crate::message::MemberId;

/// Default number of buckets of a zone. Must be the same on all daemons of a fleet.
///
/// Sized for zones of 2 to 4 hosts. Sixteen or more buckets per host keep the host with the most
/// buckets below twice the mean, so a zone of 160 hosts needs 4,096. More buckets do not increase
/// the number of batches, because a query sends one per owner and not per bucket, but each change
/// of hosts scores every bucket for every host.
pub const DEFAULT_BUCKETS: u16 = 64;

/// Identifies a group across the fleet: a hash of its zone and bucket.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GroupId(pub u64);

impl GroupId {
    /// The group of this bucket of the zone.
    pub fn new(zone: &str, bucket: u16) -> Self {
        Self(xxh3_64_with_seed(zone.as_bytes(), u64::from(bucket)))
    }
}

/// The bucket, below `buckets`, of a shard (`service/number`).
pub fn bucket(shard: &str, buckets: u16) -> u16 {
    let remainder = xxh3_64(shard.as_bytes()) % u64::from(buckets.max(1));
    u16::try_from(remainder).expect("a remainder is smaller than its u16 divisor")
}

/// A host that may own groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerCandidate {
    /// Key of the host in this process.
    pub key: HostKey,
    /// Id of the host across the fleet; this is what is hashed.
    pub id: MemberId,
}

/// The host that owns the group, or `None` if there are no hosts.
pub fn owner(group: GroupId, hosts: impl IntoIterator<Item = OwnerCandidate>) -> Option<HostKey> {
    ranked(group, hosts).0.map(|candidate| candidate.key)
}

/// The owner of the group and the runner-up, which becomes the owner when the owner goes away.
pub fn ranked(
    group: GroupId,
    hosts: impl IntoIterator<Item = OwnerCandidate>,
) -> (Option<OwnerCandidate>, Option<OwnerCandidate>) {
    let mut first: Option<(u64, OwnerCandidate)> = None;
    let mut second: Option<(u64, OwnerCandidate)> = None;
    for candidate in hosts {
        let scored = (score(group, candidate.id), candidate);
        if first.is_none_or(|best| rank(scored) > rank(best)) {
            second = first.replace(scored);
        } else if second.is_none_or(|best| rank(scored) > rank(best)) {
            second = Some(scored);
        }
    }
    (first.map(|scored| scored.1), second.map(|scored| scored.1))
}

/// The host's weight for the group. The incarnation is not part of it, so that a restarted host
/// owns the same groups again.
pub fn score(group: GroupId, host: MemberId) -> u64 {
    xxh3_64_with_seed(&host.0.to_le_bytes(), group.0)
}

fn rank((score, candidate): (u64, OwnerCandidate)) -> (u64, MemberId) {
    (score, candidate.id)
}
