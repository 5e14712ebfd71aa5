//! Inputs of the handover, and the resulting share.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::message::MemberId;

/// The share of a group's slots that this host may use.
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
    /// None: start no request; those in flight may finish.
    #[default]
    None,
    /// Half, rounded up: see [`SlotShare::slots`].
    Half,
    /// All.
    Full,
}

impl SlotShare {
    /// The number of a target's `slots` that may be used. Half of an odd number is rounded up, so
    /// that a target with one slot is served at all.
    pub fn slots(self, slots: u32) -> u32 {
        match self {
            SlotShare::None => 0,
            SlotShare::Half => slots.div_ceil(2),
            SlotShare::Full => slots,
        }
    }
}

/// Status of one host of the zone as known to this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostStatus {
    /// May own groups.
    Serving,
    /// Running, but owns nothing new: joining or leaving.
    Idle,
    /// Considered dead since this time.
    Dead(Duration),
    /// Announced that it stopped.
    Left,
}

/// This daemon's view of its zone, from [`MemberTable::zone_view`](crate::MemberTable::zone_view).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneView {
    /// The zone.
    pub zone: String,
    /// All known hosts of the zone, including this one.
    pub hosts: BTreeMap<MemberId, HostStatus>,
    /// This daemon receives from no member although it should.
    pub isolated: bool,
    /// This daemon receives from another zone.
    pub other_zones_reachable: bool,
}
