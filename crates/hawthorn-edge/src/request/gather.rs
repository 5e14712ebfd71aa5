//! A query over many shards: one race a shard, merged.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::StreamExt;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesUnordered;
use hawthorn_platform::caller;
use hawthorn_route::document::GatherRule;
use hawthorn_route::gather::GatherState;
use hawthorn_route::gather::GatherStep;
use hawthorn_route::merge::TopRecords;
use hawthorn_route::outcome::RefusalReason;
use hawthorn_route::registry::TargetKey;
use hawthorn_route::skip;
use hawthorn_route::spread;
use http_body_util::Full;
use hyper::Response;
use hyper::header::HeaderValue;
use tokio::time::sleep;

use crate::connection::message::GatherReply;
use crate::connection::message::PeerLoad;
use crate::connection::peer::PeerError;
use crate::process::clock::host_now;
use crate::process::host::RouteHost;
use crate::request::answer::CallerAnswer;
use crate::request::delegate;
use crate::request::delegate::DelegatedShards;
use crate::request::order::RequestOrder;
use crate::request::race::AttemptRace;
use crate::request::race::RaceEnd;

/// An answer leaves so long before the aim: twice the way to the caller, and
/// the time that this host needs to merge and write under load.
const AIM_MARGIN: Duration = Duration::from_millis(8);

/// What came of some shards.
enum GatherEvent<'a> {
    /// One shard's attempts ended.
    Race(&'a str, RaceEnd),
    /// A peer's shards came, or did not.
    Delegated(DelegatedShards, Result<GatherReply, PeerError>),
}

/// What a run is to gather.
#[derive(Clone, Copy, Debug)]
struct GatherPlan {
    /// Version of the routes, for peers.
    version: u64,
    /// When the parts lose worth to the caller.
    aim_at: Duration,
    /// How many shards are wanted.
    shards: usize,
    /// Share of them without which there is no answer.
    least_share: f64,
}

/// The part of a peer's query that is gathered here.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerPart<'a> {
    /// By their place in the route's list.
    pub(crate) shards: &'a [u16],
    /// Shards that the whole answer may do without.
    pub(crate) spare: usize,
    /// And how many of these may be left out if they cannot come in time.
    pub(crate) skip: usize,
    /// When the parts lose worth to the caller.
    pub(crate) aim_at: Duration,
}

/// A query while its parts come in.
struct GatherRun<'a> {
    host: &'a Rc<RouteHost>,
    order: &'a Rc<RequestOrder>,
    rule: &'a GatherRule,
    version: u64,
    aim_at: Duration,
    state: GatherState,
    records: TopRecords,
    receipts: Vec<HeaderValue>,
    /// Shards that were asked for directly.
    raced: Vec<&'a str>,
    /// Of these, such as have not ended.
    awaited: Vec<&'a str>,
    /// Of these, such as ended without a part, and why.
    lost: Vec<(&'a str, &'static str)>,
    /// Shards that were not asked for, and still may be.
    skipped: Vec<u16>,
    refusal: Option<RefusalReason>,
    events: FuturesUnordered<LocalBoxFuture<'a, GatherEvent<'a>>>,
}

impl<'a> GatherRun<'a> {
    fn new(
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
            state: GatherState { shards, parts: 0, lost: 0, least_share },
            records: TopRecords::new(rule.top),
            receipts: Vec::with_capacity(shards),
            raced: Vec::with_capacity(shards),
            awaited: Vec::with_capacity(shards),
            lost: Vec::new(),
            skipped: Vec::new(),
            refusal: None,
            events: FuturesUnordered::new(),
        }
    }

    /// Asks for all shards, here or by peers, but for those whose parts cannot come
    /// in time: each part of the query may leave out its share of what the answer
    /// may do without.
    fn begin(&mut self, spread: &spread::Outcome) {
        let delegated = delegate::hand_over(self.host, spread);
        let handed_over = |place: &u16| delegated.iter().any(|part| part.shards.contains(place));
        let all = 0..spread.ways.len() as u16;
        let here: Vec<u16> = all.filter(|place| !handed_over(place)).collect();
        let spare = self.state.spare();
        let there = delegated.iter().map(|part| part.shards.len());
        let sizes: Vec<usize> = std::iter::once(here.len()).chain(there).collect();
        let mut shares = skip::apportion(spare, &sizes).into_iter();
        self.race_most(&here, shares.next().unwrap_or(0), |place| spread.target(place));
        let mut load = self.order.load.borrow_mut();
        load.shards = self.state.shards;
        load.spare = spare - self.skipped.len();
        drop(load);
        for (part, skip) in delegated.into_iter().zip(shares) {
            self.delegate(DelegatedShards { skip, ..part });
        }
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
    fn race_most(
        &mut self,
        shards: &[u16],
        skip: usize,
        target: impl Fn(u16) -> Option<TargetKey>,
    ) {
        let time = self.aim_at.saturating_sub(host_now());
        let route = &self.order.route;
        self.skipped = self.host.beliefs.skip(self.rule, shards, skip, route, time);
        self.state.lost += self.skipped.len();
        self.order.skipped.set(self.skipped.len());
        for shard in shards {
            if !self.skipped.contains(shard) {
                self.race_toward(*shard, target(*shard));
            }
        }
    }

    /// Asks for the shards that were left out after all, as others were lost;
    /// false when there are none.
    fn recall(&mut self) -> bool {
        let skipped = std::mem::take(&mut self.skipped);
        self.state.lost -= skipped.len();
        self.order.skipped.set(self.order.skipped.get() - skipped.len());
        skipped.iter().for_each(|shard| self.race(*shard, 0));
        !skipped.is_empty()
    }

    /// Asks for shards that no peer gathers, if this host can bear it.
    fn race_all(&mut self, shards: &[u16], spent: usize) {
        if delegate::affords(self.host, shards.len(), self.order.route.aim) {
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
        let spare = self.state.spare();
        let asked = async move {
            let reply = delegate::ask(host, order, version, &delegated, spare, aim_left).await;
            GatherEvent::Delegated(delegated, reply)
        };
        self.events.push(asked.boxed_local());
    }

    /// Notes how long work waits at the shards that were asked for directly, and
    /// which of them have no part.
    fn note_end(&self) {
        let now = host_now();
        let beliefs = &self.host.beliefs;
        let usual = beliefs.usual(&self.order.route);
        let waits = self.raced.iter().filter_map(|shard| beliefs.wait(shard, usual, now));
        self.order.load.borrow_mut().waits.extend(waits);
        self.note_missing();
    }

    fn take(&mut self, event: GatherEvent<'a>) {
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

    /// Takes in a peer's reply. Shards that the peer never sent are gathered
    /// here; those of which nothing is known are lost to this try, as a third
    /// attempt at them would be more than operators allow.
    fn take_reply(&mut self, delegated: &DelegatedShards, reply: Result<GatherReply, PeerError>) {
        let spent = usize::from(delegated.spent);
        match reply {
            Ok(GatherReply::Parts { receipts, records, missing, load }) => {
                let mut met = self.order.load.borrow_mut();
                met.waits.extend(load.waits_us.iter().map(|us| Duration::from_micros(*us)));
                met.turned_away += usize::from(load.turned_away);
                met.spare = met.spare.saturating_sub(usize::from(load.skipped));
                drop(met);
                self.state.parts += receipts.len();
                self.state.lost += usize::from(missing);
                self.records.add(&records);
                let signed =
                    receipts.iter().filter_map(|bytes| HeaderValue::from_bytes(bytes).ok());
                self.receipts.extend(signed);
            }
            Ok(GatherReply::OtherVersion | GatherReply::Stopping) | Err(PeerError::NotSent) => {
                self.order.sent.set(self.order.sent.get() - delegated.shards.len());
                match delegated.again(self.host) {
                    Some(again) => self.delegate(again),
                    None => self.race_all(&delegated.shards, spent),
                }
            }
            Err(PeerError::Silent) => {
                match delegated.after_silence(self.host, self.order.route.max_attempts) {
                    Some(again) => self.delegate(again),
                    None => self.race_all(&delegated.shards, spent + 1),
                }
            }
            Err(PeerError::Lost) => self.state.lost += delegated.shards.len(),
        }
    }
}

/// Gathers one part from each shard and answers with their greatest records.
pub(crate) async fn gather(
    host: &Rc<RouteHost>,
    order: &Rc<RequestOrder>,
    rule: &GatherRule,
    version: u64,
) -> CallerAnswer {
    let aim_at = order.started + order.route.aim.saturating_sub(AIM_MARGIN);
    let (shards, least_share) = (rule.shards.len(), rule.least_share);
    let plan = GatherPlan { version, aim_at, shards, least_share };
    let mut run = GatherRun::new(host, order, rule, plan);
    let spread = host.beliefs.spread(rule, &order.route, host_now());
    if !spread.can_answer(rule) {
        return CallerAnswer::refused(RefusalReason::NoTarget);
    }
    run.begin(&spread);
    loop {
        let now = host_now();
        if order.time_left(now).is_zero() {
            break;
        }
        let aim_left = aim_at.saturating_sub(now);
        match run.state.step(aim_left) {
            GatherStep::Wait => {}
            GatherStep::Answer => break,
            GatherStep::Fail if run.recall() => continue,
            GatherStep::Fail => {
                run.note_end();
                return failed(order, run.refusal);
            }
        }
        let wait = if aim_left.is_zero() { order.time_left(now) } else { aim_left };
        tokio::select! {
            biased;
            Some(event) = run.events.next() => run.take(event),
            () = sleep(wait) => {}
        }
    }
    run.note_end();
    if !run.state.enough() {
        return out_of_time(order);
    }
    answer(host, run.records, &run.receipts, run.state)
}

/// Gathers some shards of a peer's query: until its aim, and beyond it as long as
/// more are missing than the peer's answer may do without.
///
/// Load: queues stand at many shards, and hardly any part comes by the aim. What
/// is given up then is asked for again by the caller, and the queues grow by as
/// much; what is waited for is late, but served.
pub(crate) async fn part_of(
    host: &Rc<RouteHost>,
    order: &Rc<RequestOrder>,
    rule: &GatherRule,
    part: &PeerPart<'_>,
) -> GatherReply {
    let PeerPart { shards, spare, skip, aim_at } = *part;
    let wanted = shards.len();
    let needed = wanted.saturating_sub(spare);
    let least_share = needed as f64 / wanted.max(1) as f64;
    // A peer's query is gathered here whole, and never handed on.
    let plan = GatherPlan { version: 0, aim_at, shards: wanted, least_share };
    let mut run = GatherRun::new(host, order, rule, plan);
    run.race_most(shards, skip, |_| None);
    loop {
        let now = host_now();
        let aim_left = aim_at.saturating_sub(now);
        let left = order.time_left(now).saturating_sub(delegate::REPLY_MARGIN);
        let dispensable = needed == 0 && aim_left.is_zero();
        let step = run.state.step(aim_left);
        if step == GatherStep::Fail && run.recall() {
            continue;
        }
        if step != GatherStep::Wait || dispensable || left.is_zero() {
            break;
        }
        let wait = if aim_left.is_zero() { left } else { aim_left.min(left) };
        tokio::select! {
            biased;
            Some(event) = run.events.next() => run.take(event),
            () = sleep(wait) => {}
        }
    }
    let missing = u16::try_from(run.state.shards - run.state.parts).unwrap_or(u16::MAX);
    let receipts = run.receipts.iter().map(|receipt| receipt.as_bytes().to_vec()).collect();
    run.note_end();
    let met = order.load.borrow();
    let waits_us = met.waits.iter().map(|wait| wait.as_micros() as u64).collect();
    let turned_away = u16::try_from(met.turned_away).unwrap_or(u16::MAX);
    let skipped = u16::try_from(run.skipped.len()).unwrap_or(u16::MAX);
    let load = PeerLoad { waits_us, turned_away, skipped };
    GatherReply::Parts { receipts, records: run.records.into_body(), missing, load }
}

fn answer(
    host: &RouteHost,
    records: TopRecords,
    receipts: &[HeaderValue],
    state: GatherState,
) -> CallerAnswer {
    let missing = state.shards - state.parts;
    if missing > 0 {
        host.metrics.count_missing(missing);
    }
    let mut response = Response::new(Full::new(Bytes::from(records.into_body())));
    caller::merged(response.headers_mut(), receipts, missing);
    CallerAnswer::merged(response, state.parts, state.shards)
}

/// Too few parts can come. Nothing may have run only if no attempt is out.
fn failed(order: &RequestOrder, refusal: Option<RefusalReason>) -> CallerAnswer {
    match refusal {
        Some(reason) if order.sent.get() == 0 => CallerAnswer::refused(reason),
        _ => CallerAnswer::not_known(),
    }
}

fn out_of_time(order: &RequestOrder) -> CallerAnswer {
    if order.sent.get() == 0 {
        CallerAnswer::refused(RefusalReason::TooLate)
    } else {
        CallerAnswer::out_of_time()
    }
}
