//! Keeps this host's mirror of the store up to date: from the store, or from a host of its zone
//! that watches the store.

use std::cmp::Ordering;
use std::mem;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthorn_fleet::MemberId;
use hawthorn_platform::store;
use hawthorn_platform::store::ReadMode;
use hawthorn_platform::store::StoreItems;
use hawthorn_route::confirmation::PeerAge;
use hawthorn_route::mirror;
use hawthorn_route::mirror::MirrorItem;
use hawthorn_route::mirror::MirrorUpdate;
use hawthorn_route::mirror::StoreMirror;
use hawthorn_route::packing;
use hawthorn_route::packing::ItemValue;
use hawthorn_route::revision::StoreRevision;
use hawthorn_store::ReadError;
use hawthorn_store::StoreClient;
use hawthorn_store::UncertainCause;
use hawthorn_store::client::CallKind;
use hawthorn_store::client::StoreAnswer;
use http::StatusCode;
use log::Level;
use rand::RngExt;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::connection::message::CatalogUpdate;
use crate::connection::peer::PeerError;
use crate::connection::peer::SuspicionReason;
use crate::edge_event;
use crate::process::catalog;
use crate::process::catalog::UpdateOrigin;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::fleet;
use crate::process::host::PeerGroup;
use crate::process::host::RouteHost;
use crate::process::peer_updates::UpdateRequest;
use crate::process::traffic::TrafficPurpose;

/// Timeout of a watch of the store. A lost reply is noticed only after it; a longer timeout
/// would save only a few calls a minute.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay of the next watch after an update, and of the first watch after the start. The changes
/// of one release or repartition arrive within a second, and each watch is a paid call.
const BATCH_DELAY: Duration = Duration::from_millis(250);
/// Pause after a failed call, in seconds: short enough to notice within half a second that the
/// store is back, and random, so that hosts do not retry at the same time.
const MIN_PAUSE_S: f64 = 0.25;
const MAX_PAUSE_S: f64 = 0.6;
/// Time for which a peer may wait for an update before it replies; a peer that has stopped
/// responding is noticed after it.
const PEER_WATCH_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of a check: it takes a few milliseconds, and a few hundred if the store is slow.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Consecutive checks that show a newer revision without a result from the watch, after which
/// the watch is considered lost.
const MAX_MISSED_CHECKS: u32 = 2;
/// Pause between two requests for a confirmation that do not wait for a change, so that a host
/// without a current source does not load its peers.
const REFRESH_PAUSE: Duration = Duration::from_millis(200);
/// Number of peers of its own zone, and of other zones, that a host asks for a confirmation after
/// a failed call to the store. Most of them may be cut off from it as well.
const REFRESH_PEERS: usize = 3;
/// Interval of these requests while the configuration needs a confirmation, so that several fit into
/// the half of the limit that is left then. Requests after failed checks only are too few to reach
/// the one host that still reaches the store.
const REFRESH_INTERVAL: Duration = Duration::from_millis(300);
/// Pause of a host that is not a watcher of its zone and also fails to reach the store, in
/// seconds. Its peers learn of the recovery first, and simultaneous requests of the fleet would
/// overload a recovering store.
const MIN_NON_WATCHER_PAUSE_S: f64 = 1.5;
const MAX_NON_WATCHER_PAUSE_S: f64 = 2.5;

/// Size of an update from which on its arrival is logged above the debug level.
const LARGE_UPDATE_BYTES: usize = 64 * 1024;

/// The error of an answer that is not usable.
const BAD_ANSWER: ReadError = ReadError::NoAnswer(UncertainCause::BadAnswer);

/// The source of the next update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UpdateSource {
    /// The store: either this host watches it for its zone, or no watcher is reachable.
    Store {
        is_watcher: bool,
    },
    Peer(SocketAddr),
}

/// What is known about the store between two polls.
#[derive(Debug)]
struct StoreAccess {
    reachable: bool,
    /// When the next read that confirms is due, if keys must be revoked in time. The reads continue
    /// over the ends of watches, which would otherwise each cause one.
    next_check: Duration,
    /// When a call last failed.
    failed_at: Option<Duration>,
}

impl StoreAccess {
    /// How long ago a call failed, unless the store has confirmed the mirror since then.
    fn failed_ago(&self, confirmed: Option<Duration>) -> Option<Duration> {
        let failed = self.failed_at.filter(|failed| confirmed.is_none_or(|at| at <= *failed));
        failed.map(|failed| host_now().saturating_sub(failed))
    }
}

enum WatchEnd {
    Update(StoreItems),
    /// The store lacks the changes after this host's revision: it compacted its history, or was
    /// restored from a copy.
    HistoryLost,
    /// The store answers, but not this watch.
    WatchLost,
    Failed(ReadError),
}

/// Keeps the mirror up to date until the process exits.
pub(crate) async fn follow(host: Rc<RouteHost>, client: StoreClient) {
    let mut access = StoreAccess { reachable: true, next_check: host_now(), failed_at: None };
    // The first read is a serializable one, which costs little; a snapshot from a peer would load
    // the peer's link.
    poll_store(&host, &client, &mut access, true).await;
    let mut last_reply = PeerReply::Done;
    loop {
        match select_source(&host) {
            UpdateSource::Store { is_watcher } => {
                poll_store(&host, &client, &mut access, is_watcher).await;
                last_reply = PeerReply::Done;
            }
            UpdateSource::Peer(peer) => {
                last_reply = follow_peer(&host, &client, &mut access, peer, last_reply).await;
            }
        }
    }
}

/// Requests an update from a peer, or reads the store itself if the data of this host has not been
/// confirmed for too long. Returns the peer's reply to the last request.
async fn follow_peer(
    host: &Rc<RouteHost>,
    client: &StoreClient,
    access: &mut StoreAccess,
    peer: SocketAddr,
    last_reply: PeerReply,
) -> PeerReply {
    let plan = host.confirmation_plan();
    let may_read = plan.may_read_store(access.failed_ago(host.confirmed_at()));
    let is_overdue = last_reply == PeerReply::Missing && may_read;
    let age = host.confirmed_age().unwrap_or_default();
    let (reply, max_age) = if is_overdue && age > plan.max_silent_age {
        (PeerReply::Missing, plan.max_silent_age)
    } else {
        let wait = if is_overdue { Duration::ZERO } else { PEER_WATCH_TIMEOUT };
        match poll_peer(host, peer, wait).await {
            PeerReply::Deferred => (PeerReply::Deferred, plan.max_deferred_age),
            reply => return reply,
        }
    };
    let age = host.confirmed_age().unwrap_or_default();
    if age > max_age {
        let (reason, age_ms): (&str, _) = (reply.into(), age.as_millis());
        edge_event!(
            Level::Warn,
            EdgeEvent::UpdateDeferred,
            "peer={peer} reason={reason} age_ms={age_ms}"
        );
        poll_store(host, client, access, false).await;
    }
    PeerReply::Done
}

/// Selects the store if this host is a watcher of its zone, or else the first watcher that
/// answers.
fn select_source(host: &RouteHost) -> UpdateSource {
    let members = host.members.borrow();
    let zone = &host.routing.settings.host.zone;
    let me = MemberId::of(&host.routing.settings.host.name);
    let address = |id| members.record_by_id(MemberId(id)).map(|record| record.place.peer);
    let ranked = mirror::rank(&fleet::zone_hosts(&members, zone));
    let is_usable = |id: &u64| {
        *id == me.0 || address(*id).is_some_and(|peer| !host.links.is_suspect_source(peer))
    };
    let answering: Vec<u64> = ranked.iter().copied().filter(is_usable).collect();
    let zones = members.zones().count();
    let source = answering.iter().copied().find(|id| *id != me.0).and_then(address);
    match source {
        Some(peer) if !mirror::is_watcher(&answering, me.0, zones) => UpdateSource::Peer(peer),
        _ => UpdateSource::Store { is_watcher: mirror::is_watcher(&ranked, me.0, zones) },
    }
}

/// Whether this host reads from the store itself, and not from a watcher of its zone.
pub(crate) fn watches_store(host: &RouteHost) -> bool {
    matches!(select_source(host), UpdateSource::Store { .. })
}

async fn poll_store(
    host: &Rc<RouteHost>,
    client: &StoreClient,
    access: &mut StoreAccess,
    is_watcher: bool,
) {
    let after = host.mirror.borrow().as_of();
    let sent = host_now();
    let read = if after == StoreRevision::NONE {
        // The watch that follows returns at once the changes that a stale read lacks.
        read_all(client, ReadMode::Serializable).await.map(|all| (all, true))
    } else {
        let mut end = watch(host, client, access, after).await;
        if matches!(end, WatchEnd::WatchLost) {
            // The store answers: the next watch returns the changes at once.
            end = watch(host, client, access, after).await;
        }
        match end {
            WatchEnd::Update(update) => Ok((update, false)),
            WatchEnd::HistoryLost => {
                read_all(client, ReadMode::Linearizable).await.map(|all| (all, true))
            }
            WatchEnd::WatchLost => Err(ReadError::NoAnswer(UncertainCause::Timeout)),
            WatchEnd::Failed(error) => Err(error),
        }
    };
    // The answer may be older than a restore of the store that a peer has reported meanwhile.
    let read = match read {
        Ok((read, _)) if read.as_of.era < host.mirror.borrow().as_of().era => Err(BAD_ANSWER),
        read => read,
    };
    match read {
        Ok((read, complete)) => {
            log_store_state(&mut access.reachable, None);
            let read_at = host_now();
            let count = read.items.len();
            let update =
                MirrorUpdate { items: read.items, as_of: read.as_of, complete, base: None };
            let bytes = update.bytes();
            edge_event!(
                update_level(bytes),
                EdgeEvent::StoreNews,
                "after={} as_of={} era={} items={count} bytes={bytes} whole={complete}",
                after.number,
                update.as_of.number,
                update.as_of.era
            );
            let as_of = update.as_of;
            let changed = apply(host, update, UpdateOrigin::Store);
            match host.routing.settings.revocation {
                None => host.confirm(as_of, read_at),
                // The first read is serializable and may be seconds old.
                Some(_) if after == StoreRevision::NONE => {}
                Some(_) => host.confirm(as_of, sent),
            }
            let reread = complete && after != StoreRevision::NONE;
            if reread {
                edge_event!(
                    Level::Warn,
                    EdgeEvent::StoreReread,
                    "after={} as_of={} era={} items={count} changed={changed}",
                    after.number,
                    as_of.number,
                    as_of.era
                );
            }
            // At the start, this delay also lets the membership protocol find the zone's hosts.
            // After a full read, it bounds the load on a store that lacks the history again.
            if changed || reread {
                sleep(BATCH_DELAY).await;
            }
        }
        Err(error) => {
            log_store_state(&mut access.reachable, Some(&error));
            access.failed_at = Some(host_now());
            refresh_from_peers(host).await;
            let pause = if is_watcher {
                MIN_PAUSE_S..MAX_PAUSE_S
            } else {
                MIN_NON_WATCHER_PAUSE_S..MAX_NON_WATCHER_PAUSE_S
            };
            let pause = Duration::from_secs_f64(rand::rng().random_range(pause));
            // The first check after the pause follows at once if it is overdue.
            host.expect_confirmation(access.next_check.max(host_now() + pause));
            pause_with_refresh(host, pause).await;
        }
    }
}

/// What became of a request for an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum PeerReply {
    /// The peer sent the update, or has none that is recent.
    Done,
    /// The peer did not answer.
    Missing,
    /// The peer's link had no capacity for the update.
    Deferred,
}

/// Requests an update from a peer, which waits up to `wait` for one.
async fn poll_peer(host: &Rc<RouteHost>, peer: SocketAddr, wait: Duration) -> PeerReply {
    let after = host.mirror.borrow().wanted_after();
    // A peer that does not answer becomes suspected, so another source is selected.
    let plan = host.confirmation_plan();
    let wait = if host.needs_refresh() { Duration::ZERO } else { wait };
    let sent = host_now();
    host.expect_confirmation(sent + wait);
    let Some(update) = fetch_update(host, peer, after, wait).await else {
        return PeerReply::Missing;
    };
    let age = Duration::from_micros(update.age_us);
    if age > plan.max_source_age {
        edge_event!(Level::Warn, EdgeEvent::PeerStale, "peer={peer} age_ms={}", age.as_millis());
        host.links.suspect(peer, SuspicionReason::Stale);
    } else if update.as_of == StoreRevision::NONE {
        return PeerReply::Deferred;
    }
    apply_from_peer(host, peer, update, sent);
    if wait.is_zero() && host.needs_refresh() {
        host.expect_confirmation(host_now() + REFRESH_PAUSE);
        sleep(REFRESH_PAUSE).await;
    }
    PeerReply::Done
}

/// Requests the changes after a revision from a peer, and suspects a peer that does not reply.
///
/// A late update is no sign that the peer is down: its link or this host's may be full, while it
/// answers queries. The next source is not delayed by the ping that decides it.
pub(crate) async fn fetch_update(
    host: &Rc<RouteHost>,
    peer: SocketAddr,
    after: StoreRevision,
    wait: Duration,
) -> Option<CatalogUpdate> {
    let endpoint = host.peer_endpoint(peer, TrafficPurpose::Catalog);
    let held = host.mirror.borrow().held_values();
    match host.links.catalog_update(&endpoint, UpdateRequest { after, held, wait }).await {
        Ok(update) => Some(update),
        Err(PeerError::NotSent) => None,
        Err(PeerError::NoReply | PeerError::Unresponsive) => {
            host.links.suspect(peer, SuspicionReason::Late);
            tokio::task::spawn_local(suspect_unless_alive(Rc::clone(host), peer));
            None
        }
    }
}

/// Suspects a peer also for queries if it does not answer a ping.
async fn suspect_unless_alive(host: Rc<RouteHost>, peer: SocketAddr) {
    let endpoint = host.peer_endpoint(peer, TrafficPurpose::Gathering);
    if !host.links.ping(&endpoint).await {
        host.links.suspect(peer, SuspicionReason::NoReply);
    }
}

/// Requests a confirmation from peers, if this host needs one and cannot get it from the store:
/// from hosts of its own zone, which may have selected another watcher, or else of other zones.
async fn refresh_from_peers(host: &Rc<RouteHost>) {
    for peers in [PeerGroup::OwnZone, PeerGroup::OtherZones] {
        for _ in 0..REFRESH_PEERS {
            if !host.needs_refresh() {
                return;
            }
            let candidates = refresh_peers(host, peers);
            let order = host.refresh_order(peers);
            let selected = order.borrow_mut().select(&candidates, &mut rand::rng());
            let Some(peer) = selected else { break };
            refresh_from(host, peer).await;
            order.borrow_mut().record(peer, !host.needs_refresh());
        }
    }
}

/// Pauses the calls to the store, but not the requests to peers.
async fn pause_with_refresh(host: &Rc<RouteHost>, pause: Duration) {
    let until = host_now() + pause;
    while host_now() < until {
        sleep(REFRESH_INTERVAL.min(until.saturating_sub(host_now()))).await;
        refresh_from_peers(host).await;
    }
}

async fn refresh_from(host: &Rc<RouteHost>, peer: SocketAddr) {
    let after = host.mirror.borrow().wanted_after();
    let sent = host_now();
    if let Some(update) = fetch_update(host, peer, after, Duration::ZERO).await {
        apply_from_peer(host, peer, update, sent);
    }
}

fn refresh_peers(host: &RouteHost, peers: PeerGroup) -> Vec<SocketAddr> {
    let members = host.members.borrow();
    let own = &host.routing.settings.host;
    let in_own_zone = peers == PeerGroup::OwnZone;
    let zones = members.zones().filter(|zone| (*zone == own.zone) == in_own_zone);
    let hosts = zones.flat_map(|zone| fleet::zone_hosts(&members, zone));
    let hosts = hosts.filter(|other| other.id != MemberId::of(&own.name).0);
    let peers =
        hosts.filter_map(|other| Some(members.record_by_id(MemberId(other.id))?.place.peer));
    peers.filter(|peer| !host.links.is_suspect_source(*peer)).collect()
}

/// Applies the reply to a request that was sent to `peer` at `sent`. False if it has no update, or
/// one that cannot be read: a snapshot is requested then.
pub fn apply_from_peer(
    host: &RouteHost,
    peer: SocketAddr,
    update: CatalogUpdate,
    sent: Duration,
) -> bool {
    if update.as_of == StoreRevision::NONE || update.age_us == u64::MAX {
        return false;
    }
    // The values that it differs from are those of an earlier era.
    if update.as_of.era < host.mirror.borrow().as_of().era {
        return false;
    }
    let micros = Duration::from_micros;
    let held_us = update.held_us;
    let age = PeerAge { age: micros(update.age_us), held: micros(held_us) };
    if update.as_of >= host.mirror.borrow().as_of()
        && let Some(confirmed) = age.confirmed_at(sent)
    {
        host.confirm(update.as_of, confirmed);
    }
    let bytes = update.bytes();
    let CatalogUpdate { items, as_of, complete, base, .. } = update;
    if bytes > 0 {
        let held = micros(held_us);
        let travelled = host_now().saturating_sub(sent).saturating_sub(held);
        edge_event!(
            update_level(bytes),
            EdgeEvent::UpdateReceived,
            "peer={peer} as_of={} era={} items={} bytes={bytes} held_ms={} travelled_ms={} \
             whole={complete}",
            as_of.number,
            as_of.era,
            items.len(),
            held.as_millis(),
            travelled.as_millis()
        );
    }
    // The match would keep the mirror borrowed.
    let unpacked = unpack(&host.mirror.borrow(), as_of, items);
    let items = match unpacked {
        Ok(items) => items,
        Err(error) => {
            let mut mirror = host.mirror.borrow_mut();
            edge_event!(
                Level::Warn,
                EdgeEvent::PeerMessageBroken,
                "from={peer} after={} as_of={} error=\"{error}\"",
                mirror.as_of().number,
                as_of.number
            );
            mirror.request_snapshot();
            return false;
        }
    };
    let update = MirrorUpdate { items, as_of, complete, base };
    apply(host, update, UpdateOrigin::Peer(peer));
    true
}

/// Unpacks the items of an update, except those that the mirror has at a later revision.
fn unpack(
    mirror: &StoreMirror,
    as_of: StoreRevision,
    items: Vec<(String, u64, ItemValue)>,
) -> Result<Vec<MirrorItem>, packing::Error> {
    let is_known = |key: &str, revision: u64| {
        as_of.era == mirror.as_of().era
            && mirror.revision_of(key).is_some_and(|known| known >= revision)
    };
    // A snapshot states by its items which others were deleted.
    let unknown = items.into_iter().map(|(key, revision, value)| {
        if is_known(&key, revision) && matches!(value, ItemValue::Packed(_)) {
            return Ok(MirrorItem { key, revision, value: None });
        }
        packing::unpack(mirror, key, revision, value)
    });
    unknown.collect()
}

/// Level of the log line on an update with this many bytes.
fn update_level(bytes: usize) -> Level {
    if bytes >= LARGE_UPDATE_BYTES { Level::Info } else { Level::Debug }
}

fn apply(host: &RouteHost, update: MirrorUpdate, origin: UpdateOrigin) -> bool {
    let before = host.mirror.borrow().as_of();
    let changed = catalog::apply(host, update, origin);
    if host.mirror.borrow().as_of() > before {
        host.confirm_reached();
        host.mirror_advanced.notify_waiters();
    }
    changed
}

/// Logs when the store becomes unreachable and when it is reachable again.
fn log_store_state(reachable: &mut bool, error: Option<&ReadError>) {
    match error {
        Some(error) if *reachable => {
            *reachable = false;
            edge_event!(Level::Warn, EdgeEvent::StoreLost, "error=\"{error:?}\"");
        }
        None if !*reachable => {
            *reachable = true;
            edge_event!(Level::Info, EdgeEvent::StoreBack, "");
        }
        _ => {}
    }
}

fn parse_items(answer: &StoreAnswer) -> Result<StoreItems, ReadError> {
    store::items(&answer.headers, &answer.body).map_err(|_| BAD_ANSWER)
}

/// Waits for an update, and checks meanwhile that the store answers this host.
///
/// The store may not accept calls from this host, or the reply to the watch may be lost. Neither
/// is noticed until the watch times out, and the zone keeps stale data; the checks detect both at
/// a tenth of the cost of a watch.
///
/// Where keys must be revoked in time, the checks are linearizable reads, and each confirms the
/// mirror as of its sending. The watch cannot: a long poll confirms only as of its start.
async fn watch(
    host: &Rc<RouteHost>,
    client: &StoreClient,
    access: &mut StoreAccess,
    after: StoreRevision,
) -> WatchEnd {
    let period = host.confirmation_plan().check_period;
    let strict = host.routing.settings.revocation.is_some();
    if !strict {
        access.next_check = host_now() + period;
    }
    // Whether the last check was a read of an earlier state than the mirror's.
    let mut is_stale = false;
    let mut pending_watch = std::pin::pin!(wait_for_update(client, after));
    let mut missed_checks = 0;
    let mut received = client.counts().bytes_of(CallKind::Watch);
    loop {
        host.expect_confirmation(access.next_check);
        tokio::select! {
            biased;
            end = pending_watch.as_mut() => return end,
            () = sleep(access.next_check.saturating_sub(host_now())) => {}
            // The next check may come too late if the peers asked after the last one had no recent
            // confirmation.
            () = sleep(REFRESH_INTERVAL), if host.needs_refresh() => {
                refresh_from_peers(host).await;
                continue;
            }
        }
        let sent = host_now();
        // Without an answer, the age of this host's data grows, and its peers select other sources.
        let linearizable = strict || is_stale;
        let answer = timeout(CHECK_TIMEOUT, check(client, linearizable)).await;
        access.next_check = if strict { sent + period } else { host_now() + period };
        let bytes = client.counts().bytes_of(CallKind::Watch);
        // A long answer that is still arriving is not lost.
        let is_arriving = mem::replace(&mut received, bytes) != bytes;
        let Ok(Some(as_of)) = answer else {
            refresh_from_peers(host).await;
            continue;
        };
        is_stale = !linearizable && as_of < host.mirror.borrow().as_of();
        if !is_stale && as_of.era >= after.era {
            host.confirm(as_of, sent);
        }
        match as_of.era.cmp(&after.era) {
            Ordering::Greater => return WatchEnd::HistoryLost,
            Ordering::Equal if is_stale => {}
            Ordering::Equal if as_of.number <= after.number => missed_checks = 0,
            Ordering::Equal if is_arriving => {}
            Ordering::Equal => missed_checks += 1,
            Ordering::Less => {}
        }
        if missed_checks >= MAX_MISSED_CHECKS {
            edge_event!(
                Level::Warn,
                EdgeEvent::WatchLost,
                "after={} as_of={} era={}",
                after.number,
                as_of.number,
                as_of.era
            );
            return WatchEnd::WatchLost;
        }
    }
}

/// The store's revision; may be seconds old if the read is not `linearizable`.
async fn check(client: &StoreClient, linearizable: bool) -> Option<StoreRevision> {
    let mode = if linearizable { ReadMode::Linearizable } else { ReadMode::Serializable };
    let path = store::revision_path(mode);
    let read = client.read_path(CallKind::List, path, Duration::ZERO).await;
    match read {
        Ok(StoreAnswer { status: StatusCode::OK, headers, body }) => {
            store::as_of(&headers, &body).ok()
        }
        _ => None,
    }
}

async fn wait_for_update(client: &StoreClient, after: StoreRevision) -> WatchEnd {
    let path = store::watch_path(after, WATCH_TIMEOUT);
    let answer = match client.read_path(CallKind::Watch, path, WATCH_TIMEOUT).await {
        Ok(answer) => answer,
        Err(error) => return WatchEnd::Failed(error),
    };
    match answer.status {
        StatusCode::OK => match parse_items(&answer) {
            // The revisions were given out again, and the events do not follow this host's state.
            Ok(update) if update.as_of.era > after.era => WatchEnd::HistoryLost,
            Ok(update) => WatchEnd::Update(update),
            Err(error) => WatchEnd::Failed(error),
        },
        StatusCode::GONE => WatchEnd::HistoryLost,
        _ => WatchEnd::Failed(BAD_ANSWER),
    }
}

/// Reads all items. The pages are not a consistent snapshot, and a serializable read may be older
/// than the one before it; the lowest revision is returned, so that the watch delivers the changes
/// that a page may lack. Fails if the store is restored between two pages.
async fn read_all(client: &StoreClient, mode: ReadMode) -> Result<StoreItems, ReadError> {
    let mut all = read_page(client, None, mode).await?;
    while all.more {
        let after = all.items.last().map(|item| item.key.clone());
        let page = read_page(client, after.as_deref(), mode).await?;
        if page.as_of.era != all.as_of.era {
            return Err(BAD_ANSWER);
        }
        all.as_of = all.as_of.min(page.as_of);
        all.more = page.more && !page.items.is_empty();
        all.items.extend(page.items);
    }
    Ok(all)
}

async fn read_page(
    client: &StoreClient,
    after: Option<&str>,
    mode: ReadMode,
) -> Result<StoreItems, ReadError> {
    let path = store::page_path(after, mode);
    let answer = client.read_path(CallKind::List, path, Duration::ZERO).await?;
    if answer.status == StatusCode::OK { parse_items(&answer) } else { Err(BAD_ANSWER) }
}
