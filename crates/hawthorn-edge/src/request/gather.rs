//! A query over many shards: one race a shard, merged.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use hawthorn_platform::caller;
use hawthorn_route::document::GatherRule;
use hawthorn_route::gather::GatherState;
use hawthorn_route::gather::GatherStep;
use hawthorn_route::merge::TopRecords;
use hawthorn_route::outcome::RefusalReason;
use http_body_util::Full;
use hyper::Response;
use hyper::header::HeaderValue;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::connection::message::GatherReply;
use crate::connection::message::Remainder;
use crate::process::clock::host_now;
use crate::process::host::RouteHost;
use crate::process::quarantine::Admission;
use crate::request::answer::CallerAnswer;
use crate::request::delegate;
use crate::request::order::RequestOrder;
use crate::request::parts::GatherPlan;
use crate::request::parts::GatherRun;
use crate::request::remainder;
use crate::request::remainder::HeldRemainder;
use crate::request::remainder::RemainderOrder;

/// How a peer's query ended here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerEnd {
    /// The peer has its reply.
    Replied,
    /// It no longer waits.
    Left,
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

/// Gathers one part from each shard and answers with their greatest records.
pub(crate) async fn gather(
    host: &Rc<RouteHost>,
    order: &Rc<RequestOrder>,
    rule: &GatherRule,
    version: u64,
    admission: Admission,
) -> CallerAnswer {
    let aim_at = order.leaves;
    let (shards, least_share) = (rule.shards.len(), rule.min_share);
    let plan = GatherPlan { version, aim_at, shards, least_share };
    let mut run = GatherRun::new(host, order, rule, plan);
    let spread = host.beliefs.spread(rule, &order.route, host_now());
    if !spread.can_answer(rule) {
        return CallerAnswer::refused(RefusalReason::NoTarget);
    }
    let mut tried = None;
    if matches!(admission, Admission::Trial { .. }) {
        tried = run.trial(&spread).await;
        if tried.is_none() {
            run.note_end();
            return failed(order, run.refusal);
        }
    }
    // A target has answered, so that waiting requests of the same subject may proceed.
    drop(admission);
    run.begin(&spread, tried);
    let policy = host.beliefs.policy.get();
    let goes_on = policy.gathering.beyond_aim;
    let mut due = None;
    loop {
        let now = host_now();
        if order.time_left(now).is_zero() {
            break;
        }
        let aim_left = aim_at.saturating_sub(now);
        match run.state.step(aim_left, &policy.gathering) {
            GatherStep::Answer => break,
            GatherStep::Fail if run.recall() => continue,
            GatherStep::Fail if goes_on && run.ask_remainders() => continue,
            GatherStep::Wait if goes_on && aim_left.is_zero() => {
                run.ask_remainders();
            }
            GatherStep::Wait => {}
            GatherStep::Fail => {
                run.note_end();
                return failed(order, run.refusal);
            }
        }
        let wait = if aim_left.is_zero() { order.time_left(now) } else { aim_left };
        due = None;
        tokio::select! {
            biased;
            Some(event) = run.events.next() => run.take(event),
            () = sleep(wait) => due = Some(now + wait),
        }
    }
    run.note_end();
    if !run.state.is_sufficient() {
        return out_of_time(order);
    }
    let mut answer = answer(host, run.records, &run.receipts, run.state);
    answer.due = due;
    answer
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
    mut reply: oneshot::Sender<GatherReply>,
) -> PeerEnd {
    let PeerPart { shards, spare, skip, aim_at } = *part;
    let wanted = shards.len();
    let needed = wanted.saturating_sub(spare);
    let least_share = needed as f64 / wanted.max(1) as f64;
    // A peer's query is gathered here whole, and never handed on.
    let plan = GatherPlan { version: 0, aim_at, shards: wanted, least_share };
    let mut run = GatherRun::new(host, order, rule, plan);
    run.race_most(shards, skip, |_| None);
    let policy = host.beliefs.policy.get();
    loop {
        let now = host_now();
        let aim_left = aim_at.saturating_sub(now);
        let left = order.time_left(now).saturating_sub(delegate::REPLY_MARGIN);
        let due = needed == 0 || !policy.gathering.beyond_aim;
        let dispensable = due && aim_left.is_zero();
        let step = run.state.step(aim_left, &policy.gathering);
        if step == GatherStep::Fail && run.recall() {
            continue;
        }
        if step != GatherStep::Wait || dispensable || left.is_zero() {
            break;
        }
        let wait = if aim_left.is_zero() { left } else { aim_left.min(left) };
        tokio::select! {
            biased;
            () = reply.closed() => return PeerEnd::Left,
            Some(event) = run.events.next() => run.take(event),
            () = sleep(wait) => {}
        }
    }
    let missing = run.state.shards - run.state.parts;
    let holds = policy.gathering.beyond_aim && run.awaited() > 0;
    let mut held = holds.then(|| host.remainders.hold());
    let promised = run.awaited();
    let parts = u16::try_from(promised).unwrap_or(u16::MAX);
    let remainder = held.as_ref().map(|held| Remainder { token: held.token, parts });
    run.note_end();
    if reply.send(run.reply(missing, remainder)).is_err() {
        return PeerEnd::Left;
    }
    let Some(held) = &mut held else { return PeerEnd::Replied };
    match asked(&mut run, held).await {
        Some(asked) => reply_remainder(order, run, promised, asked).await,
        None => PeerEnd::Replied,
    }
}

/// Waits until the front asks for the remainder; `None` when it did not.
async fn asked(run: &mut GatherRun<'_>, held: &mut HeldRemainder) -> Option<RemainderOrder> {
    let mut over = std::pin::pin!(sleep(remainder::HOLD_TIME));
    loop {
        tokio::select! {
            biased;
            asked = &mut held.asked => return asked.ok(),
            Some(event) = run.events.next() => run.take(event),
            () = over.as_mut() => return None,
        }
    }
}

/// Replies once as many more parts are in as the front needs, or no more can come.
async fn reply_remainder(
    order: &RequestOrder,
    mut run: GatherRun<'_>,
    promised: usize,
    asked: RemainderOrder,
) -> PeerEnd {
    let RemainderOrder { needed, mut reply } = asked;
    while run.receipts.len() < needed && run.awaited() > 0 {
        let left = order.time_left(host_now()).saturating_sub(delegate::REPLY_MARGIN);
        if left.is_zero() {
            break;
        }
        tokio::select! {
            biased;
            () = reply.closed() => return PeerEnd::Left,
            Some(event) = run.events.next() => run.take(event),
            () = sleep(left) => {}
        }
    }
    let missing = promised.saturating_sub(run.receipts.len());
    match reply.send(run.reply(missing, None)) {
        Ok(()) => PeerEnd::Replied,
        Err(_) => PeerEnd::Left,
    }
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
