//! Progress of a scatter-gather query while its parts arrive.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesUnordered;
use hawthorn_route::document::GatherRule;
use hawthorn_route::gather::GatherState;
use hawthorn_route::merge::TopRecords;
use hawthorn_route::outcome::RefusalReason;
use hawthorn_route::registry::TargetKey;
use hawthorn_route::scatter;
use hawthorn_route::scatter::ShardSource;
use hawthorn_route::skip;
use hyper::header::HeaderValue;
use log::Level;
use rand::seq::SliceRandom;
use tokio::time::timeout;

use crate::connection::message::GatherReply;
use crate::connection::message::PeerLoad;
use crate::connection::message::Remainder;
use crate::connection::peer::PeerError;
use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::host::RouteHost;
use crate::request::context::RequestContext;
use crate::request::delegate;
use crate::request::delegate::DelegatedShards;
use crate::request::delegate::HeldShards;
use crate::request::race::AttemptRace;
use crate::request::race::RaceEnd;

/// The maximum number of shards that are tried in sequence until a target receives a
/// request that is on trial.
const MAX_TRIAL_SHARDS: usize = 4;

/// The result for some shards.
pub(super) enum GatherEvent<'a> {
    /// One shard's attempts ended.
    Race(&'a str, RaceEnd),
    /// A peer's reply for its shards, or its failure.
    Delegated(DelegatedShards, Result<GatherReply, PeerError>),
    /// A peer's reply for the remainder of its shards, or its failure.
    Remainder(HeldShards, Result<GatherReply, PeerError>),
}

/// Counts a peer whose reply is awaited, until it is dropped.
struct AwaitedPeer<'a>(&'a RequestContext);

impl<'a> AwaitedPeer<'a> {
    fn new(context: &'a RequestContext) -> Self {
        context.awaited_peers.set(context.awaited_peers.get() + 1);
        Self(context)
    }
}

impl Drop for AwaitedPeer<'_> {
    fn drop(&mut self) {
        self.0.awaited_peers.set(self.0.awaited_peers.get() - 1);
    }
}

/// Parameters of a [`GatherRun`].
#[derive(Clone, Copy, Debug)]
pub(super) struct GatherPlan {
    /// Version of the routes, for peers.
    pub(super) version: u64,
    /// The query's soft deadline.
    pub(super) soft_deadline: Duration,
    /// Number of shards to gather.
    pub(super) shards: usize,
    /// Minimum share of the shards for an answer.
    pub(super) min_share: f64,
}

/// A query in progress.
pub(super) struct GatherRun<'a> {
    host: &'a Rc<RouteHost>,
    context: &'a Rc<RequestContext>,
    rule: &'a GatherRule,
    version: u64,
    soft_deadline: Duration,
    pub(super) state: GatherState,
    pub(super) records: TopRecords,
    pub(super) receipts: Vec<HeaderValue>,
    /// Shards for which this host sends attempts.
    local_shards: Vec<&'a str>,
    /// Those of `local_shards` that have not ended.
    awaited: Vec<&'a str>,
    /// Those of `local_shards` that ended without a part, and why.
    lost: Vec<(&'a str, &'static str)>,
    /// Shards that were skipped, and may still be requested.
    pub(super) skipped: Vec<u16>,
    /// Parts that peers may still deliver.
    held: Vec<HeldShards>,
    pub(super) refusal: Option<RefusalReason>,
    /// Time until peers that refused their shards expect capacity.
    pub(super) refused_for: Option<Duration>,
    pub(super) events: FuturesUnordered<LocalBoxFuture<'a, GatherEvent<'a>>>,
}

impl<'a> GatherRun<'a> {
    pub(super) fn new(
        host: &'a Rc<RouteHost>,
        context: &'a Rc<RequestContext>,
        rule: &'a GatherRule,
        plan: GatherPlan,
    ) -> Self {
        let GatherPlan { version, soft_deadline, shards, min_share } = plan;
        Self {
            host,
            context,
            rule,
            version,
            soft_deadline,
            state: GatherState { shards, parts: 0, lost: 0, min_share },
            records: TopRecords::new(rule.top),
            receipts: Vec::with_capacity(shards),
            local_shards: Vec::with_capacity(shards),
            awaited: Vec::with_capacity(shards),
            lost: Vec::new(),
            skipped: Vec::new(),
            held: Vec::new(),
            refusal: None,
            refused_for: None,
            events: FuturesUnordered::new(),
        }
    }

    /// Starts gathering all shards, here or by peers, except those whose parts cannot arrive in
    /// time. The number of shards that may be skipped is divided among this host and the peers.
    ///
    /// The shard in `tried` has already answered and is skipped.
    pub(super) fn begin(&mut self, scatter_plan: &scatter::ScatterPlan, tried: Option<u16>) {
        let mut delegated = delegate::plan(self.host, scatter_plan, &self.context.route);
        for group in &mut delegated {
            group.shards.retain(|shard_index| Some(*shard_index) != tried);
        }
        delegated.retain(|group| !group.shards.is_empty());
        let is_delegated =
            |shard_index: &u16| delegated.iter().any(|group| group.shards.contains(shard_index));
        let all = 0..scatter_plan.sources.len() as u16;
        let local: Vec<u16> = all
            .filter(|shard_index| Some(*shard_index) != tried && !is_delegated(shard_index))
            .collect();
        let max_missing = scatter_plan.max_missing_left(self.state.max_missing());
        let delegated_sizes = delegated.iter().map(|group| group.shards.len());
        let sizes: Vec<usize> = std::iter::once(local.len()).chain(delegated_sizes).collect();
        let mut shares = skip::apportion(max_missing, &sizes).into_iter();
        self.race_with_skips(&local, shares.next().unwrap_or(0), |shard_index| {
            scatter_plan.target(shard_index)
        });
        let mut load = self.context.load.borrow_mut();
        load.shards = self.state.shards;
        load.max_missing = max_missing - self.skipped.len();
        drop(load);
        for (group, max_skipped) in delegated.into_iter().zip(shares) {
            self.delegate(DelegatedShards { max_skipped, ..group });
        }
    }

    /// Sends the request to one shard before the fan-out; `None` if there was no answer.
    ///
    /// Handles requests that are suspected of crashing targets: a trial reaches one target at a
    /// time, where a fan-out would crash one target of each shard.
    pub(super) async fn trial(&mut self, scatter_plan: &scatter::ScatterPlan) -> Option<u16> {
        let available = scatter_plan.sources.iter().enumerate();
        let available = available.filter(|(_, source)| !matches!(source, ShardSource::Unavailable));
        let mut shard_indices: Vec<u16> =
            available.map(|(shard_index, _)| shard_index as u16).collect();
        shard_indices.shuffle(&mut rand::rng());
        for shard_index in shard_indices.into_iter().take(MAX_TRIAL_SHARDS) {
            let shard = self.rule.shards.get(usize::from(shard_index))?;
            let race = AttemptRace::new(self.host, self.context, shard);
            let race = race.with_first_target(scatter_plan.target(shard_index)).run();
            let left = self.context.time_left(host_now());
            self.local_shards.push(shard);
            match timeout(left, race).await {
                Ok(RaceEnd::Answered(answer)) => {
                    self.handle(GatherEvent::Race(shard, RaceEnd::Answered(answer)));
                    return Some(shard_index);
                }
                // The request reached no target of this shard; try another one.
                Ok(RaceEnd::NotRun(reason)) if reason != RefusalReason::Quarantined => {
                    self.refusal = Some(reason);
                }
                Ok(RaceEnd::NotRun(reason)) => {
                    self.refusal = Some(reason);
                    return None;
                }
                Ok(RaceEnd::Failed(_) | RaceEnd::Unknown) | Err(_) => return None,
            }
        }
        None
    }

    /// Starts attempts at a shard. Peers may have made `prior_attempts` already; if these reach
    /// the route's maximum, the shard is lost.
    fn race(&mut self, shard_index: u16, prior_attempts: usize) {
        let Some(shard) = self.rule.shards.get(usize::from(shard_index)) else { return };
        self.start(
            shard,
            AttemptRace::new(self.host, self.context, shard).with_prior_attempts(prior_attempts),
        );
    }

    /// Starts attempts at a shard whose best target is already known.
    fn race_with_target(&mut self, shard_index: u16, first_target: Option<TargetKey>) {
        let Some(shard) = self.rule.shards.get(usize::from(shard_index)) else { return };
        self.start(
            shard,
            AttemptRace::new(self.host, self.context, shard).with_first_target(first_target),
        );
    }

    fn start(&mut self, shard: &'a str, race: AttemptRace<'a>) {
        self.local_shards.push(shard);
        self.awaited.push(shard);
        self.events.push(async move { GatherEvent::Race(shard, race.run().await) }.boxed_local());
    }

    /// Starts attempts at some shards, except those whose parts cannot arrive in time.
    pub(super) fn race_with_skips(
        &mut self,
        shards: &[u16],
        max_skipped: usize,
        target: impl Fn(u16) -> Option<TargetKey>,
    ) {
        let time = self.soft_deadline.saturating_sub(host_now());
        let route = &self.context.route;
        self.skipped = self.host.routing.skip(self.rule, shards, max_skipped, route, time);
        self.state.lost += self.skipped.len();
        for shard in shards {
            if !self.skipped.contains(shard) {
                self.race_with_target(*shard, target(*shard));
            }
        }
    }

    /// Starts attempts at the skipped shards, because others were lost; false if there are
    /// none.
    pub(super) fn race_skipped(&mut self) -> bool {
        let skipped = std::mem::take(&mut self.skipped);
        self.state.lost -= skipped.len();
        skipped.iter().for_each(|shard| self.race(*shard, 0));
        !skipped.is_empty()
    }

    /// Requests the remainder of their parts from peers, because those received are not enough;
    /// false if there is none.
    pub(super) fn request_remainders(&mut self) -> bool {
        let held = std::mem::take(&mut self.held);
        let requested = !held.is_empty();
        let needed = self.state.shards - self.state.max_missing() - self.state.parts;
        let (host, context) = (self.host, self.context);
        for held in held {
            let remaining = usize::from(held.remainder.parts);
            self.state.lost -= remaining;
            let awaited = AwaitedPeer::new(context);
            let request = async move {
                let reply =
                    delegate::request_remainder(host, context, &held, needed.min(remaining)).await;
                drop(awaited);
                GatherEvent::Remainder(held, reply)
            };
            self.events.push(request.boxed_local());
        }
        requested
    }

    /// Number of parts that may still arrive.
    pub(super) fn awaited(&self) -> usize {
        self.awaited.len()
    }

    /// Whether an attempt was last refused for the caller's key.
    pub(super) fn is_key_refused(&self) -> bool {
        matches!(self.refusal, Some(RefusalReason::StaleKeys | RefusalReason::KeyRevoked))
    }

    /// Moves the received parts into a reply.
    pub(super) fn reply(&mut self, missing: usize, remainder: Option<Remainder>) -> GatherReply {
        let receipts = self.receipts.drain(..);
        let receipts = receipts.map(|receipt| receipt.as_bytes().to_vec()).collect();
        let records = std::mem::replace(&mut self.records, TopRecords::new(self.rule.top));
        let query_load = self.context.load.borrow();
        let waits_us = query_load.waits.iter().map(|wait| wait.as_micros() as u64).collect();
        let rejected = u16::try_from(query_load.rejected).unwrap_or(u16::MAX);
        let skipped = u16::try_from(self.skipped.len()).unwrap_or(u16::MAX);
        let load = PeerLoad { waits_us, rejected, skipped };
        let missing = u16::try_from(missing).unwrap_or(u16::MAX);
        GatherReply::Parts { receipts, records: records.into_body(), missing, load, remainder }
    }

    /// Starts attempts at shards that no peer gathers, if this host has the capacity.
    fn race_locally(&mut self, shards: &[u16], prior_attempts: usize) {
        if delegate::can_gather_locally(self.host, shards.len(), self.context.route.target_latency)
        {
            shards.iter().for_each(|shard| self.race(*shard, prior_attempts));
        } else {
            self.refusal = Some(RefusalReason::Unreachable);
            self.state.lost += shards.len();
        }
    }

    /// Delegates shards that another peer did not gather, and logs it.
    fn delegate_anew(&self, previous: &DelegatedShards, next: DelegatedShards) {
        edge_event!(
            Level::Info,
            EdgeEvent::QueryRegathered,
            "request={} peer={} zone={} next={} next_zone={} shards={} attempts={} left_ms={}",
            self.context.attempt_id.as_deref().unwrap_or("-"),
            previous.peer,
            previous.zone,
            next.peer,
            next.zone,
            next.shards.len(),
            next.prior_attempts,
            self.context.time_left(host_now()).as_millis()
        );
        self.delegate(next);
    }

    fn delegate(&self, delegated: DelegatedShards) {
        let (host, context, version) = (self.host, self.context, self.version);
        let soft_time_left = self.soft_deadline.saturating_sub(host_now());
        // The peer may send attempts before its reply arrives.
        context.sent.set(context.sent.get() + delegated.shards.len());
        let max_missing = self.state.max_missing();
        let awaited = AwaitedPeer::new(context);
        let request = async move {
            let reply = delegate::request_gather(
                host,
                context,
                version,
                &delegated,
                max_missing,
                soft_time_left,
            )
            .await;
            drop(awaited);
            GatherEvent::Delegated(delegated, reply)
        };
        self.events.push(request.boxed_local());
    }

    /// Records the queueing delays at the local shards, how many shards were skipped, and which
    /// have no part.
    pub(super) fn record_load(&self) {
        self.context.skipped.set(self.skipped.len());
        let now = host_now();
        let routing = &self.host.routing;
        let waits = routing.waits(&self.local_shards, &self.context.route, now);
        self.context.load.borrow_mut().waits.extend(waits);
        self.record_missing();
    }

    pub(super) fn handle(&mut self, event: GatherEvent<'a>) {
        if let GatherEvent::Race(shard, _) = event {
            self.awaited.retain(|awaited| *awaited != shard);
        }
        match event {
            GatherEvent::Race(_, RaceEnd::Answered(answer)) => {
                self.state.parts += 1;
                self.records.add(&answer.body);
                self.receipts.extend(answer.receipt);
            }
            GatherEvent::Race(shard, RaceEnd::NotRun(reason)) => {
                self.refusal = Some(reason);
                self.record_lost(shard, reason.into());
            }
            GatherEvent::Race(shard, RaceEnd::Failed(_)) => self.record_lost(shard, "failed"),
            GatherEvent::Race(shard, RaceEnd::Unknown) => self.record_lost(shard, "not-known"),
            GatherEvent::Delegated(delegated, reply) => self.handle_reply(&delegated, reply),
            GatherEvent::Remainder(held, Ok(reply @ GatherReply::Parts { .. })) => {
                self.add_parts(held.peer, &held.zone, reply);
            }
            GatherEvent::Remainder(held, _) => {
                self.state.lost += usize::from(held.remainder.parts);
            }
        }
    }

    fn record_lost(&mut self, shard: &'a str, why: &'static str) {
        self.state.lost += 1;
        self.lost.push((shard, why));
    }

    /// Records which of the local shards have no part, and why.
    fn record_missing(&self) {
        let mut request_log = self.context.request_log.borrow_mut();
        let late = self.awaited.iter().map(|shard| (*shard, "late"));
        let names = self
            .skipped
            .iter()
            .filter_map(|shard_index| self.rule.shards.get(usize::from(*shard_index)));
        let skipped = names.map(|shard| (shard.as_str(), "skipped"));
        for (shard, why) in self.lost.iter().copied().chain(late).chain(skipped) {
            request_log.add_missing(shard, why);
        }
    }

    fn add_parts(&mut self, peer: SocketAddr, zone: &Rc<str>, reply: GatherReply) {
        let GatherReply::Parts { receipts, records, missing, load, remainder } = reply else {
            return;
        };
        let mut query_load = self.context.load.borrow_mut();
        query_load.waits.extend(load.waits_us.iter().map(|us| Duration::from_micros(*us)));
        query_load.rejected += usize::from(load.rejected);
        query_load.max_missing = query_load.max_missing.saturating_sub(usize::from(load.skipped));
        drop(query_load);
        if !receipts.is_empty() {
            self.context.exposure.borrow_mut().answer();
        }
        self.state.parts += receipts.len();
        self.state.lost += usize::from(missing);
        self.records.add(&records);
        let receipts = receipts.iter().filter_map(|bytes| HeaderValue::from_bytes(bytes).ok());
        self.receipts.extend(receipts);
        match remainder {
            // The remainder is later subtracted from the missing parts, so it must not exceed
            // them.
            Some(remainder) if remainder.parts > missing => {
                edge_event!(
                    Level::Warn,
                    EdgeEvent::PeerMessageBroken,
                    "from={peer} error=\"remainder of {} parts, but {missing} missing\"",
                    remainder.parts
                );
            }
            Some(remainder) => {
                self.held.push(HeldShards { peer, zone: Rc::clone(zone), remainder });
            }
            None => {}
        }
    }

    /// Delegates shards for which nothing was sent to another peer, or else gathers them here.
    fn redelegate(&mut self, delegated: &DelegatedShards, next: Option<DelegatedShards>) {
        self.context.sent.set(self.context.sent.get() - delegated.shards.len());
        match next {
            Some(next) => self.delegate_anew(delegated, next),
            None => self.race_locally(&delegated.shards, usize::from(delegated.prior_attempts)),
        }
    }

    /// Handles a peer's reply. Shards for which the peer sent nothing are gathered again.
    /// Shards in an unknown state are lost, as another attempt could exceed the route's
    /// maximum.
    fn handle_reply(&mut self, delegated: &DelegatedShards, reply: Result<GatherReply, PeerError>) {
        match reply {
            Ok(reply @ GatherReply::Parts { .. }) => {
                self.add_parts(delegated.peer, &delegated.zone, reply);
            }
            Ok(GatherReply::OtherVersion | GatherReply::StaleKeys | GatherReply::Unreadable) => {
                self.redelegate(delegated, delegated.in_own_zone(self.host, &self.context.route));
            }
            // Other gatherers of the zone use the same targets, so that asking them would only
            // add load.
            Ok(GatherReply::Overloaded { after_us }) => {
                self.context.sent.set(self.context.sent.get() - delegated.shards.len());
                self.refusal = Some(RefusalReason::Overloaded);
                let after = Duration::from_micros(after_us);
                self.refused_for = self.refused_for.max(Some(after));
                self.state.lost += delegated.shards.len();
            }
            Ok(GatherReply::Stopping) | Err(PeerError::NotSent) => {
                self.redelegate(delegated, delegated.retry(self.host, &self.context.route));
            }
            Err(PeerError::Unresponsive) => {
                match delegated.after_unresponsive(self.host, &self.context.route) {
                    Some(next) => self.delegate_anew(delegated, next),
                    None => self
                        .race_locally(&delegated.shards, usize::from(delegated.prior_attempts) + 1),
                }
            }
            Err(PeerError::NoReply) => self.state.lost += delegated.shards.len(),
        }
    }
}
