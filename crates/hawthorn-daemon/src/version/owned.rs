//! The groups that this host owns, and the share of their slots that it may use.

use std::collections::HashMap;

use hawthorn_fleet::SlotShare;

/// Owned buckets of this host's zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnedGroups {
    /// The zone.
    pub zone: String,
    shares: HashMap<u16, SlotShare>,
}

impl OwnedGroups {
    /// Keeps those of `shares` that may be used at all.
    pub fn new(zone: &str, shares: impl IntoIterator<Item = (u16, SlotShare)>) -> Self {
        let used = shares.into_iter().filter(|(_, share)| *share != SlotShare::None);
        Self { zone: zone.to_owned(), shares: used.collect() }
    }

    /// Share of the group's slots that this host may use.
    pub fn share(&self, zone: &str, bucket: u32) -> SlotShare {
        let bucket = u16::try_from(bucket).ok().filter(|_| self.zone == zone);
        bucket.and_then(|bucket| self.shares.get(&bucket).copied()).unwrap_or_default()
    }

    /// Number of owned groups.
    pub fn len(&self) -> usize {
        self.shares.len()
    }

    /// Whether no group is owned.
    pub fn is_empty(&self) -> bool {
        self.shares.is_empty()
    }
}
