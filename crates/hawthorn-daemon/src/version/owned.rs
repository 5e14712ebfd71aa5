//! The groups this host owns at a moment, and how much of them it may use.

use std::collections::HashMap;

use hawthorn_fleet::SlotShare;

/// The buckets of its own zone that this host owns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnedGroups {
    /// The zone.
    pub zone: String,
    shares: HashMap<u16, SlotShare>,
}

impl OwnedGroups {
    /// Of `shares`, those that may be used at all.
    pub fn new(zone: &str, shares: impl IntoIterator<Item = (u16, SlotShare)>) -> Self {
        let used = shares.into_iter().filter(|(_, share)| *share != SlotShare::None);
        Self { zone: zone.to_owned(), shares: used.collect() }
    }

    /// How much of the group's slots this host may use now.
    pub fn share(&self, zone: &str, bucket: u32) -> SlotShare {
        let bucket = u16::try_from(bucket).ok().filter(|_| self.zone == zone);
        bucket.and_then(|bucket| self.shares.get(&bucket).copied()).unwrap_or_default()
    }

    /// How many groups are owned.
    pub fn len(&self) -> usize {
        self.shares.len()
    }

    /// Whether no group is owned.
    pub fn is_empty(&self) -> bool {
        self.shares.is_empty()
    }
}
