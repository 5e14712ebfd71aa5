//! The host's quarantine of requests that crash targets: admission, gossip and storage.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthorn_platform::catalog;
use hawthorn_platform::store;
use hawthorn_route::fingerprint::RequestFingerprint;
use hawthorn_route::outcome::AttemptEnd;
use hawthorn_route::payload;
use hawthorn_route::payload::PayloadKind;
use hawthorn_route::quarantine;
use hawthorn_route::quarantine::AttemptKind;
use hawthorn_route::quarantine::AttemptOutcome;
use hawthorn_route::quarantine::Change;
use hawthorn_route::quarantine::ChangeKind;
use hawthorn_route::quarantine::Permit;
use hawthorn_route::quarantine::QuarantineTable;
use hawthorn_route::quarantine::Subject;
use hawthorn_route::quarantine::Verdict;
use hawthorn_route::quarantine::gossip;
use hawthorn_route::quarantine::gossip::Notice;
use hawthorn_route::quarantine::gossip::QuarantineMessage;
use hawthorn_store::StoreClient;
use hawthorn_store::client::CallKind;
use hawthorn_store::client::StoreAnswer;
use hawthorn_store::store::ReadError;
use http::StatusCode;
use log::Level;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::host::RouteHost;
use crate::request::context::RequestContext;

/// Delay between a change and its gossip. It batches changes, and drops strikes that are
/// cleared in the meantime.
const GOSSIP_DELAY: Duration = Duration::from_millis(3);
/// The minimum time between requests for other hosts' records.
const SYNC_PERIOD: Duration = Duration::from_millis(200);
/// The maximum number of refused requests queued for the store; further ones are only
/// sent to other hosts.
const MAX_UNSAVED: usize = 256;
/// The maximum number of its own entries that a host tracks, to rewrite them if the store
/// loses them.
const MAX_SAVED: usize = 1024;
/// An entry missing from the store is rewritten only if more than this is left of its term.
const MIN_REWRITE_TERM: Duration = Duration::from_secs(10);
/// Delay before a failed write is retried.
const SAVE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The maximum duration of a lease in the store.
const MAX_LEASE: Duration = Duration::from_secs(600);

/// Quarantine records of this host, with pending gossip, trials and writes.
#[derive(Debug, Default)]
pub struct QuarantineState {
    table: RefCell<QuarantineTable>,
    /// Notified when changes are to be sent to other hosts.
    pub(crate) gossip_due: Notify,
    /// Whether a notification of `gossip_due` is scheduled.
    gossip_scheduled: Cell<bool>,
    last_sync: Cell<Option<Duration>>,
    trials: RefCell<HashSet<Subject>>,
    trial_ended: Notify,
    unsaved: RefCell<VecDeque<RequestFingerprint>>,
    to_save: Notify,
    /// Refused requests that this host has written to the store, at most [`MAX_SAVED`].
    saved: RefCell<HashSet<RequestFingerprint>>,
}

/// Permission to try a request that may crash its target; released on drop.
#[derive(Debug)]
pub(crate) struct TrialPass {
    host: Rc<RouteHost>,
    subject: Subject,
}

impl Drop for TrialPass {
    fn drop(&mut self) {
        self.host.quarantine.trials.borrow_mut().remove(&self.subject);
        self.host.quarantine.trial_ended.notify_waiters();
    }
}

/// How a request may start.
#[derive(Debug)]
pub(crate) enum Admission {
    /// Without restriction.
    Unrestricted,
    /// With one target at a time until one answers.
    Trial {
        /// Blocks trials of the same subject while it is held.
        _pass: Option<TrialPass>,
    },
    /// Refused for the given duration.
    Refused(Duration),
    /// The request's deadline passed while it waited for another trial.
    TooLate,
}

fn options(host: &RouteHost) -> quarantine::Options {
    host.routing.policy.get().quarantine
}

/// Decides whether an attempt may be sent; see [`quarantine::decide`].
pub(crate) fn permit(host: &RouteHost, context: &RequestContext, kind: AttemptKind) -> Permit {
    let table = host.quarantine.table.borrow();
    let exposure = context.exposure.borrow();
    let permit =
        quarantine::decide(&table, &context.identity, &exposure, kind, host_now(), &options(host));
    match permit {
        // The reply may show that targets have answered.
        Permit::Exhausted if context.awaited_peers.get() > 0 => Permit::Hold,
        permit => permit,
    }
}

/// Whether a request must not be sent to the last healthy target of a shard; see
/// [`quarantine::protects_last_target`].
pub(crate) fn protects_last_target(host: &RouteHost, context: &RequestContext) -> bool {
    let table = host.quarantine.table.borrow();
    let exposure = context.exposure.borrow();
    quarantine::protects_last_target(
        &table,
        &context.identity,
        &exposure,
        host_now(),
        &options(host),
    )
}

/// Decides how a caller's request may start. Waits while another request of the same
/// subject is on trial.
pub(crate) async fn admit(host: &Rc<RouteHost>, context: &RequestContext) -> Admission {
    let state = &host.quarantine;
    let options = options(host);
    loop {
        let now = host_now();
        match state.table.borrow().verdict(&context.identity, now, &options) {
            Verdict::Send => return Admission::Unrestricted,
            Verdict::Refuse(left) => return Admission::Refused(left),
            Verdict::Trial => {}
        }
        let Some(subject) = state.table.borrow().trial_of(&context.identity, now, &options) else {
            return Admission::Trial { _pass: None };
        };
        if state.trials.borrow_mut().insert(subject) {
            let pass = TrialPass { host: Rc::clone(host), subject };
            return Admission::Trial { _pass: Some(pass) };
        }
        let left = context.time_left(now);
        if left.is_zero() || timeout(left, state.trial_ended.notified()).await.is_err() {
            return Admission::TooLate;
        }
    }
}

/// The remaining time for which a request is refused, if it is.
pub(crate) fn refused_for(host: &RouteHost, context: &RequestContext) -> Option<Duration> {
    let table = host.quarantine.table.borrow();
    match table.verdict(&context.identity, host_now(), &options(host)) {
        Verdict::Refuse(left) => Some(left),
        Verdict::Send | Verdict::Trial => None,
    }
}

/// Records how an attempt ended.
pub(crate) fn record_end(
    host: &Rc<RouteHost>,
    context: &RequestContext,
    end: AttemptEnd,
    crashed: bool,
) {
    let outcome = match end {
        AttemptEnd::Answered | AttemptEnd::Failed => AttemptOutcome::Answered,
        AttemptEnd::Broken if crashed => AttemptOutcome::Crashed,
        _ => AttemptOutcome::Other,
    };
    let (struck, first_answer) = {
        let mut exposure = context.exposure.borrow_mut();
        let answered = exposure.is_answered();
        (exposure.record_end(outcome), !answered && exposure.is_answered())
    };
    let options = options(host);
    if !options.on {
        return;
    }
    let now = host_now();
    if struck {
        let changes = host.quarantine.table.borrow_mut().strike(&context.identity, now, &options);
        for change in &changes {
            log_change(host, change);
            if let (ChangeKind::Refused, Subject::Request(fingerprint)) =
                (change.kind, change.subject)
            {
                save(host, fingerprint);
            }
        }
    } else if first_answer {
        let change = host.quarantine.table.borrow_mut().answer(&context.identity, now);
        change.iter().for_each(|change| log_change(host, change));
    }
    schedule_gossip(host);
}

fn log_change(host: &RouteHost, change: &Change) {
    log_change_at(host, change, Level::Info);
}

fn log_change_at(host: &RouteHost, change: &Change, level: Level) {
    let Change { subject, kind, strikes, left } = change;
    host.metrics.count_quarantine(*kind, 1);
    edge_event!(
        level,
        EdgeEvent::QuarantineChanged,
        "subject={subject} change={kind} strikes={strikes} left_ms={}",
        left.as_millis()
    );
}

fn schedule_gossip(host: &Rc<RouteHost>) {
    if !host.quarantine.table.borrow().has_unsent()
        || host.quarantine.gossip_scheduled.replace(true)
    {
        return;
    }
    let host = Rc::clone(host);
    tokio::task::spawn_local(async move {
        sleep(GOSSIP_DELAY).await;
        host.quarantine.gossip_scheduled.set(false);
        host.quarantine.gossip_due.notify_one();
    });
}

/// The digest of confirmed records, for heartbeats.
pub(crate) fn digest(host: &RouteHost) -> u64 {
    host.quarantine.table.borrow().digest()
}

/// Takes pending changes as messages with their receivers.
pub(crate) fn gossip_messages(host: &RouteHost) -> Vec<(SocketAddr, Vec<u8>)> {
    let now = host_now();
    let notices = host.quarantine.table.borrow_mut().take_unsent(usize::MAX, now);
    if notices.is_empty() {
        return Vec::new();
    }
    let (own, others) = peers(host);
    let mut rng = rand::rng();
    let mut messages = Vec::new();
    for chunk in notices.chunks(gossip::MAX_NOTICES) {
        let bytes = encode(&QuarantineMessage::Notices(chunk.to_vec()));
        let receivers = gossip::receivers(&own, &others, &mut rng);
        messages.extend(receivers.into_iter().map(|peer| (peer, bytes.clone())));
    }
    messages
}

/// The other live hosts: those of the own zone, and those of each other zone.
fn peers(host: &RouteHost) -> (Vec<SocketAddr>, Vec<Vec<SocketAddr>>) {
    let members = host.members.borrow();
    let me = members.me();
    let of_zone = |zone: &str| -> Vec<SocketAddr> {
        let live = members.hosts(zone).filter(|record| record.key != me && record.is_live());
        live.map(|record| record.place.peer).collect()
    };
    let own = host.routing.settings.host.zone.as_str();
    let others = members.zones().filter(|zone| *zone != own).map(of_zone);
    (of_zone(own), others.filter(|peers| !peers.is_empty()).collect())
}

/// A request for a peer's records if its digest differs from this host's.
pub(crate) fn sync_request(host: &RouteHost, digest: u64) -> Option<Vec<u8>> {
    let state = &host.quarantine;
    // A peer without records sends a request itself.
    if digest == 0 || digest == state.table.borrow().digest() || !options(host).on {
        return None;
    }
    let now = host_now();
    if state.last_sync.get().is_some_and(|at| now < at + SYNC_PERIOD) {
        return None;
    }
    state.last_sync.set(Some(now));
    Some(encode(&QuarantineMessage::RequestNotices))
}

/// Handles a peer's message and returns the replies.
pub(crate) fn receive(host: &Rc<RouteHost>, from: SocketAddr, payload: &[u8]) -> Vec<Vec<u8>> {
    let now = host_now();
    match postcard::from_bytes(payload) {
        Ok(QuarantineMessage::RequestNotices) => {
            let notices = host.quarantine.table.borrow().notices(now);
            let messages = gossip::messages(notices, &mut rand::rng());
            messages.iter().map(encode).collect()
        }
        Ok(QuarantineMessage::Notices(notices)) => {
            notices.iter().for_each(|notice| merge(host, notice));
            schedule_gossip(host);
            Vec::new()
        }
        Err(error) => {
            edge_event!(Level::Warn, EdgeEvent::PeerMessageBroken, "from={from} error=\"{error}\"");
            Vec::new()
        }
    }
}

fn merge(host: &RouteHost, notice: &Notice) {
    let options = options(host);
    let change = host.quarantine.table.borrow_mut().merge(notice, host_now(), &options);
    if let Some(change) = change {
        // Unconfirmed strikes are logged at info level only by the host that recorded them.
        // During an outage, each host's log would otherwise grow with the request rate of the
        // fleet.
        let level = if notice.confirmed { Level::Info } else { Level::Debug };
        log_change_at(host, &change, level);
        host.quarantine.trial_ended.notify_waiters();
    }
}

/// Applies a refused request's entry in the store, so that a restarted host refuses it.
pub(crate) fn apply_stored(
    host: &RouteHost,
    fingerprint: RequestFingerprint,
    value: Option<&[u8]>,
) {
    let Some(value) = value else {
        // The lease may have expired while the store was down. Unless the request is saved again,
        // hosts that restart later no longer refuse it.
        let saved = host.quarantine.saved.borrow_mut().remove(&fingerprint);
        let notice =
            host.quarantine.table.borrow().notice(Subject::Request(fingerprint), host_now());
        if saved
            && notice
                .is_some_and(|notice| u128::from(notice.refused_ms) > MIN_REWRITE_TERM.as_millis())
        {
            save(host, fingerprint);
        }
        return;
    };
    match serde_json::from_slice::<Notice>(value) {
        Ok(notice) if notice.subject == Subject::Request(fingerprint) => merge(host, &notice),
        _ => {
            edge_event!(
                Level::Warn,
                EdgeEvent::EntryBroken,
                "id={fingerprint} error=\"not a quarantine notice\""
            );
        }
    }
}

/// Writes again what this host wrote to the store and the restored store does not have.
pub(crate) fn rewrite_lost(host: &RouteHost) {
    let mirror = host.mirror.borrow();
    let saved: Vec<RequestFingerprint> = host.quarantine.saved.borrow().iter().copied().collect();
    for fingerprint in saved {
        if !mirror.contains(&catalog::quarantine_key(fingerprint)) {
            save(host, fingerprint);
        }
    }
}

/// Removes ended terms and expired records, and updates the gauges.
pub(crate) fn sweep(host: &RouteHost) {
    let changes = host.quarantine.table.borrow_mut().sweep(host_now());
    for change in &changes {
        let forgotten = change.kind == ChangeKind::Forgotten;
        log_change_at(host, change, if forgotten { Level::Debug } else { Level::Info });
    }
    let (held, refused) = host.quarantine.table.borrow().counts();
    host.metrics.set_gauge("quarantine-subjects", held as u64);
    host.metrics.set_gauge("quarantine-refused", refused as u64);
}

fn save(host: &RouteHost, fingerprint: RequestFingerprint) {
    let mut unsaved = host.quarantine.unsaved.borrow_mut();
    if unsaved.len() < MAX_UNSAVED {
        unsaved.push_back(fingerprint);
        host.quarantine.to_save.notify_one();
    }
}

/// Writes refused requests to the store, until the process exits.
///
/// Without this, a request that was refused would crash targets again after all hosts restart.
pub(crate) async fn save_refused(host: Rc<RouteHost>, client: StoreClient) {
    loop {
        let next = host.quarantine.unsaved.borrow_mut().pop_front();
        let Some(fingerprint) = next else {
            host.quarantine.to_save.notified().await;
            continue;
        };
        let notice =
            host.quarantine.table.borrow().notice(Subject::Request(fingerprint), host_now());
        let Some(notice) = notice.filter(|notice| notice.refused_ms > 0) else { continue };
        let saved = &host.quarantine.saved;
        if saved.borrow().len() < MAX_SAVED {
            // Before the write, as the watch may report the deletion before the reply arrives.
            saved.borrow_mut().insert(fingerprint);
        }
        if !write(&client, fingerprint, &notice).await {
            saved.borrow_mut().remove(&fingerprint);
            save(&host, fingerprint);
            sleep(SAVE_RETRY_DELAY).await;
        }
    }
}

async fn write(client: &StoreClient, fingerprint: RequestFingerprint, notice: &Notice) -> bool {
    let term = Duration::from_millis(u64::from(notice.refused_ms)).min(MAX_LEASE);
    let body = store::lease_body(term);
    let granted = client.post_path(CallKind::Lease, store::LEASE_PATH.to_owned(), body).await;
    let Some(granted) = successful(granted) else { return false };
    let Ok(lease) = store::lease(&granted.headers, &granted.body) else { return false };
    let value = serde_json::to_vec(notice).expect("a notice is plain data");
    let body = store::write_body(&catalog::quarantine_key(fingerprint), &value, lease);
    let written = client.post_path(CallKind::Put, store::WRITE_PATH.to_owned(), body).await;
    let Some(written) = successful(written) else { return false };
    // In another era, the id may be that of another lease, which ends at another time.
    store::write_revision(&written.headers, &written.body)
        .is_ok_and(|revision| revision.era == lease.era)
}

fn successful(answer: Result<StoreAnswer, ReadError>) -> Option<StoreAnswer> {
    answer.ok().filter(|answer| answer.status == StatusCode::OK)
}

fn encode(message: &QuarantineMessage) -> Vec<u8> {
    let bytes = postcard::to_stdvec(message).expect("plain data always encodes into memory");
    payload::wrap(PayloadKind::Quarantine, bytes)
}
