//! The groups this host owns at a moment, and how much of them it may use.

use std::collections::HashMap;

use hawthorn_fleet::SlotShare;

/// The groups this host owns, by [`hawthorn_intent::catalog::GroupRecord::id`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnedGroups {
    shares: HashMap<u64, SlotShare>,
}

impl OwnedGroups {
    /// Of `shares`, the groups that may be used at all.
    pub fn new(shares: HashMap<u64, SlotShare>) -> Self {
        Self { shares }
    }

    /// How much of the group's slots this host may use; none when it is not
    /// the owner.
    pub fn share(&self, group: u64) -> Option<SlotShare> {
        self.shares.get(&group).copied()
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
