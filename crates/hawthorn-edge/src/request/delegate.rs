//! Shards of a query that a host near their targets gathers.
//!
//! Which they are is decided in `hawthorn_route::spread`, and which hosts gather
//! in `hawthorn_route::gatherers`. Bytes between zones are dear, and a shard's
//! request and answer with their headers are several times the records that
//! count; gathered there they come back as one message, a fifth of the bytes
//! for seven shards.

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
use hawthorn_route::scatter;
use hawthorn_route::scatter::ZoneShards;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use log::Level;
use rand::RngExt;
use smallvec::SmallVec;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::connection::message::FORMAT;
use crate::connection::message::GatherOrder;
use crate::connection::message::GatherReply;
use crate::connection::message::OrderTimes;
use crate::connection::message::Remainder;
use crate::connection::peer::PeerError;
use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::host::RouteHost;
use crate::process::traffic::TrafficPurpose;
use crate::process::turns;
use crate::request::gather;
use crate::request::gather::PeerEnd;
use crate::request::gather::PeerPart;
use crate::request::order;
use crate::request::order::CANCELLATION_TURNS;
use crate::request::order::CallerWatch;
use crate::request::order::RequestOrder;
use crate::request::story::DelegateNote;
use crate::request::story::RequestStory;

/// The reply leaves a peer so long before the aim: the way between zones, and
/// the time to take it in here. For the first order, before the clocks have met.
pub(crate) const REPLY_MARGIN: Duration = Duration::from_millis(5);
/// A reply is taken in within so long: timers of the runtime count whole
/// milliseconds.
const REPLY_TURN: Duration = Duration::from_millis(1);

/// Peers that are asked for the same shards, one after the other, while none
/// has sent anything: a third failure in a row is no accident of one host.
const MOST_TRIES: usize = 2;
/// A peer says within so long that it is there: several ways between zones, and
/// the time for which a busy host is at something else.
const HELLO_TIMEOUT: Duration = Duration::from_millis(20);
/// Processor time of a shard's request on a new connection: twice the 91 us of
/// one on a connection that stands.
const SHARD_COST: Duration = Duration::from_micros(180);
/// Part of its processor time that a host puts into one query for want of a peer.
const OWN_SHARE: f64 = 0.33;
/// A reply may be so long after its aim.
const REPLY_GRACE: Duration = Duration::from_millis(10);

/// Shards that one peer gathers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DelegatedShards {
    pub(crate) peer: SocketAddr,
    pub(crate) zone: Rc<str>,
    /// By their place in the route's list.
    pub(crate) shards: Vec<u16>,
    /// Peers asked before.
    pub(crate) tries: usize,
    /// Of these, such as may have sent a first attempt.
    pub(crate) spent: u8,
    /// How many of the shards may be left out if they cannot come in time.
    pub(crate) skip: usize,
}

/// Shards whose parts a peer may still have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeldShards {
    pub(crate) peer: SocketAddr,
    pub(crate) zone: Rc<str>,
    pub(crate) remainder: Remainder,
}

impl DelegatedShards {
    /// The same shards for another peer, after one that may have sent a first attempt.
    pub(crate) fn after_silence(&self, host: &RouteHost, route: &RouteRule) -> Option<Self> {
        let spent = self.spent + 1;
        if usize::from(spent) >= route.max_attempts {
            return None;
        }
        Some(Self { spent, ..self.elsewhere(host, route)? })
    }

    /// The same shards for another peer of the zone, if one is to be had, or else for
    /// one elsewhere.
    pub(crate) fn again(&self, host: &RouteHost, route: &RouteRule) -> Option<Self> {
        self.sibling(host, route).or_else(|| self.elsewhere(host, route))
    }

    /// The same shards for a gatherer of this host's zone, as the zone they were for may
    /// be cut off, or know another version of the routes. A host that gathers itself
    /// needs no other of its own zone, and asks another of the same zone first.
    ///
    /// Load: a small host, whose zone's gatherers can gather what it cannot.
    pub(crate) fn elsewhere(&self, host: &RouteHost, route: &RouteRule) -> Option<Self> {
        let own = host.beliefs.settings.host.zone.as_str();
        if host.beliefs.gathers.get() || *self.zone == *own {
            return self.sibling(host, route);
        }
        let peer = choose(host, own, route)?;
        Some(Self { peer, zone: Rc::from(own), tries: 0, ..self.clone() })
    }

    /// The same shards for another peer of their zone.
    fn sibling(&self, host: &RouteHost, route: &RouteRule) -> Option<Self> {
        if self.tries + 1 >= MOST_TRIES {
            return None;
        }
        let peer = choose(host, &self.zone, route).filter(|peer| *peer != self.peer)?;
        Some(Self { peer, tries: self.tries + 1, ..self.clone() })
    }
}

/// Which of a query's shards peers gather; the others are gathered here.
pub(crate) fn hand_over(
    host: &RouteHost,
    spread: &scatter::ScatterPlan,
    route: &RouteRule,
) -> Vec<DelegatedShards> {
    let options = host.beliefs.policy.get().gatherers;
    let mut peers: HashMap<Rc<str>, SocketAddr> = HashMap::new();
    let has_host = |zone: &str| {
        let peer = choose(host, zone, route);
        peers.extend(peer.map(|peer| (Rc::from(zone), peer)));
        peer.is_some()
    };
    let parts = if host.beliefs.gathers.get() {
        spread.delegate(has_host, &options)
    } else {
        spread.delegate_all(&zones(host), has_host, &options)
    };
    let delegated = |part: ZoneShards| {
        let peer = *peers.get(&part.zone)?;
        let ZoneShards { zone, shards } = part;
        Some(DelegatedShards { peer, zone, shards, tries: 0, spent: 0, skip: 0 })
    };
    parts.into_iter().filter_map(delegated).collect()
}

/// The zones of the fleet that can be reached, this host's first.
fn zones(host: &RouteHost) -> Vec<Rc<str>> {
    let cut = host.beliefs.cut_zones(host_now());
    let mine = &host.beliefs.settings.host.zone;
    let members = host.members.borrow();
    let others = members.zones().filter(|zone| zone != mine && !cut.iter().any(|cut| cut == zone));
    std::iter::once(mine.as_str()).chain(others).map(Rc::from).collect()
}

/// Whether this host may gather so many shards itself where peers failed.
///
/// Load: a host of a tenth of a core whose gatherers do not answer. Gathering a
/// hundred shards with new connections would take it as long as its callers
/// wait, and everything else it does would stand still. It refuses instead.
pub(crate) fn affords(host: &RouteHost, shards: usize, aim: Duration) -> bool {
    let settings = &host.beliefs.settings.host;
    let time = aim.as_secs_f64() * settings.core_share * settings.cores * OWN_SHARE;
    shards as f64 * SHARD_COST.as_secs_f64() <= time
}

/// A peer of a zone that may be sent a request of the route.
fn choose(host: &RouteHost, zone: &str, route: &RouteRule) -> Option<SocketAddr> {
    if !host.beliefs.homes(route).allows(zone) {
        return None;
    }
    let gatherers = host.gather_peers.borrow();
    let peers = gatherers.of_zone(zone).iter().filter(|peer| !host.links.is_suspect(**peer));
    let peers: SmallVec<[SocketAddr; 8]> = peers.copied().collect();
    let lot = rand::rng().random_range(0..peers.len().max(1));
    peers.get(lot).copied()
}

/// The span within which a peer's parts are worth all they can be: less by the
/// reply's way, where the peer's clock does not tell when that is.
fn aim_left_us(aim_left: Duration, known: bool) -> u64 {
    let margin = if known { Duration::ZERO } else { REPLY_MARGIN };
    aim_left.saturating_sub(margin).as_micros() as u64
}

/// Has the peer gather its shards.
pub(crate) async fn ask(
    host: &RouteHost,
    order: &RequestOrder,
    version: u64,
    delegated: &DelegatedShards,
    spare: usize,
    aim_left: Duration,
) -> Result<GatherReply, PeerError> {
    let now = host_now();
    let left = order.time_left(now);
    let headers = order
        .headers
        .iter()
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect();
    // The peer's clock as it is at the earliest is less by the reply's way. The peer
    // takes off its own lag: it is another than that of a smaller or larger host.
    let taken_in = aim_left.saturating_sub(REPLY_TURN);
    let theirs = |span| host.links.theirs(delegated.peer, now + span);
    let times = theirs(left).zip(theirs(taken_in)).map(|(ends, aim)| OrderTimes {
        ends_us: ends.as_micros() as u64,
        aim_us: aim.as_micros() as u64,
    });
    let message = GatherOrder {
        format: FORMAT,
        method: order.method.to_string(),
        uri: order.uri.to_string(),
        headers,
        body: order.body.to_vec(),
        attempt_id: order.attempt_id.clone(),
        version,
        route: order.route.name.clone(),
        shards: delegated.shards.clone(),
        spare: u16::try_from(spare).unwrap_or(u16::MAX),
        skip: u16::try_from(delegated.skip).unwrap_or(u16::MAX),
        spent: delegated.spent,
        left_us: left.as_micros() as u64,
        aim_left_us: aim_left_us(aim_left, times.is_some()),
        times,
        caller: order.identity.caller,
        answered: order.exposure.borrow().is_answered(),
    };
    let usual = host.beliefs.usual(&order.route);
    delegated.shards.iter().for_each(|_| host.beliefs.zone_sent(&delegated.zone, now, usual));
    let peer = host.peer_route(delegated.peer, TrafficPurpose::Gathering);
    let call = host.links.gather(&peer, message, left);
    let reply = tokio::select! {
        biased;
        reply = call => reply,
        () = is_silent(host, delegated.peer) => {
            host.links.suspect(delegated.peer);
            Err(PeerError::Silent)
        }
        () = is_lost(host, delegated.peer, aim_left + REPLY_GRACE) => {
            host.links.suspect(delegated.peer);
            Err(PeerError::Lost)
        }
    };
    if reply.is_ok() {
        host.beliefs.zone_answered(&delegated.zone);
    }
    let outcome = match &reply {
        Ok(GatherReply::Parts { missing: 0, .. }) => "whole",
        Ok(GatherReply::Parts { .. }) => "partial",
        Ok(GatherReply::OtherVersion) => "other-version",
        Ok(GatherReply::Stopping) => "stopping",
        Ok(GatherReply::Unreadable) => "unreadable",
        Err(PeerError::NotSent) => "not-sent",
        Err(PeerError::Lost) => "lost",
        Err(PeerError::Silent) => "silent",
    };
    order.story.borrow_mut().delegated(DelegateNote {
        peer: delegated.peer,
        zone: delegated.zone.clone(),
        shards: delegated.shards.len(),
        took: host_now().saturating_sub(now),
        outcome,
    });
    reply
}

/// Has the peer go on with shards whose parts were not in when it replied.
pub(crate) async fn ask_remainder(
    host: &RouteHost,
    order: &RequestOrder,
    held: &HeldShards,
    needed: usize,
) -> Result<GatherReply, PeerError> {
    let now = host_now();
    let peer = host.peer_route(held.peer, TrafficPurpose::Gathering);
    let call = host.links.remainder(&peer, held.remainder, needed, order.time_left(now));
    let reply = tokio::select! {
        biased;
        reply = call => reply,
        () = is_silent(host, held.peer) => {
            host.links.suspect(held.peer);
            Err(PeerError::Silent)
        }
    };
    let outcome = match &reply {
        Ok(GatherReply::Parts { .. }) => "remainder",
        Ok(_) => "remainder-gone",
        Err(_) => "remainder-lost",
    };
    order.story.borrow_mut().delegated(DelegateNote {
        peer: held.peer,
        zone: held.zone.clone(),
        shards: usize::from(held.remainder.parts),
        took: host_now().saturating_sub(now),
        outcome,
    });
    reply
}

/// Returns when a peer does not say that it is there; never returns while it does.
///
/// Failure: a peer stands still, lost power, or its path is silent. A query
/// would be lost with it; now another is asked while there is time. A peer
/// answers this before it begins on the order that was sent just before: one
/// that stands still later, with attempts made, is not replaced, as two peers'
/// attempts could be more than operators allow.
async fn is_silent(host: &RouteHost, peer: SocketAddr) {
    let replaces = host.beliefs.policy.get().gatherers.replaces_silent;
    if !replaces || host.links.heard_lately(peer) {
        return std::future::pending().await;
    }
    says_nothing(host, peer).await;
}

/// Returns when a peer's reply is due and it does not say that it is there.
///
/// Failure: a peer stands still with a query, or its path went silent, and the
/// caller waits out its time. A reply is due at the aim, and later only where
/// the answer needs parts that have not come; then the peer says so.
async fn is_lost(host: &RouteHost, peer: SocketAddr, due: Duration) {
    sleep(due).await;
    says_nothing(host, peer).await;
}

/// Returns when a peer does not answer the question whether it is there; never
/// returns when it does.
async fn says_nothing(host: &RouteHost, peer: SocketAddr) {
    let route = host.peer_route(peer, TrafficPurpose::Gathering);
    let over = async {
        sleep(HELLO_TIMEOUT).await;
        // This host may have been the one that stood still: what lies in its
        // sockets is read first.
        for _ in 0..CANCELLATION_TURNS {
            yield_now().await;
        }
    };
    tokio::select! {
        biased;
        there = host.links.hello(&route) => if there { std::future::pending().await },
        () = over => {}
    }
}

/// Gathers shards for a peer; given up when the peer no longer waits.
pub(crate) async fn carry_out(
    host: Rc<RouteHost>,
    message: GatherOrder,
    reply: oneshot::Sender<GatherReply>,
) {
    // Failure: a host stood still or was starved, and sends for a query that its
    // front has long given to another. The cancellation lies unread behind the
    // order: the first turn has the sockets read, the second the calls taken in.
    for _ in 0..CANCELLATION_TURNS {
        yield_now().await;
    }
    if reply.is_closed() {
        return;
    }
    if let Err((refusal, reply)) = gather_for_peer(&host, message, reply).await {
        // The peer may have gone in this moment.
        let _gone = reply.send(refusal);
    }
}

/// The times of an order that is taken up at `now`; `None` where it is of another
/// format, or they cannot be.
fn span(host: &RouteHost, message: &GatherOrder, now: Duration) -> Option<LocalDeadlines> {
    let micros = Duration::from_micros;
    let ends = message.times.map(|times| (micros(times.ends_us), micros(times.aim_us)));
    let (left, aim_left) = (micros(message.left_us), micros(message.aim_left_us));
    let sent = SentDeadlines { time_left: left, soft_time_left: aim_left, reader_deadlines: ends };
    let known = message.format == FORMAT;
    let lag = host.lag.borrow().lag();
    known.then(|| clock_offset::to_local(&sent, now, turns::busy_for(now), lag)).flatten()
}

/// Gathers and replies; a reason why nothing was sent is given back with the sender.
async fn gather_for_peer(
    host: &Rc<RouteHost>,
    message: GatherOrder,
    reply: oneshot::Sender<GatherReply>,
) -> Result<(), (GatherReply, oneshot::Sender<GatherReply>)> {
    let started = host_now();
    let Some(span) = span(host, &message, started) else {
        edge_event!(
            Level::Warn,
            EdgeEvent::PeerMessageBroken,
            "from=order error=\"format {:#x}, times {:?}, {} us left\"",
            message.format,
            message.times,
            message.left_us
        );
        return Err((GatherReply::Unreadable, reply));
    };
    let LocalDeadlines { deadline: ends, soft_deadline: aim_at } = span;
    let Some(table) = host.beliefs.table_of(message.version) else {
        return Err((GatherReply::OtherVersion, reply));
    };
    let Some(route) = table.named(&message.route) else {
        return Err((GatherReply::OtherVersion, reply));
    };
    let RouteDestination::Gather(rule) = &route.destination else {
        return Err((GatherReply::OtherVersion, reply));
    };
    if message.shards.iter().any(|place| usize::from(*place) >= rule.shards.len()) {
        let (route, shards) = (&message.route, rule.shards.len());
        edge_event!(
            Level::Warn,
            EdgeEvent::PeerMessageBroken,
            "from=order error=\"a shard beyond the {shards} of route {route}\""
        );
        return Err((GatherReply::Unreadable, reply));
    }
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
    let order = Rc::new(RequestOrder {
        identity: RequestIdentity::with_caller_hash(
            order::fingerprint(&method, &headers, &uri, &body),
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
        started,
        leaves: aim_at,
        ends,
        left: CancellationToken::new(),
        answered: CancellationToken::new(),
        sent: Cell::new(0),
        skipped: Cell::new(0),
        spent: usize::from(message.spent),
        load: RefCell::default(),
        story: RefCell::new(RequestStory::default()),
    });
    let watch = CallerWatch(Rc::clone(&order));
    let (spare, skip) = (usize::from(message.spare), usize::from(message.skip));
    let part = PeerPart { shards: &message.shards, spare, skip, aim_at };
    if gather::part_of(host, &order, rule, &part, reply).await == PeerEnd::Replied {
        order.answered.cancel();
    }
    drop(watch);
    order.story.borrow().tell_missing(order.attempt_id.as_deref().unwrap_or("-"));
    Ok(())
}
