//! Revisions of the platform's store, ordered across restores of the store.

use serde::Deserialize;
use serde::Serialize;

/// A revision of the store.
///
/// A store that is restored from a copy gives out the revision numbers after the copy again.
/// Its era rises with each restore, so a revision of a later era is newer, whatever its number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// Number of restores of the store.
    pub era: u64,
    /// Number of the revision within the era; rises with each change.
    pub number: u64,
}

impl StoreRevision {
    /// The revision of a host that has read nothing yet. It is older than all others, as the
    /// store's first change has number 1 or above.
    pub const NONE: Self = Self { era: 0, number: 0 };

    /// A revision of an era.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}
