//! Applies updates to the member table.

use std::time::Duration;

use hawthorn_types::HostKey;
use hawthorn_types::ZoneKey;
use rand::RngExt;

use super::MemberRecord;
use super::MemberTable;
use super::probe::Suspicion;
use crate::action::FleetAction;
use crate::message::MemberHealth;
use crate::message::MemberId;
use crate::message::MemberPhase;
use crate::message::MemberPlace;
use crate::message::MemberUpdate;
use crate::message::SenderHeader;

impl MemberTable {
    /// Applies an update from any peer; true if it changed the table.
    pub(super) fn apply(&mut self, now: Duration, update: MemberUpdate) -> bool {
        let before = self.arena.fingerprint();
        self.merge_update(now, update);
        self.arena.fingerprint() != before
    }

    fn merge_update(&mut self, now: Duration, update: MemberUpdate) {
        if update.id == self.my_id {
            return self.handle_own_update(now, update);
        }
        match self.arena.by_id(update.id).map(|record| record.key) {
            None => self.add_member(now, update),
            Some(key) => self.merge_known(now, key, update),
        }
    }

    /// Applies the header of a datagram to the record of its sender. Returns the sender's key, or
    /// `None` while its place is unknown.
    pub(super) fn apply_header(&mut self, now: Duration, sender: &SenderHeader) -> Option<HostKey> {
        let record = self.arena.by_id(sender.id)?;
        let key = record.key;
        // A restarted host may have a new address: without its place, nothing about the new
        // incarnation can be used.
        if record.stamp.incarnation < sender.stamp.incarnation {
            return None;
        }
        if record.stamp < sender.stamp {
            let update = MemberUpdate {
                id: sender.id,
                stamp: sender.stamp,
                phase: sender.phase,
                health: MemberHealth::Alive,
                place: None,
            };
            self.merge_known(now, key, update);
        }
        self.clear_local_only(now, key);
        self.arena.update(key, |record| record.digest = Some(sender.digest));
        Some(key)
    }

    /// Adds an unknown host. Dead or departed hosts are skipped: they were either removed before or
    /// never known here.
    fn add_member(&mut self, now: Duration, update: MemberUpdate) {
        let Some(place) = update.place.clone() else { return };
        if update.health == MemberHealth::Dead || update.phase == MemberPhase::Left {
            return;
        }
        let conflict = self.arena.by_peer(place.peer).map(|record| (record.key, record.stamp));
        if let Some((key, stamp)) = conflict
            && !self.resolve_address_conflict(
                now,
                key,
                stamp.incarnation < update.stamp.incarnation,
            )
        {
            return;
        }
        let zone = self.add_zone(now, &place.zone);
        let key = self.arena.insert(now, &update, place, zone);
        self.record_change(key, update.id);
        self.start_sync_if_first();
        self.actions.push_back(FleetAction::MemberUp(key));
        if update.health == MemberHealth::Suspect {
            self.start_suspicion(now, key, false);
        }
    }

    /// Resolves a conflict with another host at the address of `key`. A host replaced by one with
    /// another name at the same address would stay live, because the new one answers pings for
    /// both. The later incarnation wins; false if that is the known host.
    fn resolve_address_conflict(&mut self, now: Duration, key: HostKey, later: bool) -> bool {
        let Some(record) = self.arena.get(key) else { return true };
        if !record.is_live() {
            return true;
        }
        if key == self.me || !later {
            return false;
        }
        self.set_health(now, key, MemberHealth::Dead, false);
        true
    }

    fn merge_known(&mut self, now: Duration, key: HostKey, update: MemberUpdate) {
        let Some(record) = self.arena.get(key) else { return };
        if update.stamp < record.stamp {
            return;
        }
        if update.stamp > record.stamp {
            return self.merge_newer(now, key, update);
        }
        if record.local_only && update.health < MemberHealth::Dead {
            return self.clear_local_only(now, key);
        }
        // With equal stamps the worse health is the later one, because only the host itself can
        // refute, and it does so with a new stamp.
        if update.health > record.health || record.local_only {
            self.set_health(now, key, update.health, false);
        }
    }

    /// Replaces the record's state by one with a later stamp.
    fn merge_newer(&mut self, now: Duration, key: HostKey, update: MemberUpdate) {
        let Some(record) = self.arena.get(key) else { return };
        let restarted = update.stamp.incarnation > record.stamp.incarnation;
        let gone = update.health == MemberHealth::Dead || update.phase == MemberPhase::Left;
        if restarted && update.place.is_none() && !gone {
            return;
        }
        let previous = record.clone();
        if let Some(place) = &update.place {
            self.update_place(now, &previous, place.clone());
        }
        self.arena.update(key, |record| {
            record.stamp = update.stamp;
            record.phase = update.phase;
            record.health = update.health;
            record.local_only = false;
            record.changed_at = now;
        });
        self.record_change(key, update.id);
        self.report_transition(key, &previous, restarted);
        if update.health == MemberHealth::Suspect {
            self.start_suspicion(now, key, false);
        }
    }

    fn update_place(&mut self, now: Duration, previous: &MemberRecord, place: MemberPlace) {
        if previous.place == place {
            return;
        }
        if let Some(other) = self.arena.by_peer(place.peer).map(|record| record.key)
            && other != previous.key
        {
            self.resolve_address_conflict(now, other, true);
        }
        let zone = self.add_zone(now, &place.zone);
        self.arena.update(previous.key, |record| {
            record.place = place;
            record.zone = zone;
        });
    }

    fn add_zone(&mut self, now: Duration, name: &str) -> ZoneKey {
        let (zone, new) = self.zones.add(now, name);
        if new {
            self.actions.push_back(FleetAction::ZoneFound(name.to_owned()));
        }
        zone
    }

    /// Changes the health of a member under its current stamp.
    pub(super) fn set_health(
        &mut self,
        now: Duration,
        key: HostKey,
        health: MemberHealth,
        local_only: bool,
    ) {
        let Some(previous) = self.arena.get(key).cloned() else { return };
        self.arena.update(key, |record| {
            record.health = health;
            record.local_only = local_only;
            record.changed_at = now;
        });
        if local_only {
            self.view_changed = true;
        } else {
            self.record_change(key, previous.id);
        }
        self.report_transition(key, &previous, false);
        if health == MemberHealth::Suspect {
            self.start_suspicion(now, key, local_only);
        }
    }

    /// Drops a verdict that only this daemon held.
    pub(super) fn clear_local_only(&mut self, now: Duration, key: HostKey) {
        let local_only = self.arena.get(key).is_some_and(|record| record.local_only);
        if local_only {
            self.set_health(now, key, MemberHealth::Alive, false);
        }
    }

    fn record_change(&mut self, key: HostKey, id: MemberId) {
        self.gossip.push(id);
        self.view_changed = true;
        self.suspicions.retain(|suspicion| suspicion.key != key);
        let in_own_zone = |record: &MemberRecord| record.is_live() && record.zone == self.my_zone;
        if self.arena.get(key).is_some_and(in_own_zone) {
            self.add_to_ring(key);
        }
    }

    /// Reports the transition of a member from its `previous` state to the daemon.
    fn report_transition(&mut self, key: HostKey, previous: &MemberRecord, restarted: bool) {
        let Some(record) = self.arena.get(key) else { return };
        let action = match (previous.is_live(), record.is_live()) {
            (true, false) => FleetAction::MemberDown(key),
            (false, true) => FleetAction::MemberUp(key),
            (true, true) if restarted => FleetAction::MemberUp(key),
            (true, true) => {
                let leaving = record.phase == MemberPhase::Leaving;
                if !leaving || previous.phase == MemberPhase::Leaving {
                    return;
                }
                FleetAction::MemberLeaving(key)
            }
            (false, false) => return,
        };
        self.actions.push_back(action);
    }

    /// Starts the timeout within which the suspect may refute.
    fn start_suspicion(&mut self, now: Duration, key: HostKey, local_only: bool) {
        let Some(stamp) = self.arena.get(key).map(|record| record.stamp) else { return };
        self.suspicions.retain(|suspicion| suspicion.key != key);
        let timeout = if local_only {
            self.options.isolated_suspicion_timeout
        } else {
            self.options.remote_suspicion_timeout
        };
        self.suspicions.push(Suspicion { key, stamp, deadline: now + timeout, local: false });
    }

    /// Inserts a member at a random position of this round's pings.
    fn add_to_ring(&mut self, key: HostKey) {
        if key == self.me || self.ring.contains(&key) {
            return;
        }
        let index = self.rng.random_range(0..=self.ring.len());
        self.ring.insert(index, key);
    }

    /// Handles an update about this host.
    fn handle_own_update(&mut self, now: Duration, update: MemberUpdate) {
        let own = self.record_of_self().clone();
        if update.stamp.incarnation > own.stamp.incarnation {
            return self.handle_later_incarnation(now, update);
        }
        let disputed = update.health != MemberHealth::Alive && own.phase != MemberPhase::Left;
        if update.stamp < own.stamp || !disputed && update.stamp == own.stamp {
            return;
        }
        self.refute(now, update.stamp.sequence);
        if disputed {
            self.counters.refutations += 1;
        }
        if update.health == MemberHealth::Dead && disputed {
            self.actions.push_back(FleetAction::DeathRefuted);
        }
    }

    /// Handles an update with a later incarnation of this host. Either the clock was set back
    /// between two incarnations, and the fleet would ignore this one; or an operator started a
    /// second process with this name, and the two would refute each other forever. A later
    /// incarnation at another address is such a second process.
    fn handle_later_incarnation(&mut self, now: Duration, update: MemberUpdate) {
        let own_peer = self.record_of_self().place.peer;
        let running = update.health == MemberHealth::Alive && update.phase != MemberPhase::Left;
        let place = update.place.as_ref().filter(|_| running);
        let duplicate = place.map(|place| place.peer).filter(|&peer| peer != own_peer);
        if let Some(peer) = duplicate {
            self.actions.push_back(FleetAction::Superseded(peer));
            return;
        }
        self.arena.update(self.me, |record| {
            record.stamp.incarnation = update.stamp.incarnation.saturating_add(1);
        });
        self.refute(now, 0);
    }

    /// Raises this host's stamp above `sequence` and gossips it.
    pub(super) fn refute(&mut self, now: Duration, sequence: u32) {
        self.arena.update(self.me, |record| {
            record.stamp.sequence = record.stamp.sequence.max(sequence).saturating_add(1);
            record.changed_at = now;
        });
        self.gossip.push(self.my_id);
    }
}
