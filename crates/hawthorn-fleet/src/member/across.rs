//! Pings between zones, and which zones are lost.

use std::time::Duration;

use smallvec::SmallVec;

use hawthorn_types::ZoneKey;

use super::MemberTable;
use crate::action::FleetAction;

/// Zones held on the stack while one is chosen.
const ZONES_INLINE: usize = 32;

/// So many rounds of pings to a zone must go without a word before it is lost.
const ROUNDS_UNHEARD: u32 = 8;

impl MemberTable {
    /// Between this daemon's pings across zones. The smaller its zone, the more
    /// often each of its daemons pings, up to the rate of heartbeats.
    pub(super) fn across_wait(&self) -> Duration {
        let wait =
            self.options.zone_ping_interval.saturating_mul(self.own_count()) / self.other_count();
        wait.clamp(self.options.heartbeat, self.options.cross_zone_interval)
    }

    /// How long nothing may be heard of a zone. Failure: in a fleet of many
    /// zones with few hosts, each pair of zones talks seldom, and zones that
    /// are well would be lost. There the time is that of several rounds.
    fn zone_patience(&self) -> Duration {
        let round = self.across_wait().saturating_mul(self.other_count()) / self.own_count();
        self.options.zone_timeout.max(round.saturating_mul(ROUNDS_UNHEARD))
    }

    fn own_count(&self) -> u32 {
        u32::try_from(self.ring.len() + 1).unwrap_or(u32::MAX)
    }

    /// At least one, as it divides.
    fn other_count(&self) -> u32 {
        u32::try_from(self.other_zones().count()).unwrap_or(u32::MAX).max(1)
    }

    /// Pings one member of the next other zone, lost zones included: that is
    /// how a partition's end is noticed.
    pub(super) fn ping_across(&mut self, now: Duration) {
        let zones: SmallVec<[ZoneKey; ZONES_INLINE]> = self.other_zones().collect();
        if zones.is_empty() {
            return;
        }
        self.across_next = (self.across_next + 1) % zones.len();
        let zone = zones[self.across_next];
        if let Some(&key) = self.pick(1, |record| record.zone == zone).first() {
            self.ping(now, key, false, &[]);
        }
    }

    /// Tells the daemon which zones were lost or found since the last look.
    pub(super) fn review_zones(&mut self, now: Duration) {
        let patience = self.zone_patience();
        for (zone, reachable) in self.zones.review(now, patience) {
            if zone == self.my_zone {
                continue;
            }
            self.view_changed = true;
            let name = self.zones.name(zone).to_owned();
            self.actions.push_back(if reachable {
                FleetAction::ZoneFound(name)
            } else {
                FleetAction::ZoneLost(name)
            });
        }
    }
}
