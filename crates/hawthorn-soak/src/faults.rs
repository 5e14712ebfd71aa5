//! How each kind of fault is applied to a fleet, and taken back.

use std::time::Duration;

use hawthorn_standin::proxy::LinkFaults;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::store::RouteOutage;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::catalog::BURST_RATIO;
use crate::catalog::CUSTOMERS;
use crate::catalog::KEYS;
use crate::catalog::QuotaLimit;
use crate::catalog::RouteKind;
use crate::catalog::SoakVersion;
use crate::catalog::moving_service;
use crate::fleet;
use crate::fleet::SoakFleet;
use crate::fleet::TargetSlot;
use crate::history::Disruption;
use crate::history::Evacuation;
use crate::history::HostKey;
use crate::host;
use crate::host::DRAIN_TIME;
use crate::host::HEARTBEAT;
use crate::host::SoakHost;
use crate::plan::FaultKind;
use crate::plan::PlannedFault;
use crate::target::TargetDoses;

/// Longest time that a host is suspended.
const MAX_SUSPENSION: Duration = Duration::from_secs(8);
/// Longest delay of a link, in one direction.
const MAX_DELAY: Duration = Duration::from_millis(150);
/// Time until the address of a target that has ended is used again.
const REUSE_DELAY: Duration = Duration::from_millis(2200);
/// Number of missed registrations after which the entry of a target that has ended is removed.
const MISSED_HEARTBEATS: u32 = 3;
/// How long a target serves beyond the time that it has to.
const DRAIN_REST: Duration = Duration::from_millis(500);
/// Time that the store is away before it returns from a copy.
const RESTORE_OUTAGE: Duration = Duration::from_millis(400);
/// Time after which the operator and the targets have written again.
const REWRITE_DELAY: Duration = Duration::from_millis(1200);
/// Greatest age of the copy from which the store returns.
const MAX_COPY_AGE: Duration = Duration::from_secs(4);
/// Longest time between a host's exit and the next host's stop in a rolling restart.
const ROLL_PAUSE: Duration = Duration::from_millis(1500);
/// Number of versions of a storm.
const STORM_VERSIONS: usize = 6;
/// Number of unused routes of a version in a storm.
const STORM_ROUTES: usize = 80;
/// Time between two versions of a storm.
const STORM_PERIOD: Duration = Duration::from_millis(150);
/// Share of a service's targets that a fault concerns at the greatest dose.
const MAX_TARGET_SHARE: f64 = 0.5;
/// Time after which a fault that waits for the end of another one checks again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Greatest share of answers that a fault concerns.
const MAX_ANSWER_SHARE: f64 = 0.4;

/// Applies a fault and takes it back; completes when it has ended. A fault of several steps begins
/// none after `until`.
///
/// # Errors
/// When the run cannot go on: a host's files cannot be written, or an address is taken.
pub async fn apply(
    fleet: &SoakFleet,
    fault: &PlannedFault,
    until: Instant,
) -> Result<(), fleet::Error> {
    let applied = FaultRun { fleet, fault, until };
    applied.run().await?;
    fleet.recorder.with(|history| *history.faults.entry(fault.kind).or_default() += 1);
    Ok(())
}

struct FaultRun<'a> {
    fleet: &'a SoakFleet,
    fault: &'a PlannedFault,
    until: Instant,
}

impl<'a> FaultRun<'a> {
    async fn run(&self) -> Result<(), fleet::Error> {
        match self.fault.kind {
            FaultKind::HostStop => self.host().stop().await,
            FaultKind::HostKill => self.host().kill(),
            FaultKind::HostSuspend => {
                self.host().suspend(self.fault.length.min(MAX_SUSPENSION)).await
            }
            FaultKind::HostReload => self.reload()?,
            FaultKind::HostRoll => self.roll().await,
            FaultKind::LinkDelay | FaultKind::LinkReset => self.disturb_links().await,
            FaultKind::LinkSilent | FaultKind::LinkCut => self.disturb_links().await,
            FaultKind::StoreLinkCut | FaultKind::StoreLinkDelay => self.disturb_store_link().await,
            FaultKind::TargetCrash => self.crash().await?,
            FaultKind::TargetDrain => self.drain().await?,
            FaultKind::TargetRemove => self.remove().await?,
            FaultKind::TargetReturn => self.restart_target().await?,
            FaultKind::TargetReuse => self.reuse().await?,
            FaultKind::TargetReject
            | FaultKind::TargetSlow
            | FaultKind::TargetTruncate
            | FaultKind::TargetGarble
            | FaultKind::TargetDuplicate
            | FaultKind::TargetNoId
            | FaultKind::TargetOtherId
            | FaultKind::TargetSilent
            | FaultKind::TargetDisconnect
            | FaultKind::TargetError
            | FaultKind::TargetFalsePromise => self.dose().await,
            FaultKind::StoreDown => self.outage(RouteOutage::Unavailable).await,
            FaultKind::StoreSilent => self.outage(RouteOutage::Hang).await,
            FaultKind::StoreOverRate => self.outage(RouteOutage::OverRate).await,
            FaultKind::StoreLostAnswer => self.outage(RouteOutage::LostAnswers).await,
            FaultKind::StoreRestore => self.restore().await,
            FaultKind::StoreCompact => self.compact(),
            FaultKind::ConfigQuota => self.change_version(change_quota).await,
            FaultKind::ConfigKey => self.change_version(change_key).await,
            FaultKind::ConfigMove => self.change_version(move_route).await,
            FaultKind::ConfigWeight => self.change_version(change_weight).await,
            FaultKind::ConfigCustomer => self.remove_customer().await,
            FaultKind::ConfigService => self.remove_route().await,
            FaultKind::ConfigStorm => self.storm().await,
            FaultKind::ZoneEvacuate => self.evacuate().await,
        }
        Ok(())
    }

    fn host(&self) -> &'a SoakHost {
        &self.fleet.hosts[self.fault.subject as usize % self.fleet.hosts.len()]
    }

    fn zone(&self) -> &'a str {
        &self.fleet.zones[self.fault.subject as usize % self.fleet.zones.len()]
    }

    /// The slots that a fault of some targets concerns: a share of them, by dose, with one at least.
    fn slots(&self) -> Vec<&'a TargetSlot> {
        let slots = &self.fleet.slots;
        let number = (slots.len() as f64 * self.fault.dose * MAX_TARGET_SHARE).ceil() as usize;
        // A stride without a common divisor selects targets of all services and zones.
        let stride = if slots.len().is_multiple_of(7) { 11 } else { 7 };
        let first = self.fault.subject as usize;
        let mut indices: Vec<usize> =
            (0..number).map(|step| (first + step * stride) % slots.len()).collect();
        // Faults that reserve several slots do so in one order, and never wait for each other.
        indices.sort_unstable();
        indices.into_iter().map(|index| &slots[index]).collect()
    }

    fn slot(&self) -> &'a TargetSlot {
        &self.fleet.slots[self.fault.subject as usize % self.fleet.slots.len()]
    }

    /// Records a disruption of a host, or of all, that began at `from` and ends now.
    fn record_disruption(&self, host: Option<HostKey>, from: Duration, planned: bool) {
        let until = self.fleet.recorder.now();
        let cause = self.fault.kind.to_string();
        let disruption = Disruption { host, from, until, planned, cause };
        self.fleet.recorder.with(|history| history.disruptions.push(disruption));
    }

    /// Records that the targets of some slots were not sound from `from` until now.
    fn record_trouble(&self, slots: &[&TargetSlot], from: Duration) {
        let until = self.fleet.recorder.now();
        for target in slots.iter().filter_map(|slot| slot.target()) {
            self.fleet.recorder.change_target(target, |record| record.troubles.push((from, until)));
        }
    }

    fn reload(&self) -> Result<(), fleet::Error> {
        let from = self.fleet.recorder.now();
        let allowance = if self.fault.subject.is_multiple_of(2) {
            host::BUDGET_ALLOWANCE
        } else {
            host::BUDGET_ALLOWANCE / 2
        };
        self.host().reload(allowance)?;
        self.record_disruption(Some(self.host().spec().key), from, true);
        Ok(())
    }

    async fn roll(&self) {
        for host in &self.fleet.hosts {
            if Instant::now() >= self.until {
                return;
            }
            host.stop().await;
            sleep(ROLL_PAUSE.mul_f64(self.fault.dose)).await;
        }
    }

    async fn disturb_links(&self) {
        let from = self.fleet.recorder.now();
        let of_zone = || self.fleet.slots.iter().filter(|slot| slot.zone == self.zone()).collect();
        let slots: Vec<&TargetSlot> = match self.fault.kind {
            FaultKind::LinkDelay | FaultKind::LinkCut => of_zone(),
            _ => self.slots(),
        };
        let delay = MAX_DELAY.mul_f64(self.fault.dose);
        let is_forward = self.fault.subject.is_multiple_of(2);
        for slot in &slots {
            match self.fault.kind {
                FaultKind::LinkReset => slot.link().reset_connections(),
                FaultKind::LinkDelay => slot.link().set_faults(|faults| faults.latency = delay),
                FaultKind::LinkSilent => slot.link().set_faults(|faults| faults.black_hole = true),
                _ => slot.link().set_faults(|faults| {
                    faults.cut_forward |= is_forward;
                    faults.cut_backward |= !is_forward;
                }),
            }
        }
        if self.fault.kind != FaultKind::LinkReset {
            sleep(self.fault.length).await;
            slots.iter().for_each(|slot| slot.link().set_faults(clear));
        }
        self.record_trouble(&slots, from);
        self.record_disruption(None, from, false);
    }

    async fn disturb_store_link(&self) {
        let from = self.fleet.recorder.now();
        let host = self.host().spec().key;
        let is_delay = self.fault.kind == FaultKind::StoreLinkDelay;
        let links = match is_delay {
            true => &self.fleet.store_links[..],
            false => std::slice::from_ref(&self.fleet.store_links[usize::from(host.0)]),
        };
        let delay = MAX_DELAY.mul_f64(self.fault.dose);
        let is_forward = self.fault.dose < 0.5;
        for link in links {
            link.control().set_faults(|faults| match is_delay {
                true => faults.latency = delay,
                false => {
                    faults.cut_forward |= is_forward;
                    faults.cut_backward |= !is_forward;
                }
            });
        }
        sleep(self.fault.length).await;
        links.iter().for_each(|link| link.control().set_faults(clear));
        self.record_disruption((!is_delay).then_some(host), from, false);
    }

    /// Ends some targets; their entries expire, and others start at their addresses.
    async fn crash(&self) -> Result<(), fleet::Error> {
        let slots = self.slots();
        let mut reserved = Vec::new();
        for slot in &slots {
            reserved.push(slot.reserve().await);
        }
        let ended: Vec<_> =
            slots.iter().filter_map(|slot| Some((*slot, self.fleet.end_target(slot)?))).collect();
        sleep(self.fault.length).await;
        let expiry = (HEARTBEAT * MISSED_HEARTBEATS).saturating_sub(self.fault.length);
        for (slot, _) in &ended {
            self.fleet.fill(slot, &slot.service).await?;
        }
        sleep(expiry).await;
        for (slot, key) in ended {
            self.fleet.remove_entry(slot, key).await;
        }
        Ok(())
    }

    async fn drain(&self) -> Result<(), fleet::Error> {
        let slot = self.slot();
        let _reserved = slot.reserve().await;
        self.fleet.drain(slot).await;
        sleep(DRAIN_TIME + DRAIN_REST).await;
        self.replace(slot).await
    }

    async fn remove(&self) -> Result<(), fleet::Error> {
        let slot = self.slot();
        let _reserved = slot.reserve().await;
        if let Some(key) = slot.target() {
            self.fleet.remove_entry(slot, key).await;
        }
        sleep(DRAIN_TIME + DRAIN_REST).await;
        self.replace(slot).await
    }

    /// Ends the target of a slot, and starts another one of its service there.
    async fn replace(&self, slot: &TargetSlot) -> Result<(), fleet::Error> {
        if let Some(key) = self.fleet.end_target(slot) {
            self.fleet.remove_entry(slot, key).await;
        }
        self.fleet.fill(slot, &slot.service).await
    }

    async fn restart_target(&self) -> Result<(), fleet::Error> {
        let slot = self.slot();
        let _reserved = slot.reserve().await;
        let from = self.fleet.recorder.now();
        if let Some(key) = self.fleet.end_target(slot) {
            sleep(self.fault.length.min(HEARTBEAT)).await;
            self.fleet.refill(slot, key).await?;
            self.record_trouble(&[slot], from);
        }
        Ok(())
    }

    /// Gives the address of a target to one of another service for a while.
    async fn reuse(&self) -> Result<(), fleet::Error> {
        let slot = self.slot();
        let _reserved = slot.reserve().await;
        let others: Vec<&TargetSlot> =
            self.fleet.slots.iter().filter(|other| other.service != slot.service).collect();
        let other = others[self.fault.subject as usize % others.len()];
        for service in [&other.service, &slot.service] {
            let ended = self.fleet.end_target(slot);
            sleep(REUSE_DELAY).await;
            self.fleet.fill(slot, service).await?;
            // The entry of the earlier target expires after its address is used again.
            sleep(self.fault.length).await;
            if let Some(key) = ended {
                self.fleet.remove_entry(slot, key).await;
            }
        }
        Ok(())
    }

    async fn dose(&self) {
        let from = self.fleet.recorder.now();
        let slots = self.slots();
        let share = self.fault.dose * MAX_ANSWER_SHARE;
        let change = |share: f64| {
            move |doses: &mut TargetDoses| match self.fault.kind {
                FaultKind::TargetReject => doses.reject = share * 2.0,
                FaultKind::TargetSlow => doses.slow = share,
                FaultKind::TargetTruncate => doses.truncate = share,
                FaultKind::TargetGarble => doses.garble = share,
                FaultKind::TargetDuplicate => {
                    // A copy of a rejection is told from the answer that it precedes by its id only.
                    (doses.duplicate, doses.reject) = (share, share / 2.0);
                }
                FaultKind::TargetNoId => doses.no_id = share,
                FaultKind::TargetOtherId => doses.other_id = share,
                FaultKind::TargetSilent => doses.silent = share,
                FaultKind::TargetDisconnect => doses.disconnect = share,
                FaultKind::TargetError => doses.error = share,
                _ => doses.false_promise = share,
            }
        };
        slots.iter().for_each(|slot| slot.dose(change(share)));
        sleep(self.fault.length).await;
        slots.iter().for_each(|slot| slot.dose(change(0.0)));
        // Rejections and slow work leave a target sound: it answers all that it runs.
        if !matches!(self.fault.kind, FaultKind::TargetReject | FaultKind::TargetSlow) {
            self.record_trouble(&slots, from);
        }
    }

    async fn outage(&self, outage: RouteOutage) {
        self.fleet.store_available().await;
        let from = self.fleet.recorder.now();
        self.fleet.store_up.send_replace(false);
        self.fleet.store.set_outage(outage);
        sleep(self.fault.length).await;
        self.fleet.store.set_outage(RouteOutage::None);
        self.fleet.store_up.send_replace(true);
        self.record_disruption(None, from, false);
    }

    async fn restore(&self) {
        self.fleet.store_available().await;
        let copy = self.fleet.store.copy();
        sleep(self.fault.length.min(MAX_COPY_AGE)).await;
        self.fleet.store_available().await;
        let from = self.fleet.recorder.now();
        self.fleet.store_up.send_replace(false);
        self.fleet.store.set_outage(RouteOutage::Unavailable);
        sleep(RESTORE_OUTAGE).await;
        self.fleet.store.restore(&copy);
        self.fleet.store.set_outage(RouteOutage::None);
        sleep(REWRITE_DELAY).await;
        self.fleet.write_again();
        self.fleet.store_up.send_replace(true);
        self.record_disruption(None, from, false);
    }

    fn compact(&self) {
        let from = self.fleet.recorder.now();
        self.fleet.store.compact();
        self.record_disruption(None, from, false);
    }

    async fn change_version(&self, change: impl Fn(&mut SoakVersion, &PlannedFault)) {
        self.fleet.store_available().await;
        self.fleet.write_version(|version| change(version, self.fault));
    }

    async fn remove_customer(&self) {
        self.fleet.store_available().await;
        let number = self.fault.subject as usize % CUSTOMERS;
        let mut removed = None;
        self.fleet.write_version(|version| removed = version.customers.remove(&number));
        sleep(self.fault.length).await;
        self.fleet.store_available().await;
        if let Some(customer) = removed {
            self.fleet.write_version(|version| {
                version.customers.insert(number, customer);
            });
        }
    }

    async fn remove_route(&self) {
        self.fleet.store_available().await;
        let mut removed = Vec::new();
        self.fleet.write_version(|version| {
            for kind in [RouteKind::Capped, RouteKind::CappedSafe] {
                removed.extend(version.routes.remove_entry(&kind));
            }
        });
        sleep(self.fault.length).await;
        self.fleet.store_available().await;
        if !removed.is_empty() {
            self.fleet.write_version(|version| version.routes.extend(removed));
        }
    }

    async fn storm(&self) {
        for step in 1..=STORM_VERSIONS {
            self.fleet.store_available().await;
            let padding = if step == STORM_VERSIONS { 0 } else { step * STORM_ROUTES };
            self.fleet.write_version(|version| version.padding = padding);
            sleep(STORM_PERIOD).await;
        }
    }

    async fn evacuate(&self) {
        self.fleet.store_available().await;
        let (zone, recorder) = (self.zone(), &self.fleet.recorder);
        let is_open = |evacuation: &Evacuation| evacuation.until.is_none();
        // One at a time: with all zones evacuated, nothing would run.
        while recorder.with(|history| history.evacuations.iter().any(is_open)) {
            sleep(RETRY_DELAY).await;
        }
        operator::evacuate(&self.fleet.store, zone);
        let from = recorder.now();
        let evacuation = Evacuation { zone: zone.to_owned(), from, until: None };
        let index = recorder.with(|history| {
            history.evacuations.push(evacuation);
            history.evacuations.len() - 1
        });
        sleep(self.fault.length).await;
        self.fleet.store_available().await;
        operator::end_evacuation(&self.fleet.store, zone);
        let until = recorder.now();
        recorder.with(|history| history.evacuations[index].until = Some(until));
    }
}

fn clear(faults: &mut LinkFaults) {
    *faults = LinkFaults::default();
}

fn change_quota(version: &mut SoakVersion, fault: &PlannedFault) {
    let number = fault.subject as usize % CUSTOMERS;
    let rate = (10.0 + fault.dose * 30.0).round();
    if let Some(customer) = version.customers.get_mut(&number) {
        customer.quota = Some(QuotaLimit { rate, burst: rate * BURST_RATIO });
    }
}

fn change_key(version: &mut SoakVersion, fault: &PlannedFault) {
    let number = fault.subject as usize % CUSTOMERS;
    if let Some(customer) = version.customers.get_mut(&number) {
        customer.key = (customer.key + 1) % KEYS;
    }
}

fn move_route(version: &mut SoakVersion, _: &PlannedFault) {
    let moves = version.services(RouteKind::Moving).first();
    let moves = moves.and_then(|service| service.rsplit('-').next()?.parse::<usize>().ok());
    let next = moving_service(moves.map_or(0, |moves| moves + 1));
    version.routes.insert(RouteKind::Moving, vec![next]);
}

fn change_weight(version: &mut SoakVersion, fault: &PlannedFault) {
    version.weight = 1 + fault.subject % 6;
}
