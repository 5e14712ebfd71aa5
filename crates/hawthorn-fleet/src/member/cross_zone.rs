//! Pings between zones, and detection of lost zones.

use std::time::Duration;

use smallvec::SmallVec;

use hawthorn_types::ZoneKey;

use super::MemberTable;
use crate::action::FleetAction;

/// Zones kept on the stack while one is selected.
const ZONES_INLINE: usize = 32;

/// Rounds of pings to a zone without any datagram from it before it is lost.
const SILENT_ROUNDS: u32 = 8;

impl MemberTable {
    /// Interval between this daemon's pings to other zones. The smaller its zone, the more often
    /// each of its daemons pings, up to the heartbeat rate.
    pub(super) fn cross_zone_interval(&self) -> Duration {
        let interval = self.options.zone_ping_interval.saturating_mul(self.own_zone_size())
            / self.other_zone_count();
        interval.clamp(self.options.heartbeat, self.options.cross_zone_interval)
    }

    /// How long a zone may be silent before it is lost. Covers several rounds of pings, because in
    /// a fleet of many zones with few hosts each pair of zones exchanges few datagrams, and healthy
    /// zones would otherwise be declared lost.
    fn zone_timeout(&self) -> Duration {
        let round = self.cross_zone_interval().saturating_mul(self.other_zone_count())
            / self.own_zone_size();
        self.options.zone_timeout.max(round.saturating_mul(SILENT_ROUNDS))
    }

    fn own_zone_size(&self) -> u32 {
        u32::try_from(self.ring.len() + 1).unwrap_or(u32::MAX)
    }

    /// At least one, because it is used as a divisor.
    fn other_zone_count(&self) -> u32 {
        u32::try_from(self.other_zones().count()).unwrap_or(u32::MAX).max(1)
    }

    /// Pings one member of the next other zone. Lost zones are included, because this is how the
    /// end of a partition is detected.
    pub(super) fn ping_other_zone(&mut self, now: Duration) {
        let zones: SmallVec<[ZoneKey; ZONES_INLINE]> = self.other_zones().collect();
        if zones.is_empty() {
            return;
        }
        self.next_zone = (self.next_zone + 1) % zones.len();
        let zone = zones[self.next_zone];
        if let Some(&key) = self.pick(1, |record| record.zone == zone).first() {
            self.ping(now, key, false, &[]);
        }
    }

    /// Reports zones that were lost or found since the last check.
    pub(super) fn check_zones(&mut self, now: Duration) {
        let timeout = self.zone_timeout();
        for (zone, reachable) in self.zones.update_reachability(now, timeout) {
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
