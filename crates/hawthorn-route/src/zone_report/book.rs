//! A host's own findings and those that the hosts of its zone reported.
//!
//! Handles false reports: a host with a bad link, one that is itself cut off, and one that was
//! suspended report zones that answer everybody else. One reporter therefore only makes this host
//! probe the subject. A report counts as confirmed with a second reporter or with this host's own
//! failed probe, and not if the subject answered this host after the reporter suspected it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::reachability::ZoneReachability;
use crate::zone_report::Finding;
use crate::zone_report::MAX_REPORTS;
use crate::zone_report::REPORT_TTL;
use crate::zone_report::Report;
use crate::zone_report::ReportSubject;
use crate::zone_report::RequestDemand;
use crate::zone_report::ZoneMessage;

/// How long a failed probe counts. Probes are repeated each 100 ms while there are reports.
const PROBE_TTL: Duration = Duration::from_millis(400);
/// How long a report must have been known to count as one of two that confirm each other: longer
/// than the probe that it starts, so that the probe's answer comes first if there is one.
const CONFIRM_DELAY: Duration = Duration::from_millis(80);
/// Minimum time between two messages of one reporter that are read; hosts leave at least 50 ms.
const MIN_MESSAGE_GAP: Duration = Duration::from_millis(10);
/// Maximum number of reporters; a zone of the largest planned fleet has 160 hosts.
const MAX_REPORTERS: usize = 512;

/// How certain a subject's unreachability is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Nobody reports it.
    Unreported,
    /// One host reports it, possibly this one. It should be probed.
    Reported,
    /// Two hosts report it, or another one does and this host's probe failed.
    Confirmed,
}

/// Evidence that the subject does not answer this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnEvidence {
    /// The finding: suspected or unreachable.
    pub finding: Finding,
    /// Number of unanswered requests.
    pub unanswered: u32,
    /// When the first of them was sent.
    pub first: Duration,
    /// When they sufficed for a suspicion.
    pub suspected: Duration,
    /// When the finding last held.
    pub held: Duration,
}

/// What this host knows about a subject by itself.
#[derive(Clone, Debug, Default)]
struct OwnKnowledge {
    evidence: Option<OwnEvidence>,
    /// Time of the first of the failed probes without an answer in between, and of the last.
    failed_probes: Option<(Duration, Duration)>,
    answered: Option<Duration>,
    /// Whether the answer ended evidence or failed probes, so that it is reported.
    is_clearance: bool,
}

impl OwnEvidence {
    /// The evidence of a zone's reachability, if the zone is at least suspected.
    pub fn of_zone(zone: &ZoneReachability, now: Duration) -> Option<Self> {
        let (first, suspected) = zone.suspicion(now)?;
        let unreachable = zone.is_unreachable(now);
        let finding = if unreachable { Finding::Unreachable } else { Finding::Suspected };
        Some(Self { finding, unanswered: zone.unanswered(), first, suspected, held: now })
    }
}

impl OwnKnowledge {
    fn evidence(&self, now: Duration) -> Option<OwnEvidence> {
        self.evidence.filter(|evidence| now < evidence.held + REPORT_TTL)
    }

    fn failed_probes(&self, now: Duration) -> Option<(Duration, Duration)> {
        self.failed_probes.filter(|(_, last)| now < *last + PROBE_TTL)
    }

    fn is_current(&self, now: Duration) -> bool {
        self.evidence(now).is_some()
            || self.failed_probes(now).is_some()
            || self.answered.is_some_and(|answered| now < answered + REPORT_TTL)
    }
}

/// A received report, with times of this host's clock.
#[derive(Clone, Debug)]
struct ReceivedReport {
    subject: ReportSubject,
    finding: Finding,
    unanswered: u32,
    /// When the first of the reporter's successive reports of the subject arrived.
    known: Duration,
    suspected: Duration,
    expires: Duration,
}

/// Other hosts that report one subject.
#[derive(Clone, Copy, Debug, Default)]
struct ReporterCount {
    all: usize,
    /// Those whose reports have been known for [`CONFIRM_DELAY`].
    settled: usize,
}

impl ReporterCount {
    fn with(self, report: &ReceivedReport, now: Duration) -> Self {
        let is_settled = now >= report.known + CONFIRM_DELAY;
        Self { all: self.all + 1, settled: self.settled + usize::from(is_settled) }
    }
}

#[derive(Clone, Debug)]
struct ReporterRecord {
    sequence: u64,
    received: Duration,
    fails_alone: bool,
    demand: RequestDemand,
    reports: Vec<ReceivedReport>,
}

impl ReporterRecord {
    fn is_current(&self, now: Duration) -> bool {
        now < self.received + REPORT_TTL
    }
}

/// Findings of this host and of the other hosts of its zone.
#[derive(Clone, Debug, Default)]
pub struct ReportBook {
    own: BTreeMap<ReportSubject, OwnKnowledge>,
    reporters: HashMap<SocketAddr, ReporterRecord>,
}

impl ReportBook {
    /// Records this host's own evidence, unless the subject has answered since.
    pub fn observe(&mut self, subject: &ReportSubject, evidence: OwnEvidence) {
        if !subject.is_valid() {
            return;
        }
        let own = self.own.entry(subject.clone()).or_default();
        if own.answered.is_some_and(|answered| answered >= evidence.suspected) {
            return;
        }
        own.evidence = Some(evidence);
        own.is_clearance = false;
    }

    /// Records that the subject answered this host at `at`, which ends earlier evidence.
    pub fn record_answer(&mut self, subject: &ReportSubject, at: Duration) {
        if !subject.is_valid() {
            return;
        }
        let own = self.own.entry(subject.clone()).or_default();
        if own.answered.is_some_and(|answered| at <= answered) {
            return;
        }
        own.answered = Some(at);
        let ends_evidence = own.evidence.take_if(|evidence| evidence.first <= at).is_some();
        let ends_probes = own.failed_probes.take_if(|(_, last)| *last <= at).is_some();
        own.is_clearance |= ends_evidence || ends_probes;
    }

    /// Records that a probe of the subject failed that was sent at `sent` and ended at `now`.
    pub fn record_failed_probe(&mut self, subject: &ReportSubject, sent: Duration, now: Duration) {
        let own = self.own.entry(subject.clone()).or_default();
        if own.answered.is_some_and(|answered| answered >= sent) {
            return;
        }
        let first = own.failed_probes(now).map_or(sent, |(first, _)| first);
        own.failed_probes = Some((first, now));
        own.is_clearance = false;
    }

    /// Takes in the message of another live host of the zone. Returns the subjects that it reports
    /// as not answering and this host has no own evidence of, which should be probed at once.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        message: &ZoneMessage,
        now: Duration,
    ) -> Vec<ReportSubject> {
        self.reporters.retain(|_, record| record.is_current(now));
        let is_outdated = self.reporters.get(&from).is_some_and(|record| {
            message.sequence <= record.sequence || now < record.received + MIN_MESSAGE_GAP
        });
        let is_full = self.reporters.len() >= MAX_REPORTERS && !self.reporters.contains_key(&from);
        if is_outdated || is_full {
            return Vec::new();
        }
        let reports = message.reports.iter().take(MAX_REPORTS);
        let reports = reports.filter(|report| report.subject.is_valid());
        let previous = self.reporters.get(&from).map_or(&[][..], |record| &record.reports);
        let record = ReporterRecord {
            sequence: message.sequence,
            received: now,
            fails_alone: message.fails_alone,
            demand: message.demand,
            reports: reports.map(|report| received_report(report, previous, now)).collect(),
        };
        self.reporters.insert(from, record);
        self.unknown_subjects(from, now)
    }

    fn unknown_subjects(&self, from: SocketAddr, now: Duration) -> Vec<ReportSubject> {
        let reports = self.reporters.get(&from).into_iter().flat_map(|record| &record.reports);
        let open = reports.filter(|report| {
            let own = self.own.get(&report.subject);
            let is_known = own
                .is_some_and(|own| own.evidence(now).is_some() || own.failed_probes(now).is_some());
            !is_known && self.counts(report, Finding::Suspected, now)
        });
        open.map(|report| report.subject.clone()).collect()
    }

    /// Whether a received report counts: it has not expired, and the subject has not answered this
    /// host since the reporter suspected it.
    fn counts(&self, report: &ReceivedReport, least: Finding, now: Duration) -> bool {
        let answered = self.own.get(&report.subject).and_then(|own| own.answered);
        let is_contradicted = answered.is_some_and(|answered| answered >= report.suspected);
        report.finding >= least && now < report.expires && !is_contradicted
    }

    fn counting(&self, least: Finding, now: Duration) -> impl Iterator<Item = &ReceivedReport> {
        let records = self.reporters.values().filter(move |record| record.is_current(now));
        let reports = records.flat_map(|record| &record.reports);
        reports.filter(move |report| self.counts(report, least, now))
    }

    /// Number of other hosts that report the subject, and of the requests that they report.
    pub fn reporters(
        &self,
        subject: &ReportSubject,
        least: Finding,
        now: Duration,
    ) -> (usize, u32) {
        self.counting(least, now)
            .filter(|report| report.subject == *subject)
            .fold((0, 0), |(hosts, requests), report| {
                (hosts + 1, requests.saturating_add(report.unanswered))
            })
    }

    /// How certain it is that a subject does not answer, by findings of at least `least`.
    pub fn standing(&self, subject: &ReportSubject, least: Finding, now: Duration) -> Standing {
        let others = self.counting(least, now).filter(|report| report.subject == *subject);
        let count = others.fold(ReporterCount::default(), |count, report| count.with(report, now));
        self.standing_by(subject, count, least, now)
    }

    fn standing_by(
        &self,
        subject: &ReportSubject,
        others: ReporterCount,
        least: Finding,
        now: Duration,
    ) -> Standing {
        let own = self.own.get(subject);
        let has_others = others.all > 0;
        let is_own_finding =
            own.and_then(|own| own.evidence(now)).is_some_and(|evidence| evidence.finding >= least);
        let has_failed_probe = own.is_some_and(|own| own.failed_probes(now).is_some());
        if others.settled >= 2 || (has_others && (is_own_finding || has_failed_probe)) {
            Standing::Confirmed
        } else if has_others || is_own_finding {
            Standing::Reported
        } else {
            Standing::Unreported
        }
    }

    /// The subjects that are reported, by this host or others, in order.
    pub fn subjects(&self, now: Duration) -> BTreeSet<ReportSubject> {
        let own = self.own.iter().filter(|(_, own)| own.evidence(now).is_some());
        let others = self.counting(Finding::Suspected, now).map(|report| &report.subject);
        own.map(|(subject, _)| subject).chain(others).cloned().collect()
    }

    /// The confirmed subjects.
    pub fn confirmed(&self, least: Finding, now: Duration) -> BTreeSet<ReportSubject> {
        // One pass over the reports of all hosts, of which there may be hundreds.
        let mut counts: BTreeMap<&ReportSubject, ReporterCount> = BTreeMap::new();
        for report in self.counting(least, now) {
            let count = counts.entry(&report.subject).or_default();
            *count = count.with(report, now);
        }
        let confirmed = counts.into_iter().filter(|(subject, count)| {
            self.standing_by(subject, *count, least, now) == Standing::Confirmed
        });
        confirmed.map(|(subject, _)| subject.clone()).collect()
    }

    /// The number of other hosts that would fail their readiness probe by themselves.
    pub fn failing_alone(&self, now: Duration) -> usize {
        let current = self.reporters.values().filter(|record| record.is_current(now));
        current.filter(|record| record.fails_alone).count()
    }

    /// The demand of the hosts that report something that counts.
    pub fn demand(&self, now: Duration) -> RequestDemand {
        let current = self.reporters.values().filter(|record| record.is_current(now));
        let reporting = current.filter(|record| {
            record.reports.iter().any(|report| self.counts(report, Finding::Suspected, now))
        });
        reporting.map(|record| record.demand).fold(RequestDemand::default(), RequestDemand::plus)
    }

    /// This host's reports, those of the most certain findings first if there are too many.
    ///
    /// A failed probe is reported while another host reports the subject. An answer is reported if
    /// it ended a report.
    pub fn own_reports(&self, now: Duration) -> Vec<Report> {
        let mut reports: Vec<Report> = self
            .own
            .iter()
            .filter_map(|(subject, own)| self.own_report(subject, own, now))
            .collect();
        reports.sort_by_key(|report| std::cmp::Reverse(report.finding));
        reports.truncate(MAX_REPORTS);
        reports
    }

    fn own_report(
        &self,
        subject: &ReportSubject,
        own: &OwnKnowledge,
        now: Duration,
    ) -> Option<Report> {
        let since =
            |at: Duration| u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX);
        let report = |finding, unanswered, first, suspected, held| Report {
            subject: subject.clone(),
            finding,
            unanswered,
            first_ms: since(first),
            suspected_ms: since(suspected),
            age_ms: since(held),
        };
        if let Some(OwnEvidence { finding, unanswered, first, suspected, held }) = own.evidence(now)
        {
            return Some(report(finding, unanswered, first, suspected, held));
        }
        if let Some((first, last)) = own.failed_probes(now) {
            let mut others = self.counting(Finding::Suspected, now);
            let is_reported = others.any(|other| other.subject == *subject);
            return is_reported.then(|| report(Finding::Suspected, 1, first, first, last));
        }
        let answered = own.answered.filter(|at| own.is_clearance && now < *at + REPORT_TTL)?;
        Some(report(Finding::Answered, 0, answered, answered, answered))
    }

    /// Removes what has expired. An answer is kept while others report its subject: their reports
    /// would otherwise count again.
    pub fn prune(&mut self, now: Duration) {
        self.reporters.retain(|_, record| record.is_current(now));
        let Self { own, reporters } = self;
        own.retain(|subject, own| {
            let mut reports = reporters.values().flat_map(|record| &record.reports);
            own.is_current(now) || reports.any(|report| report.subject == *subject)
        });
    }
}

fn received_report(report: &Report, previous: &[ReceivedReport], now: Duration) -> ReceivedReport {
    let millis = |ms: u32| Duration::from_millis(u64::from(ms));
    let same = previous.iter().find(|known| {
        known.subject == report.subject
            && known.finding >= Finding::Suspected
            && now < known.expires
    });
    ReceivedReport {
        subject: report.subject.clone(),
        finding: report.finding,
        unanswered: report.unanswered,
        known: same.map_or(now, |same| same.known),
        suspected: now.saturating_sub(millis(report.suspected_ms)),
        expires: (now + REPORT_TTL).saturating_sub(millis(report.age_ms)),
    }
}
