//! What a rumor changes in the table.

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
    /// Takes in a rumor, from anyone; true when it was news.
    pub(super) fn apply(&mut self, now: Duration, rumor: MemberUpdate) -> bool {
        let before = self.arena.fingerprint();
        self.take_rumor(now, rumor);
        self.arena.fingerprint() != before
    }

    fn take_rumor(&mut self, now: Duration, rumor: MemberUpdate) {
        if rumor.id == self.my_id {
            return self.judge_self(now, rumor);
        }
        match self.arena.by_id(rumor.id).map(|record| record.key) {
            None => self.meet(now, rumor),
            Some(key) => self.compare(now, key, rumor),
        }
    }

    /// Takes in what the header of a datagram says of its sender. Returns the
    /// sender's key, none when its place is not known yet.
    pub(super) fn apply_header(&mut self, now: Duration, sender: &SenderHeader) -> Option<HostKey> {
        let record = self.arena.by_id(sender.id)?;
        let key = record.key;
        // A restarted host may have moved: without its place, nothing of the
        // new life is believed.
        if record.stamp.incarnation < sender.stamp.incarnation {
            return None;
        }
        if record.stamp < sender.stamp {
            let rumor = MemberUpdate {
                id: sender.id,
                stamp: sender.stamp,
                phase: sender.phase,
                health: MemberHealth::Alive,
                place: None,
            };
            self.compare(now, key, rumor);
        }
        self.clear_private(now, key);
        self.arena.update(key, |record| record.digest = Some(sender.digest));
        Some(key)
    }

    /// A host that was not known. Only one that runs is worth keeping: the
    /// dead were either forgotten or never met.
    fn meet(&mut self, now: Duration, rumor: MemberUpdate) {
        let Some(place) = rumor.place.clone() else { return };
        if rumor.health == MemberHealth::Dead || rumor.phase == MemberPhase::Left {
            return;
        }
        let replaced = self.arena.by_peer(place.peer).map(|record| (record.key, record.stamp));
        if let Some((key, stamp)) = replaced
            && !self.replace(now, key, stamp.incarnation < rumor.stamp.incarnation)
        {
            return;
        }
        let zone = self.meet_zone(now, &place.zone);
        let key = self.arena.insert(now, &rumor, place, zone);
        self.changed(key, rumor.id);
        self.start_sync_if_first();
        self.actions.push_back(FleetAction::MemberUp(key));
        if rumor.health == MemberHealth::Suspect {
            self.suspect_later(now, key, false);
        }
    }

    /// Another host runs at the address of `key`. Failure: a host is replaced
    /// by one with another name at the same address, which would answer pings
    /// for both. The later incarnation wins; false when that is the old one.
    fn replace(&mut self, now: Duration, key: HostKey, later: bool) -> bool {
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

    fn compare(&mut self, now: Duration, key: HostKey, rumor: MemberUpdate) {
        let Some(record) = self.arena.get(key) else { return };
        if rumor.stamp < record.stamp {
            return;
        }
        if rumor.stamp > record.stamp {
            return self.renew(now, key, rumor);
        }
        if record.private && rumor.health < MemberHealth::Dead {
            return self.clear_private(now, key);
        }
        // One stamp: what is worse is later, as only the host itself can
        // refute, and does so with a new stamp.
        if rumor.health > record.health || record.private {
            self.set_health(now, key, rumor.health, false);
        }
    }

    /// Takes over a later stamp.
    fn renew(&mut self, now: Duration, key: HostKey, rumor: MemberUpdate) {
        let Some(record) = self.arena.get(key) else { return };
        let restarted = rumor.stamp.incarnation > record.stamp.incarnation;
        let gone = rumor.health == MemberHealth::Dead || rumor.phase == MemberPhase::Left;
        if restarted && rumor.place.is_none() && !gone {
            return;
        }
        let was = record.clone();
        if let Some(place) = &rumor.place {
            self.move_to(now, &was, place.clone());
        }
        self.arena.update(key, |record| {
            record.stamp = rumor.stamp;
            record.phase = rumor.phase;
            record.health = rumor.health;
            record.private = false;
            record.changed_at = now;
        });
        self.changed(key, rumor.id);
        self.report(key, &was, restarted);
        if rumor.health == MemberHealth::Suspect {
            self.suspect_later(now, key, false);
        }
    }

    fn move_to(&mut self, now: Duration, was: &MemberRecord, place: MemberPlace) {
        if was.place == place {
            return;
        }
        if let Some(other) = self.arena.by_peer(place.peer).map(|record| record.key)
            && other != was.key
        {
            self.replace(now, other, true);
        }
        let zone = self.meet_zone(now, &place.zone);
        self.arena.update(was.key, |record| {
            record.place = place;
            record.zone = zone;
        });
    }

    fn meet_zone(&mut self, now: Duration, name: &str) -> ZoneKey {
        let (zone, new) = self.zones.add(now, name);
        if new {
            self.actions.push_back(FleetAction::ZoneFound(name.to_owned()));
        }
        zone
    }

    /// Changes what is held of a member with the stamp that it has.
    pub(super) fn set_health(
        &mut self,
        now: Duration,
        key: HostKey,
        health: MemberHealth,
        private: bool,
    ) {
        let Some(was) = self.arena.get(key).cloned() else { return };
        self.arena.update(key, |record| {
            record.health = health;
            record.private = private;
            record.changed_at = now;
        });
        if private {
            self.view_changed = true;
        } else {
            self.changed(key, was.id);
        }
        self.report(key, &was, false);
        if health == MemberHealth::Suspect {
            self.suspect_later(now, key, private);
        }
    }

    /// Gives up what this daemon alone held of a member.
    pub(super) fn clear_private(&mut self, now: Duration, key: HostKey) {
        let private = self.arena.get(key).is_some_and(|record| record.private);
        if private {
            self.set_health(now, key, MemberHealth::Alive, false);
        }
    }

    fn changed(&mut self, key: HostKey, id: MemberId) {
        self.rumors.push(id);
        self.view_changed = true;
        self.suspicions.retain(|suspicion| suspicion.key != key);
        let near = |record: &MemberRecord| record.is_live() && record.zone == self.my_zone;
        if self.arena.get(key).is_some_and(near) {
            self.add_to_ring(key);
        }
    }

    /// Tells the daemon what became of a member that was `was`.
    fn report(&mut self, key: HostKey, was: &MemberRecord, restarted: bool) {
        let Some(record) = self.arena.get(key) else { return };
        let action = match (was.is_live(), record.is_live()) {
            (true, false) => FleetAction::MemberDown(key),
            (false, true) => FleetAction::MemberUp(key),
            (true, true) if restarted => FleetAction::MemberUp(key),
            (true, true) => {
                let leaving = record.phase == MemberPhase::Leaving;
                if !leaving || was.phase == MemberPhase::Leaving {
                    return;
                }
                FleetAction::MemberLeaving(key)
            }
            (false, false) => return,
        };
        self.actions.push_back(action);
    }

    /// Begins a suspicion's time to refute.
    fn suspect_later(&mut self, now: Duration, key: HostKey, private: bool) {
        let Some(stamp) = self.arena.get(key).map(|record| record.stamp) else { return };
        self.suspicions.retain(|suspicion| suspicion.key != key);
        let wait = if private {
            self.options.isolated_suspicion_timeout
        } else {
            self.options.remote_suspicion_timeout
        };
        self.suspicions.push(Suspicion { key, stamp, deadline: now + wait, own: false });
    }

    /// Puts a member at a random place in this round's pings.
    fn add_to_ring(&mut self, key: HostKey) {
        if key == self.me || self.ring.contains(&key) {
            return;
        }
        let index = self.rng.random_range(0..=self.ring.len());
        self.ring.insert(index, key);
    }

    /// Answers what is said of this host.
    fn judge_self(&mut self, now: Duration, rumor: MemberUpdate) {
        let mine = self.record_of_self().clone();
        if rumor.stamp.incarnation > mine.stamp.incarnation {
            return self.judge_other_life(now, rumor);
        }
        let doubted = rumor.health != MemberHealth::Alive && mine.phase != MemberPhase::Left;
        if rumor.stamp < mine.stamp || !doubted && rumor.stamp == mine.stamp {
            return;
        }
        self.refute(now, rumor.stamp.sequence);
        if doubted {
            self.counters.refutations += 1;
        }
        if rumor.health == MemberHealth::Dead && doubted {
            self.actions.push_back(FleetAction::DeathRefuted);
        }
    }

    /// A rumor of a later life of this host. Failure: either the clock was set
    /// back between two lives, and the fleet would ignore this one; or an
    /// operator started a second process with this name, and the two would
    /// refute each other for ever. A later life that runs at another address
    /// is such a second process.
    fn judge_other_life(&mut self, now: Duration, rumor: MemberUpdate) {
        let here = self.record_of_self().place.peer;
        let runs = rumor.health == MemberHealth::Alive && rumor.phase != MemberPhase::Left;
        let place = rumor.place.as_ref().filter(|_| runs);
        let twin = place.map(|place| place.peer).filter(|&peer| peer != here);
        if let Some(peer) = twin {
            self.actions.push_back(FleetAction::Superseded(peer));
            return;
        }
        self.arena.update(self.me, |record| {
            record.stamp.incarnation = rumor.stamp.incarnation.saturating_add(1);
        });
        self.refute(now, 0);
    }

    /// Makes this host's stamp later than `update` and passes it on.
    pub(super) fn refute(&mut self, now: Duration, update: u32) {
        self.arena.update(self.me, |record| {
            record.stamp.sequence = record.stamp.sequence.max(update).saturating_add(1);
            record.changed_at = now;
        });
        self.rumors.push(self.my_id);
    }
}
