//! Delegation of a query's shards to hosts near their targets.
//!
//! The shards are selected in `hawthorn_route::scatter`, and the hosts that gather in
//! `hawthorn_route::gatherers`. Cross-zone traffic is expensive, and the headers of a shard's
//! request and answer are several times the size of the relevant records. A peer returns the
//! parts of several shards in one message: a fifth of the bytes for seven shards.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hawthorn_route::clock_offset;
use hawthorn_route::clock_offset::LocalDeadlines;
use hawthorn_route::clock_offset::SentDeadlines;
use hawthorn_route::document::RouteDestination;
use hawthorn_route::document::RouteRule;
use hawthorn_route::quarantine::Exposure;
use hawthorn_route::quarantine::RequestIdentity;
use hawthorn_route::regather;
use hawthorn_route::scatter;
use hawthorn_route::scatter::ZoneShards;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use log::Level;
use rand::RngExt;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::connection::message::FORMAT;
use crate::connection::message::GatherReply;
use crate::connection::message::GatherRequest;
use crate::connection::message::PeerCustomer;
use crate::connection::message::Remainder;
use crate::connection::message::RequestDeadlines;
use crate::connection::peer::PeerError;
use crate::connection::peer::SuspicionReason;
use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::host::RouteHost;
use crate::process::traffic::TrafficPurpose;
use crate::request::commit::QueryCommit;
use crate::request::context;
use crate::request::context::CANCELLATION_YIELDS;
use crate::request::context::CancelOnDrop;
use crate::request::context::RequestContext;
use crate::request::gather;
use crate::request::gather::PeerEnd;
use crate::request::gather::PeerShards;
use crate::request::request_log::DelegationRecord;
use crate::request::request_log::RequestLog;
use crate::request::stopping;

/// Time by which a peer replies before the soft deadline: the network delay between zones and
/// the processing of the reply. Used for the first request to a peer, before its
/// clock offset is known.
pub(crate) const REPLY_MARGIN: Duration = Duration::from_millis(5);
/// Time to process a reply: the runtime's timers have a resolution of one millisecond.
const REPLY_PROCESSING_TIME: Duration = Duration::from_millis(1);

/// Maximum number of peers that are tried in sequence for the same shards while none has sent
/// an attempt. A third failure in a row is unlikely to be caused by a single host.
const MAX_PEERS: usize = 2;
/// Timeout of a ping: several network delays between zones, plus the time for which a host may
/// be busy with other work.
const PING_TIMEOUT: Duration = Duration::from_millis(20);
/// Processor time of a shard's request on a new connection, twice the 91 us of one on an open
/// connection.
const SHARD_COST: Duration = Duration::from_micros(180);
/// Share of a host's processor time that one query may use if no peer gathers its shards.
const LOCAL_GATHER_SHARE: f64 = 0.33;
/// Tolerated delay of a reply after the soft deadline.
const REPLY_GRACE: Duration = Duration::from_millis(10);

/// Shards that are delegated to one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DelegatedShards {
    pub(crate) peer: SocketAddr,
    pub(crate) zone: Rc<str>,
    /// Indices into the route's list of shards.
    pub(crate) shards: Vec<u16>,
    /// Number of peers of the zone tried before.
    pub(crate) peers_tried: usize,
    /// Number of zones tried before.
    pub(crate) zones_tried: u8,
    /// Number of these that may have sent a first attempt.
    pub(crate) prior_attempts: u8,
    /// Maximum number of the shards that may be skipped if their parts cannot arrive in time.
    pub(crate) max_skipped: usize,
}

/// Shards of which a peer may still deliver parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeldShards {
    pub(crate) peer: SocketAddr,
    pub(crate) zone: Rc<str>,
    pub(crate) remainder: Remainder,
}

impl DelegatedShards {
    /// Delegates the same shards to another peer after one that may have sent a first attempt.
    /// Its whole zone may be cut off, so that peers of other zones are tried first.
    pub(crate) fn after_unresponsive(&self, host: &RouteHost, route: &RouteRule) -> Option<Self> {
        let prior_attempts = self.prior_attempts + 1;
        if usize::from(prior_attempts) >= route.max_attempts {
            return None;
        }
        let next = self.in_zone_of_targets(host, route);
        Some(Self { prior_attempts, ..next.or_else(|| self.in_own_zone(host, route))? })
    }

    /// Delegates the same shards to another peer of their zone, or else to one in another zone
    /// that has targets of them, or in this host's zone.
    pub(crate) fn retry(&self, host: &RouteHost, route: &RouteRule) -> Option<Self> {
        self.another_peer(host, route)
            .or_else(|| self.in_zone_of_targets(host, route))
            .or_else(|| self.in_own_zone(host, route))
    }

    /// Delegates the same shards to a peer of another zone with targets of them; see
    /// [`regather`].
    fn in_zone_of_targets(&self, host: &RouteHost, route: &RouteRule) -> Option<Self> {
        let RouteDestination::Gather(rule) = &route.destination else { return None };
        if self.zones_tried >= regather::MAX_ZONES {
            return None;
        }
        let zones = host.routing.regather_zones(rule, &self.shards, route, &self.zone);
        let mut zones = zones.into_iter();
        let (peer, zone) = zones.find_map(|zone| Some((select_peer(host, &zone, route)?, zone)))?;
        let zones_tried = self.zones_tried + 1;
        Some(Self { peer, zone, peers_tried: 0, zones_tried, ..self.clone() })
    }

    /// Delegates the same shards to a gatherer of this host's zone, as their own zone may be
    /// unreachable or have another version of the routes. A host that is a gatherer itself has
    /// no use for another one in its zone, and tries another peer of the shards' zone.
    ///
    /// Handles failed delegation on a host that is too small to gather the shards itself: the
    /// gatherers of its zone are larger.
    pub(crate) fn in_own_zone(&self, host: &RouteHost, route: &RouteRule) -> Option<Self> {
        let own = host.routing.settings.host.zone.as_str();
        if host.routing.is_gatherer.get() || *self.zone == *own {
            return self.another_peer(host, route);
        }
        let peer = select_peer(host, own, route)?;
        Some(Self { peer, zone: Rc::from(own), peers_tried: 0, ..self.clone() })
    }

    /// Delegates the same shards to another peer of their zone.
    fn another_peer(&self, host: &RouteHost, route: &RouteRule) -> Option<Self> {
        if self.peers_tried + 1 >= MAX_PEERS {
            return None;
        }
        let peer = select_peer(host, &self.zone, route).filter(|peer| *peer != self.peer)?;
        Some(Self { peer, peers_tried: self.peers_tried + 1, ..self.clone() })
    }
}

/// Selects the shards that peers gather; this host gathers the others.
pub(crate) fn plan(
    host: &RouteHost,
    scatter_plan: &scatter::ScatterPlan,
    route: &RouteRule,
) -> Vec<DelegatedShards> {
    let options = host.routing.policy.get().gatherers;
    let mut peers: HashMap<Rc<str>, SocketAddr> = HashMap::new();
    let has_host = |zone: &str| {
        let peer = select_peer(host, zone, route);
        peers.extend(peer.map(|peer| (Rc::from(zone), peer)));
        peer.is_some()
    };
    let groups = if host.routing.is_gatherer.get() {
        scatter_plan.delegate(has_host, &options)
    } else {
        scatter_plan.delegate_all(&zones(host), has_host, &options)
    };
    let delegated = |group: ZoneShards| {
        let peer = *peers.get(&group.zone)?;
        let ZoneShards { zone, shards } = group;
        Some(DelegatedShards {
            peer,
            zone,
            shards,
            peers_tried: 0,
            zones_tried: 0,
            prior_attempts: 0,
            max_skipped: 0,
        })
    };
    groups.into_iter().filter_map(delegated).collect()
}

/// The reachable zones of the fleet, starting with this host's.
fn zones(host: &RouteHost) -> Vec<Rc<str>> {
    let unreachable = host.routing.unreachable_zones(host_now());
    let own_zone = &host.routing.settings.host.zone;
    let members = host.members.borrow();
    let others = members
        .zones()
        .filter(|zone| zone != own_zone && !unreachable.iter().any(|name| name == zone));
    std::iter::once(own_zone.as_str()).chain(others).map(Rc::from).collect()
}

/// Whether this host may gather this number of shards itself after peers failed.
///
/// Handles unreachable gatherers on a host with a tenth of a core: gathering a hundred shards
/// on new connections would take longer than its callers wait, and block all other work. The
/// host refuses the query instead.
pub(crate) fn can_gather_locally(
    host: &RouteHost,
    shards: usize,
    target_latency: Duration,
) -> bool {
    let settings = &host.routing.settings.host;
    let time =
        target_latency.as_secs_f64() * settings.core_share * settings.cores * LOCAL_GATHER_SHARE;
    shards as f64 * SHARD_COST.as_secs_f64() <= time
}

/// Selects a peer of a zone in which the route's requests may run.
fn select_peer(host: &RouteHost, zone: &str, route: &RouteRule) -> Option<SocketAddr> {
    if !host.routing.homes(route).allows(zone) {
        return None;
    }
    let is_usable = |peer| !host.links.is_suspect(peer) && !host.zone_reports.suspects(peer);
    host.gather_peers.borrow().select(zone, is_usable)
}

/// Time until the soft deadline as sent to a peer. If the peer's clock offset is unknown, it is
/// reduced by the network delay of the reply.
fn soft_time_left_us(soft_time_left: Duration, offset_known: bool) -> u64 {
    let margin = if offset_known { Duration::ZERO } else { REPLY_MARGIN };
    soft_time_left.saturating_sub(margin).as_micros() as u64
}

/// Sends a peer the request to gather its shards.
pub(crate) async fn request_gather(
    host: &RouteHost,
    context: &RequestContext,
    version: u64,
    delegated: &DelegatedShards,
    max_missing: usize,
    soft_time_left: Duration,
) -> Result<GatherReply, PeerError> {
    let now = host_now();
    let left = context.time_left(now);
    let headers = context
        .headers
        .iter()
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect();
    // The conversion uses the lowest possible peer time, which allows for the network delay of
    // the reply. The peer subtracts its own scheduling delay, which depends on its size.
    let reply_time_left = soft_time_left.saturating_sub(REPLY_PROCESSING_TIME);
    let to_peer_time = |time_left| host.links.to_peer_time(delegated.peer, now + time_left);
    let deadlines =
        to_peer_time(left).zip(to_peer_time(reply_time_left)).map(|(deadline, soft_deadline)| {
            RequestDeadlines {
                deadline_us: deadline.as_micros() as u64,
                soft_deadline_us: soft_deadline.as_micros() as u64,
            }
        });
    // Only a silent peer is replaced.
    let is_replaceable = host.routing.policy.get().gatherers.replaces_silent;
    let commit_token = is_replaceable.then(|| rand::rng().random());
    let message = GatherRequest {
        format: FORMAT,
        method: context.method.to_string(),
        uri: context.uri.to_string(),
        headers,
        body: context.body.to_vec(),
        attempt_id: context.attempt_id.clone(),
        version,
        route: context.route.name.clone(),
        shards: delegated.shards.clone(),
        max_missing: u16::try_from(max_missing).unwrap_or(u16::MAX),
        max_skipped: u16::try_from(delegated.max_skipped).unwrap_or(u16::MAX),
        prior_attempts: delegated.prior_attempts,
        commit_token,
        time_left_us: left.as_micros() as u64,
        soft_time_left_us: soft_time_left_us(soft_time_left, deadlines.is_some()),
        deadlines,
        customer: context.customer.as_ref().map(|customer| PeerCustomer {
            name: customer.name.to_string(),
            key_index: customer.key_index,
        }),
        caller: context.identity.caller,
        answered: context.exposure.borrow().is_answered(),
    };
    let service_time = host.routing.service_time(&context.route);
    delegated.shards.iter().for_each(|_| {
        host.routing.zone_sent(&delegated.zone, now, service_time);
    });
    host.gather_peers.borrow_mut().record(&delegated.zone, delegated.peer);
    let peer = host.peer_endpoint(delegated.peer, TrafficPurpose::Gathering);
    // Until a connection is open, nothing can have reached the peer.
    let connected = Cell::new(false);
    let call = host.links.gather(&peer, message, left, &connected);
    let reply = tokio::select! {
        biased;
        reply = call => reply,
        () = peer_unresponsive(host, delegated.peer, commit_token) => {
            host.links.suspect(delegated.peer, SuspicionReason::Silent);
            Err(if connected.get() { PeerError::Unresponsive } else { PeerError::NotSent })
        }
        () = peer_overdue(host, delegated.peer, soft_time_left + REPLY_GRACE) => {
            host.links.suspect(delegated.peer, SuspicionReason::Overdue);
            Err(PeerError::NoReply)
        }
    };
    if reply.is_ok() {
        host.routing.zone_answered(&delegated.zone);
    }
    let outcome = match &reply {
        Ok(GatherReply::Parts { missing: 0, .. }) => "whole",
        Ok(GatherReply::Parts { .. }) => "partial",
        Ok(GatherReply::OtherVersion) => "other-version",
        Ok(GatherReply::Stopping) => "stopping",
        Ok(GatherReply::StaleKeys) => "stale-keys",
        Ok(GatherReply::Overloaded { .. }) => "overloaded",
        Ok(GatherReply::Unreadable) => "unreadable",
        Err(PeerError::NotSent) => "not-sent",
        Err(PeerError::NoReply) => "lost",
        Err(PeerError::Unresponsive) => "silent",
    };
    context.request_log.borrow_mut().add_delegation(DelegationRecord {
        peer: delegated.peer,
        zone: delegated.zone.clone(),
        shards: delegated.shards.len(),
        elapsed: host_now().saturating_sub(now),
        outcome,
    });
    reply
}

/// Requests from a peer the parts that had not arrived when it replied.
pub(crate) async fn request_remainder(
    host: &RouteHost,
    context: &RequestContext,
    held: &HeldShards,
    needed: usize,
) -> Result<GatherReply, PeerError> {
    let now = host_now();
    let peer = host.peer_endpoint(held.peer, TrafficPurpose::Gathering);
    let call = host.links.remainder(&peer, held.remainder, needed, context.time_left(now));
    let reply = tokio::select! {
        biased;
        reply = call => reply,
        () = peer_unresponsive(host, held.peer, None) => {
            host.links.suspect(held.peer, SuspicionReason::Silent);
            Err(PeerError::Unresponsive)
        }
    };
    let outcome = match &reply {
        Ok(GatherReply::Parts { .. }) => "remainder",
        Ok(_) => "remainder-gone",
        Err(_) => "remainder-lost",
    };
    context.request_log.borrow_mut().add_delegation(DelegationRecord {
        peer: held.peer,
        zone: held.zone.clone(),
        shards: usize::from(held.remainder.parts),
        elapsed: host_now().saturating_sub(now),
        outcome,
    });
    reply
}

/// Returns if a peer does not answer a ping; never returns otherwise, and then commits to the peer
/// for the query of `commit_token`.
///
/// A query delegated to a peer is lost if the peer is stalled or lost power, or if its network
/// path drops packets. Without a ping reply, another peer is tried while there is time. A peer
/// answers a ping before it starts on the request sent just before. A peer that stalls later, after
/// the commit, is not replaced, as the attempts of two peers could exceed the route's maximum.
///
/// A peer that answered recently may be busy rather than stalled, so its ping has more time.
async fn peer_unresponsive(host: &RouteHost, peer: SocketAddr, commit_token: Option<u64>) {
    if !host.routing.policy.get().gatherers.replaces_silent {
        return std::future::pending().await;
    }
    let timed_out = async {
        sleep(PING_TIMEOUT).await;
        while let Some(left) = host.links.alive_for(peer) {
            sleep(left).await;
        }
    };
    no_ping_reply(host, peer, commit_token, timed_out).await;
}

/// Returns if a peer's reply is overdue and the peer does not answer a ping.
///
/// Without this, the caller would wait until its deadline if the peer stalls with a query or its
/// network path starts to drop packets. A reply is due at the soft deadline; it is later only if
/// the answer needs parts that have not arrived, and then the peer still answers pings.
async fn peer_overdue(host: &RouteHost, peer: SocketAddr, due: Duration) {
    sleep(due).await;
    no_ping_reply(host, peer, None, sleep(PING_TIMEOUT)).await;
}

/// Returns if a peer does not answer a ping before `timed_out`; never returns if it does.
async fn no_ping_reply(
    host: &RouteHost,
    peer: SocketAddr,
    commit_token: Option<u64>,
    timed_out: impl Future<Output = ()>,
) {
    let endpoint = host.peer_endpoint(peer, TrafficPurpose::Gathering);
    let timed_out = async {
        timed_out.await;
        // This host may have been the one that stalled, so its sockets are read first.
        for _ in 0..CANCELLATION_YIELDS {
            yield_now().await;
        }
    };
    tokio::select! {
        biased;
        alive = host.links.ping(&endpoint) => if alive {
            if let Some(token) = commit_token {
                host.links.commit(&endpoint, token).await;
            }
            std::future::pending().await
        },
        () = timed_out => {}
    }
}

/// Counts a peer's query whose shards this host gathers, until it is dropped.
struct PeerQuery(Rc<RouteHost>);

impl PeerQuery {
    fn new(host: &Rc<RouteHost>) -> Self {
        host.peer_queries.set(host.peer_queries.get() + 1);
        Self(Rc::clone(host))
    }
}

impl Drop for PeerQuery {
    fn drop(&mut self) {
        self.0.peer_queries.set(self.0.peer_queries.get() - 1);
    }
}

/// Gathers shards for a peer; stops when the peer no longer waits. The request arrived at this
/// host at `arrived` or later.
pub(crate) async fn serve_peer(
    host: Rc<RouteHost>,
    message: GatherRequest,
    arrived: Duration,
    commit: QueryCommit,
    reply: oneshot::Sender<GatherReply>,
) {
    let _query = PeerQuery::new(&host);
    // A host that was stalled would send attempts for a query that its sender has since delegated
    // to another host. The cancellation is still unread behind the request: the first yield reads
    // the sockets, the second processes the calls.
    for _ in 0..CANCELLATION_YIELDS {
        yield_now().await;
    }
    if reply.is_closed() {
        log_withdrawn(message.attempt_id.as_deref(), message.shards.len(), arrived, 0, 0);
        return;
    }
    if let Err((refusal, reply)) = serve_gather(&host, message, arrived, commit, reply).await {
        // The peer may have disconnected.
        let _gone = reply.send(refusal);
    }
}

/// Logs that a peer no longer waits for its shards, for which this host made `sent` attempts that
/// may run, `extra` of all its attempts beyond the first of a shard.
fn log_withdrawn(request: Option<&str>, shards: usize, arrived: Duration, sent: usize, extra: u32) {
    edge_event!(
        Level::Info,
        EdgeEvent::QueryWithdrawn,
        "request={} shards={shards} after_ms={:.1} sent={sent} extra={extra}",
        request.unwrap_or("-"),
        host_now().saturating_sub(arrived).as_secs_f64() * 1000.0
    );
}

/// The deadlines of a request that is processed at `now`; `None` if it has another format or
/// its deadlines are impossible.
fn local_deadlines(
    host: &RouteHost,
    message: &GatherRequest,
    arrived: Duration,
    now: Duration,
) -> Option<LocalDeadlines> {
    let micros = Duration::from_micros;
    let reader_deadlines = message
        .deadlines
        .map(|deadlines| (micros(deadlines.deadline_us), micros(deadlines.soft_deadline_us)));
    let (left, soft_time_left) = (micros(message.time_left_us), micros(message.soft_time_left_us));
    let sent = SentDeadlines { time_left: left, soft_time_left, reader_deadlines };
    let known_format = message.format == FORMAT;
    let lag = host.lag.borrow().lag();
    let unread = now.saturating_sub(arrived);
    known_format.then(|| clock_offset::to_local(&sent, now, unread, lag)).flatten()
}

/// Gathers and replies; if nothing was sent, returns the reason and the sender.
async fn serve_gather(
    host: &Rc<RouteHost>,
    message: GatherRequest,
    arrived: Duration,
    commit: QueryCommit,
    reply: oneshot::Sender<GatherReply>,
) -> Result<(), (GatherReply, oneshot::Sender<GatherReply>)> {
    let started = host_now();
    let Some(deadlines) = local_deadlines(host, &message, arrived, started) else {
        edge_event!(
            Level::Warn,
            EdgeEvent::PeerMessageBroken,
            "from=order error=\"format {:#x}, times {:?}, {} us left\"",
            message.format,
            message.deadlines,
            message.time_left_us
        );
        return Err((GatherReply::Unreadable, reply));
    };
    let LocalDeadlines { deadline, soft_deadline } = deadlines;
    let Some(table) = host.routing.table_of(message.version) else {
        return Err((GatherReply::OtherVersion, reply));
    };
    let Some(route) = table.named(&message.route) else {
        return Err((GatherReply::OtherVersion, reply));
    };
    let RouteDestination::Gather(rule) = &route.destination else {
        return Err((GatherReply::OtherVersion, reply));
    };
    if stopping::is_too_late(host, route) {
        return Err((GatherReply::Stopping, reply));
    }
    if message.shards.iter().any(|shard_index| usize::from(*shard_index) >= rule.shards.len()) {
        let (route, shards) = (&message.route, rule.shards.len());
        edge_event!(
            Level::Warn,
            EdgeEvent::PeerMessageBroken,
            "from=order error=\"shard index out of range: route {route} has {shards} shards\""
        );
        return Err((GatherReply::Unreadable, reply));
    }
    let customer = match &message.customer {
        None => None,
        Some(PeerCustomer { name, key_index }) => {
            let Some(customer) = table.customers().resolve(name, *key_index) else {
                return Err((GatherReply::OtherVersion, reply));
            };
            if host.key_refusal(&customer).is_some() {
                return Err((GatherReply::StaleKeys, reply));
            }
            Some(customer)
        }
    };
    let (Ok(method), Ok(uri)) = (message.method.parse(), message.uri.parse()) else {
        return Err((GatherReply::OtherVersion, reply));
    };
    let mut headers = HeaderMap::new();
    for (name, value) in &message.headers {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_bytes(value))
        {
            headers.append(name, value);
        }
    }
    let body = Bytes::from(message.body);
    let exposure = if message.answered { Exposure::answered() } else { Exposure::default() };
    let context = Rc::new(RequestContext {
        identity: RequestIdentity::with_caller_hash(
            context::fingerprint(&method, &headers, &uri, &body),
            message.caller,
            &route.name,
        ),
        exposure: RefCell::new(exposure),
        caller: None,
        method,
        uri,
        headers,
        body,
        attempt_id: message.attempt_id,
        route: Rc::clone(route),
        customer,
        started,
        send_deadline: soft_deadline,
        deadline,
        abandoned: CancellationToken::new(),
        answered: CancellationToken::new(),
        sent: Cell::new(0),
        waiting: Cell::new(0),
        awaited_peers: Cell::new(0),
        skipped: Cell::new(0),
        prior_attempts: usize::from(message.prior_attempts),
        commit,
        load: RefCell::default(),
        request_log: RefCell::new(RequestLog::default()),
    });
    let cancel_guard = CancelOnDrop(Rc::clone(&context));
    let (max_missing, max_skipped) =
        (usize::from(message.max_missing), usize::from(message.max_skipped));
    let peer_shards =
        PeerShards { shards: &message.shards, max_missing, max_skipped, soft_deadline };
    match gather::gather_for_peer(host, &context, rule, &peer_shards, reply).await {
        PeerEnd::Replied => context.answered.cancel(),
        PeerEnd::Left => {
            let (sent, extra) = (context.sent.get(), context.exposure.borrow().extra());
            let request = context.attempt_id.as_deref();
            log_withdrawn(request, message.shards.len(), arrived, sent, extra);
        }
    }
    drop(cancel_guard);
    context.request_log.borrow().write_missing(context.attempt_id.as_deref().unwrap_or("-"));
    Ok(())
}
