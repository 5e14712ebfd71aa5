//! Shares with the hosts of the own zone which zones and gatherers do not answer, and fails the
//! readiness probe together with them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use hawthorn_route::payload;
use hawthorn_route::payload::PayloadKind;
use hawthorn_route::zone_report::Finding;
use hawthorn_route::zone_report::ReportSubject;
use hawthorn_route::zone_report::ZoneMessage;
use hawthorn_route::zone_report::book::OwnEvidence;
use hawthorn_route::zone_report::book::ReportBook;
use hawthorn_route::zone_report::readiness;
use hawthorn_route::zone_report::readiness::ReturnGate;
use hawthorn_route::zone_report::readiness::UnreadyCause;
use hawthorn_route::zone_report::readiness::ZoneView;
use hawthorn_route::zone_report::schedule::MIN_SEND_GAP;
use hawthorn_route::zone_report::schedule::SendSchedule;
use log::Level;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::host::RouteHost;
use crate::process::reachability;
use crate::process::reachability::PROBE_TIMEOUT;
use crate::process::traffic::TrafficPurpose;

/// A probe that took longer than its timeout by this much failed because this host was suspended
/// or short of processor time.
const MAX_PROBE_DELAY: Duration = Duration::from_millis(100);
/// Minimum time between two updates after probes: messages of this host leave no sooner.
const MIN_UPDATE_GAP: Duration = MIN_SEND_GAP;

/// Reports of this host and of the others of its zone.
#[derive(Debug, Default)]
pub struct ZoneReportState {
    book: RefCell<ReportBook>,
    schedule: RefCell<SendSchedule>,
    gate: RefCell<ReturnGate>,
    probing: RefCell<HashSet<ReportSubject>>,
    confirmed: RefCell<BTreeSet<ReportSubject>>,
    cause: Cell<Option<UnreadyCause>>,
    unready: Cell<bool>,
    /// The payload that is to be sent, and its receivers.
    outgoing: RefCell<Vec<(SocketAddr, Vec<u8>)>>,
    /// Notified when there is an outgoing payload.
    pub(crate) send_due: Notify,
    /// Notified when a probe of a reported subject has ended.
    update_due: Notify,
}

impl ZoneReportState {
    /// Whether the readiness probe fails because of the zone's reports, or has not returned yet
    /// after it failed.
    pub(crate) fn is_unready(&self) -> bool {
        self.unready.get()
    }

    /// Whether it is confirmed that a gatherer does not answer.
    pub(crate) fn suspects(&self, gatherer: SocketAddr) -> bool {
        self.confirmed.borrow().contains(&ReportSubject::Gatherer(gatherer))
    }

    /// Takes the payloads that are to be sent.
    pub(crate) fn take_outgoing(&self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.outgoing.take()
    }
}

fn is_on(host: &RouteHost) -> bool {
    host.routing.policy.get().zones.shared
}

/// Takes in the message of another host, and probes what it reports.
pub(crate) fn receive(host: &Rc<RouteHost>, from: SocketAddr, message: &[u8]) {
    if !is_on(host) {
        return;
    }
    let mut message: ZoneMessage = match postcard::from_bytes(message) {
        Ok(message) => message,
        Err(error) => {
            edge_event!(Level::Warn, EdgeEvent::PeerMessageBroken, "from={from} error=\"{error}\"");
            return;
        }
    };
    if !zone_peers(host).contains(&from) {
        let error = "zone reports of a host that is not a live one of this zone";
        edge_event!(Level::Debug, EdgeEvent::PeerMessageBroken, "from={from} error=\"{error}\"");
        return;
    }
    message.reports.retain(|report| is_known(host, &report.subject));
    let now = host_now();
    sync_own_knowledge(host, now);
    let mut unknown = host.zone_reports.book.borrow_mut().receive(from, &message, now);
    unknown.retain(|subject| !host.zone_reports.probing.borrow().contains(subject));
    for subject in unknown {
        edge_event!(
            Level::Debug,
            EdgeEvent::ZoneReport,
            "{} change=reported reporters=1 by={from}",
            Named(&subject)
        );
        let host = Rc::clone(host);
        tokio::task::spawn_local(async move {
            probe(&host, subject).await;
            host.zone_reports.update_due.notify_one();
        });
    }
}

/// Updates the state after probes of reported subjects, until the process exits.
///
/// Handles a partition that many hosts report at the same time: an update evaluates all reports of
/// the zone, and one for each message would leave a small host no time for anything else.
pub(crate) async fn update_after_probes(host: Rc<RouteHost>) {
    loop {
        host.zone_reports.update_due.notified().await;
        update(&host);
        sleep(MIN_UPDATE_GAP).await;
    }
}

/// Whether a subject is a zone or host of this fleet. Others would be counted as unreachable, and
/// a host would open connections to any address.
fn is_known(host: &RouteHost, subject: &ReportSubject) -> bool {
    match subject {
        ReportSubject::Zone(zone) => host.routing.is_known_zone(zone),
        ReportSubject::Gatherer(address) => {
            let is_own = *address == host.routing.settings.listen.peer_address();
            !is_own && host.members.borrow().zone_of_peer(*address).is_some()
        }
    }
}

/// The other live hosts of the own zone.
fn zone_peers(host: &RouteHost) -> Vec<SocketAddr> {
    let members = host.members.borrow();
    let me = members.me();
    let hosts = members.hosts(&host.routing.settings.host.zone);
    hosts.filter(|record| record.key != me).map(|record| record.place.peer).collect()
}

/// Probes what is reported, except the zones that are probed already because of own evidence.
pub(crate) async fn probe_reported(host: &RouteHost, suspected: &[String]) {
    if !is_on(host) {
        return;
    }
    let is_probed = |subject: &ReportSubject| match subject {
        ReportSubject::Zone(zone) => suspected.contains(zone),
        ReportSubject::Gatherer(_) => false,
    };
    let subjects = host.zone_reports.book.borrow().subjects(host_now());
    let subjects = subjects.into_iter().filter(|subject| !is_probed(subject));
    join_all(subjects.map(|subject| probe(host, subject))).await;
}

async fn probe(host: &RouteHost, subject: ReportSubject) {
    let state = &host.zone_reports;
    if !state.probing.borrow_mut().insert(subject.clone()) {
        return;
    }
    let sent = host_now();
    let answered = match &subject {
        ReportSubject::Zone(zone) => reachability::probe_zone(host, zone).await,
        ReportSubject::Gatherer(address) => {
            let endpoint = host.peer_endpoint(*address, TrafficPurpose::Gathering);
            Some(timeout(PROBE_TIMEOUT, host.links.ping(&endpoint)).await == Ok(true))
        }
    };
    state.probing.borrow_mut().remove(&subject);
    let now = host_now();
    match answered {
        Some(true) => state.book.borrow_mut().record_answer(&subject, now),
        Some(false) if now < sent + PROBE_TIMEOUT + MAX_PROBE_DELAY => {
            state.book.borrow_mut().record_failed_probe(&subject, sent, now);
        }
        _ => {}
    }
}

/// Records what this host's own requests, queries and probes show.
fn sync_own_knowledge(host: &RouteHost, now: Duration) {
    let mut book = host.zone_reports.book.borrow_mut();
    host.routing.visit_reachability(|zone, reachability| {
        let subject = ReportSubject::Zone(zone.to_owned());
        if let Some(at) = reachability.last_answer() {
            book.record_answer(&subject, at);
        }
        if let Some(evidence) = OwnEvidence::of_zone(reachability, now) {
            book.observe(&subject, evidence);
        }
    });
    for (address, silent_for, answered_for) in host.links.unanswered() {
        let subject = ReportSubject::Gatherer(address);
        if let Some(elapsed) = answered_for {
            book.record_answer(&subject, now.saturating_sub(elapsed));
        }
        let at = now.saturating_sub(silent_for);
        let (first, suspected, held) = (at, at, at);
        let finding = Finding::Suspected;
        let evidence = OwnEvidence { finding, unanswered: 1, first, suspected, held };
        book.observe(&subject, evidence);
    }
}

/// Updates what is confirmed, whether the zone is ready, and what is sent to its hosts.
pub(crate) fn update(host: &RouteHost) {
    let state = &host.zone_reports;
    if !is_on(host) {
        state.book.take();
        state.gate.take();
        state.confirmed.take();
        state.cause.set(None);
        state.unready.set(false);
        host.metrics.set_gauge("partitioned-zones", 0);
        return;
    }
    let now = host_now();
    sync_own_knowledge(host, now);
    state.book.borrow_mut().prune(now);
    update_confirmed(host, now);
    update_readiness(host, now);
    prepare_message(host, now);
}

fn update_confirmed(host: &RouteHost, now: Duration) {
    let state = &host.zone_reports;
    let book = state.book.borrow();
    let confirmed = book.confirmed(Finding::Suspected, now);
    let previous = state.confirmed.replace(confirmed);
    let confirmed = state.confirmed.borrow();
    for subject in confirmed.difference(&previous) {
        let (reporters, unanswered) = book.reporters(subject, Finding::Suspected, now);
        edge_event!(
            Level::Warn,
            EdgeEvent::ZoneReport,
            "{} change=confirmed reporters={reporters} unanswered={unanswered}",
            Named(subject)
        );
    }
    for subject in previous.difference(&confirmed) {
        let named = Named(subject);
        edge_event!(Level::Info, EdgeEvent::ZoneReport, "{named} change=cleared");
    }
    host.metrics.set_gauge("partitioned-zones", zones_of(&confirmed).count() as u64);
}

fn zones_of(subjects: &BTreeSet<ReportSubject>) -> impl Iterator<Item = &String> {
    subjects.iter().filter_map(|subject| match subject {
        ReportSubject::Zone(zone) => Some(zone),
        ReportSubject::Gatherer(_) => None,
    })
}

fn update_readiness(host: &RouteHost, now: Duration) {
    let (state, routing) = (&host.zone_reports, &host.routing);
    let options = routing.policy.get().zones;
    let book = state.book.borrow();
    let least = if options.while_in_doubt { Finding::Suspected } else { Finding::Unreachable };
    let confirmed = book.confirmed(least, now);
    let zones: Vec<String> = zones_of(&confirmed).cloned().collect();
    let view = ZoneView {
        live: zone_peers(host).len() + 1,
        // Not counted without need: this runs ten times a second, with up to 73,000 known targets.
        zones: if zones.is_empty() { 0 } else { routing.zone_count() },
        confirmed: zones.len(),
        fails_alone: fails_alone(host),
        demand: routing.demand_without(&zones, now),
    };
    let cause = readiness::unready_cause(&view, &book, now).filter(|_| options.step_aside);
    let unready = state.gate.borrow_mut().update(cause.is_some(), now, &mut rand::rng());
    let is_shared =
        |cause: Option<UnreadyCause>| cause.filter(|cause| *cause != UnreadyCause::Alone);
    if let Some(cause) = is_shared(cause).filter(|_| is_shared(state.cause.get()).is_none()) {
        edge_event!(Level::Warn, EdgeEvent::ZoneReport, "unready=true cause={cause}");
    }
    state.cause.set(cause);
    if state.unready.replace(unready) && !unready {
        edge_event!(Level::Info, EdgeEvent::ZoneReport, "unready=false");
    }
}

/// Whether this host fails its readiness probe by its own evidence.
fn fails_alone(host: &RouteHost) -> bool {
    host.routing.unready.get() || host.routing.may_be_unready.get()
}

fn prepare_message(host: &RouteHost, now: Duration) {
    let (state, routing) = (&host.zone_reports, &host.routing);
    let book = state.book.borrow();
    let mut zones: Vec<String> = zones_of(&state.confirmed.borrow()).cloned().collect();
    zones.extend(routing.suspected_zones(now));
    zones.sort_unstable();
    zones.dedup();
    let message = ZoneMessage {
        sequence: u64::try_from(now.as_micros()).unwrap_or(u64::MAX),
        fails_alone: fails_alone(host),
        demand: readiness::known_demand(routing.demand_without(&zones, now), &book, now),
        reports: book.own_reports(now),
    };
    let mut schedule = state.schedule.borrow_mut();
    if !schedule.take_due(&message, now) {
        return;
    }
    let message = postcard::to_allocvec(&message).expect("a message has only encodable parts");
    let payload = payload::wrap(PayloadKind::ZoneReports, message);
    let receivers = schedule.receivers(zone_peers(host), routing.settings.listen.peer_address());
    let outgoing = receivers.into_iter().map(|peer| (peer, payload.clone()));
    state.outgoing.replace(outgoing.collect());
    state.send_due.notify_one();
}

/// A subject as in log lines.
struct Named<'a>(&'a ReportSubject);

impl std::fmt::Display for Named<'_> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            ReportSubject::Zone(zone) => write!(formatter, "zone={zone}"),
            ReportSubject::Gatherer(address) => write!(formatter, "gatherer={address}"),
        }
    }
}
