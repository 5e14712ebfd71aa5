//! What goes into the hand-over, and the share that comes out.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::message::MemberId;

/// How much of a group's slots this host may use now.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    strum::Display,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum SlotShare {
    /// None: start nothing; what runs may finish.
    #[default]
    None,
    /// Half, rounded up: see [`SlotShare::slots`].
    Half,
    /// All.
    Full,
}

impl SlotShare {
    /// How many of a target's `slots` may be used. Half of an odd number is
    /// rounded up, so that a target with one slot is served at all.
    pub fn slots(self, slots: u32) -> u32 {
        match self {
            SlotShare::None => 0,
            SlotShare::Half => slots.div_ceil(2),
            SlotShare::Full => slots,
        }
    }
}

/// What this daemon knows of one host of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostStatus {
    /// May own groups.
    Serving,
    /// Runs, but owns nothing new: joining or leaving.
    Idle,
    /// Held for dead since this time.
    Dead(Duration),
    /// Said that it stopped.
    Left,
}

/// This daemon's zone as it sees it, from [`MemberTable::zone_view`](crate::MemberTable::zone_view).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneView {
    /// The zone.
    pub zone: String,
    /// All known hosts of the zone, this one included.
    pub hosts: BTreeMap<MemberId, HostStatus>,
    /// This daemon hears nobody although it should.
    pub isolated: bool,
    /// This daemon hears from another zone.
    pub other_zones_reachable: bool,
}
