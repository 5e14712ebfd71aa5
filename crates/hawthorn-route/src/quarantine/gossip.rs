//! Dissemination of quarantine records by gossip.
//!
//! A host that learns of a change forwards it to a few random hosts. The number of
//! messages per host is independent of the fleet size, and the number of rounds until
//! all hosts have the change is logarithmic in it. A host that was missed detects the
//! difference by the digest in heartbeats and requests the records.

use rand::Rng;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::Serialize;

pub use super::record::Notice;

/// Receivers in the sender's own zone. With four, about 98% of hosts receive a change by
/// gossip alone.
const OWN_ZONE_RECEIVERS: usize = 4;
/// Other zones in which one host each receives a change.
const OTHER_ZONE_RECEIVERS: usize = 3;
/// The maximum number of notices in one message, so that it fits into a datagram.
pub const MAX_NOTICES: usize = 16;
/// The maximum number of messages in reply to one [`QuarantineMessage::RequestNotices`].
pub const MAX_MESSAGES: usize = 16;

/// A message between hosts about quarantined requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// The sender's records of some subjects.
    Notices(Vec<Notice>),
    /// Requests all confirmed records.
    RequestNotices,
}

/// Selects the receivers of a change among the hosts of the own zone and of other zones.
pub fn receivers<T: Copy>(own: &[T], others: &[Vec<T>], rng: &mut impl Rng) -> Vec<T> {
    let mut receivers: Vec<T> = own.sample(rng, OWN_ZONE_RECEIVERS).copied().collect();
    let zones = others.sample(rng, OTHER_ZONE_RECEIVERS);
    receivers.extend(zones.filter_map(|zone| zone.choose(rng).copied()).collect::<Vec<T>>());
    receivers
}

/// Splits notices for one host into messages. The start is random, so that repeated
/// requests eventually return all notices when they exceed [`MAX_MESSAGES`].
pub fn messages(mut notices: Vec<Notice>, rng: &mut impl Rng) -> Vec<QuarantineMessage> {
    use rand::RngExt;
    if !notices.is_empty() {
        let start = rng.random_range(0..notices.len());
        notices.rotate_left(start);
    }
    let chunks = notices.chunks(MAX_NOTICES).take(MAX_MESSAGES);
    chunks.map(|chunk| QuarantineMessage::Notices(chunk.to_vec())).collect()
}
