//! A query over many shards while its parts come in.

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
use crate::request::delegate;
use crate::request::delegate::DelegatedShards;
use crate::request::delegate::HeldShards;
use crate::request::order::RequestOrder;
use crate::request::race::AttemptRace;
use crate::request::race::RaceEnd;

/// The maximum number of shards that are tried in sequence until a target receives a
/// request that is on trial.
const MAX_TRIAL_SHARDS: usize = 4;

/// What came of some shards.
pub(super) enum GatherEvent<'a> {
    /// One shard's attempts ended.
    Race(&'a str, RaceEnd),
    /// A peer's shards came, or did not.
    Delegated(DelegatedShards, Result<GatherReply, PeerError>),
    /// The remainder of a peer's shards came, or did not.
    Remainder(HeldShards, Result<GatherReply, PeerError>),
}

/// What a run is to gather.
#[derive(Clone, Copy, Debug)]
pub(super) struct GatherPlan {
    /// Version of the routes, for peers.
    pub(super) version: u64,
    /// When the parts lose worth to the caller.
    pub(super) aim_at: Duration,
    /// How many shards are wanted.
    pub(super) shards: usize,
    /// Share of them without which there is no answer.
    pub(super) least_share: f64,
}

/// A query while its parts come in.
pub(super) struct GatherRun<'a> {
    host: &'a Rc<RouteHost>,
    order: &'a Rc<RequestOrder>,
    rule: &'a GatherRule,
    version: u64,
    aim_at: Duration,
    pub(super) state: GatherState,
    pub(super) records: TopRecords,
    pub(super) receipts: Vec<HeaderValue>,
    /// Shards that were asked for directly.
    raced: Vec<&'a str>,
    /// Of these, such as have not ended.
    awaited: Vec<&'a str>,
    /// Of these, such as ended without a part, and why.
    lost: Vec<(&'a str, &'static str)>,
    /// Shards that were not asked for, and still may be.
    pub(super) skipped: Vec<u16>,
    /// Parts that peers may still have.
    held: Vec<HeldShards>,
    pub(super) refusal: Option<RefusalReason>,
    pub(super) events: FuturesUnordered<LocalBoxFuture<'a, GatherEvent<'a>>>,
}

impl<'a> GatherRun<'a> {
    pub(super) fn new(
        host: &'a Rc<RouteHost>,
        order: &'a Rc<RequestOrder>,
        rule: &'a GatherRule,
        plan: GatherPlan,
    ) -> Self {
        let GatherPlan { version, aim_at, shards, least_share } = plan;
        Self {
            host,
            order,
            rule,
            version,
            aim_at,
            state: GatherState { shards, parts: 0, lost: 0, min_share: least_share },
            records: TopRecords::new(rule.top),
            receipts: Vec::with_capacity(shards),
            raced: Vec::with_capacity(shards),
            awaited: Vec::with_capacity(shards),
            lost: Vec::new(),
            skipped: Vec::new(),
            held: Vec::new(),
            refusal: None,
            events: FuturesUnordered::new(),
        }
    }

    /// Asks for all shards, here or by peers, but for those whose parts cannot come
    /// in time: each part of the query may leave out its share of what the answer
    /// may do without.
    ///
    /// The shard in `tried` has already answered and is skipped.
    pub(super) fn begin(&mut self, spread: &scatter::ScatterPlan, tried: Option<u16>) {
        let mut delegated = delegate::hand_over(self.host, spread, &self.order.route);
        for part in &mut delegated {
            part.shards.retain(|place| Some(*place) != tried);
        }
        delegated.retain(|part| !part.shards.is_empty());
        let handed_over = |place: &u16| delegated.iter().any(|part| part.shards.contains(place));
        let all = 0..spread.sources.len() as u16;
        let here: Vec<u16> =
            all.filter(|place| Some(*place) != tried && !handed_over(place)).collect();
        let spare = spread.max_missing_left(self.state.max_missing());
        let there = delegated.iter().map(|part| part.shards.len());
        let sizes: Vec<usize> = std::iter::once(here.len()).chain(there).collect();
        let mut shares = skip::apportion(spare, &sizes).into_iter();
        self.race_most(&here, shares.next().unwrap_or(0), |place| spread.target(place));
        let mut load = self.order.load.borrow_mut();
        load.shards = self.state.shards;
        load.max_missing = spare - self.skipped.len();
        drop(load);
        for (part, skip) in delegated.into_iter().zip(shares) {
            self.delegate(DelegatedShards { skip, ..part });
        }
    }

    /// Sends the request to one shard before the fan-out; `None` if there was no answer.
    ///
    /// Load: a request that is suspected of crashing targets. A trial reaches one
    /// target at a time, where a fan-out would crash one of each shard.
    pub(super) async fn trial(&mut self, spread: &scatter::ScatterPlan) -> Option<u16> {
        let placed = spread.sources.iter().enumerate();
        let placed = placed.filter(|(_, way)| !matches!(way, ShardSource::Unavailable));
        let mut places: Vec<u16> = placed.map(|(place, _)| place as u16).collect();
        places.shuffle(&mut rand::rng());
        for place in places.into_iter().take(MAX_TRIAL_SHARDS) {
            let shard = self.rule.shards.get(usize::from(place))?;
            let race = AttemptRace::new(self.host, self.order, shard);
            let race = race.toward(spread.target(place)).run();
            let left = self.order.time_left(host_now());
            self.raced.push(shard);
            match timeout(left, race).await {
                Ok(RaceEnd::Answered(answer)) => {
                    self.take(GatherEvent::Race(shard, RaceEnd::Answered(answer)));
                    return Some(place);
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

    /// Asks for a shard here. Peers may have made `spent` attempts at it; where
    /// these are as many as operators allow, it is lost to this try.
    fn race(&mut self, place: u16, spent: usize) {
        let Some(shard) = self.rule.shards.get(usize::from(place)) else { return };
        self.start(shard, AttemptRace::new(self.host, self.order, shard).after(spent));
    }

    /// Asks for a shard here whose best target is known already.
    fn race_toward(&mut self, place: u16, best: Option<TargetKey>) {
        let Some(shard) = self.rule.shards.get(usize::from(place)) else { return };
        self.start(shard, AttemptRace::new(self.host, self.order, shard).toward(best));
    }

    fn start(&mut self, shard: &'a str, race: AttemptRace<'a>) {
        self.raced.push(shard);
        self.awaited.push(shard);
        self.events.push(async move { GatherEvent::Race(shard, race.run().await) }.boxed_local());
    }

    /// Asks for some shards here, but for those whose parts cannot come in time.
    pub(super) fn race_most(
        &mut self,
        shards: &[u16],
        skip: usize,
        target: impl Fn(u16) -> Option<TargetKey>,
    ) {
        let time = self.aim_at.saturating_sub(host_now());
        let route = &self.order.route;
        self.skipped = self.host.beliefs.skip(self.rule, shards, skip, route, time);
        self.state.lost += self.skipped.len();
        for shard in shards {
            if !self.skipped.contains(shard) {
                self.race_toward(*shard, target(*shard));
            }
        }
    }

    /// Asks for the shards that were left out after all, as others were lost;
    /// false when there are none.
    pub(super) fn recall(&mut self) -> bool {
        let skipped = std::mem::take(&mut self.skipped);
        self.state.lost -= skipped.len();
        skipped.iter().for_each(|shard| self.race(*shard, 0));
        !skipped.is_empty()
    }

    /// Asks peers for the remainder of what they gather, as the parts that are in are
    /// not enough; false when there is none.
    pub(super) fn ask_remainders(&mut self) -> bool {
        let held = std::mem::take(&mut self.held);
        let asked = !held.is_empty();
        let needed = self.state.shards - self.state.max_missing() - self.state.parts;
        let (host, order) = (self.host, self.order);
        for part in held {
            let most = usize::from(part.remainder.parts);
            self.state.lost -= most;
            let asking = async move {
                let reply = delegate::ask_remainder(host, order, &part, needed.min(most)).await;
                GatherEvent::Remainder(part, reply)
            };
            self.events.push(asking.boxed_local());
        }
        asked
    }

    /// Parts that may still come.
    pub(super) fn awaited(&self) -> usize {
        self.awaited.len()
    }

    /// Gives away the parts that are in, for a reply.
    pub(super) fn reply(&mut self, missing: usize, remainder: Option<Remainder>) -> GatherReply {
        let receipts = self.receipts.drain(..);
        let receipts = receipts.map(|receipt| receipt.as_bytes().to_vec()).collect();
        let records = std::mem::replace(&mut self.records, TopRecords::new(self.rule.top));
        let met = self.order.load.borrow();
        let waits_us = met.waits.iter().map(|wait| wait.as_micros() as u64).collect();
        let turned_away = u16::try_from(met.rejected).unwrap_or(u16::MAX);
        let skipped = u16::try_from(self.skipped.len()).unwrap_or(u16::MAX);
        let load = PeerLoad { waits_us, turned_away, skipped };
        let missing = u16::try_from(missing).unwrap_or(u16::MAX);
        GatherReply::Parts { receipts, records: records.into_body(), missing, load, remainder }
    }

    /// Asks for shards that no peer gathers, if this host can bear it.
    fn race_all(&mut self, shards: &[u16], spent: usize) {
        if delegate::affords(self.host, shards.len(), self.order.route.target_latency) {
            shards.iter().for_each(|shard| self.race(*shard, spent));
        } else {
            self.refusal = Some(RefusalReason::Unreachable);
            self.state.lost += shards.len();
        }
    }

    fn delegate(&self, delegated: DelegatedShards) {
        let (host, order, version) = (self.host, self.order, self.version);
        let aim_left = self.aim_at.saturating_sub(host_now());
        // The peer may send before its answer comes.
        order.sent.set(order.sent.get() + delegated.shards.len());
        let spare = self.state.max_missing();
        let asked = async move {
            let reply = delegate::ask(host, order, version, &delegated, spare, aim_left).await;
            GatherEvent::Delegated(delegated, reply)
        };
        self.events.push(asked.boxed_local());
    }

    /// Notes how long work waits at the shards that were asked for directly, how
    /// many were left out, and which have no part.
    pub(super) fn note_end(&self) {
        self.order.skipped.set(self.skipped.len());
        let now = host_now();
        let beliefs = &self.host.beliefs;
        let waits = beliefs.waits(&self.raced, &self.order.route, now);
        self.order.load.borrow_mut().waits.extend(waits);
        self.note_missing();
    }

    pub(super) fn take(&mut self, event: GatherEvent<'a>) {
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
                self.lose(shard, reason.into());
            }
            GatherEvent::Race(shard, RaceEnd::Failed(_)) => self.lose(shard, "failed"),
            GatherEvent::Race(shard, RaceEnd::Unknown) => self.lose(shard, "not-known"),
            GatherEvent::Delegated(delegated, reply) => self.take_reply(&delegated, reply),
            GatherEvent::Remainder(held, Ok(reply @ GatherReply::Parts { .. })) => {
                self.take_parts(held.peer, &held.zone, reply);
            }
            GatherEvent::Remainder(held, _) => {
                self.state.lost += usize::from(held.remainder.parts);
            }
        }
    }

    fn lose(&mut self, shard: &'a str, why: &'static str) {
        self.state.lost += 1;
        self.lost.push((shard, why));
    }

    /// Notes which shards of those gathered here have no part, and why.
    fn note_missing(&self) {
        let mut story = self.order.story.borrow_mut();
        let late = self.awaited.iter().map(|shard| (*shard, "late"));
        let names =
            self.skipped.iter().filter_map(|place| self.rule.shards.get(usize::from(*place)));
        let skipped = names.map(|shard| (shard.as_str(), "skipped"));
        for (shard, why) in self.lost.iter().copied().chain(late).chain(skipped) {
            story.missing(shard, why);
        }
    }

    fn take_parts(&mut self, peer: SocketAddr, zone: &Rc<str>, reply: GatherReply) {
        let GatherReply::Parts { receipts, records, missing, load, remainder } = reply else {
            return;
        };
        let mut met = self.order.load.borrow_mut();
        met.waits.extend(load.waits_us.iter().map(|us| Duration::from_micros(*us)));
        met.rejected += usize::from(load.turned_away);
        met.max_missing = met.max_missing.saturating_sub(usize::from(load.skipped));
        drop(met);
        if !receipts.is_empty() {
            self.order.exposure.borrow_mut().answer();
        }
        self.state.parts += receipts.len();
        self.state.lost += usize::from(missing);
        self.records.add(&records);
        let signed = receipts.iter().filter_map(|bytes| HeaderValue::from_bytes(bytes).ok());
        self.receipts.extend(signed);
        match remainder {
            // What is asked for again is taken off what it says to lack.
            Some(remainder) if remainder.parts > missing => {
                edge_event!(
                    Level::Warn,
                    EdgeEvent::PeerMessageBroken,
                    "from={peer} error=\"a remainder of {} parts of {missing}\"",
                    remainder.parts
                );
            }
            Some(remainder) => {
                self.held.push(HeldShards { peer, zone: Rc::clone(zone), remainder });
            }
            None => {}
        }
    }

    /// Has shards that were not asked for gathered by another peer, or else here.
    fn gather_again(&mut self, delegated: &DelegatedShards, again: Option<DelegatedShards>) {
        self.order.sent.set(self.order.sent.get() - delegated.shards.len());
        match again {
            Some(again) => self.delegate(again),
            None => self.race_all(&delegated.shards, usize::from(delegated.spent)),
        }
    }

    /// Takes in a peer's reply. Shards that the peer never sent are gathered
    /// here; those of which nothing is known are lost to this try, as a third
    /// attempt at them would be more than operators allow.
    fn take_reply(&mut self, delegated: &DelegatedShards, reply: Result<GatherReply, PeerError>) {
        match reply {
            Ok(reply @ GatherReply::Parts { .. }) => {
                self.take_parts(delegated.peer, &delegated.zone, reply);
            }
            Ok(GatherReply::OtherVersion | GatherReply::Unreadable) => {
                self.gather_again(delegated, delegated.elsewhere(self.host, &self.order.route));
            }
            Ok(GatherReply::Stopping) | Err(PeerError::NotSent) => {
                self.gather_again(delegated, delegated.again(self.host, &self.order.route));
            }
            Err(PeerError::Silent) => match delegated.after_silence(self.host, &self.order.route) {
                Some(again) => self.delegate(again),
                None => self.race_all(&delegated.shards, usize::from(delegated.spent) + 1),
            },
            Err(PeerError::Lost) => self.state.lost += delegated.shards.len(),
        }
    }
}
