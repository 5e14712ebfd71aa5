//! Scatter-gather queries: one race for each shard, with merged results.

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
use crate::request::context::RequestContext;
use crate::request::delegate;
use crate::request::dispatch;
use crate::request::dispatch::NeededServices;
use crate::request::parts::GatherPlan;
use crate::request::parts::GatherRun;
use crate::request::remainder;
use crate::request::remainder::HeldRemainder;
use crate::request::remainder::RemainderRequest;
use crate::request::stopping;

/// How the gathering for a peer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerEnd {
    /// The reply was sent.
    Replied,
    /// The peer no longer waits.
    Left,
}

/// The shards of a peer's query that this host gathers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerShards<'a> {
    /// Indices into the route's list of shards.
    pub(crate) shards: &'a [u16],
    /// Number of shards that may be missing from the complete answer.
    pub(crate) max_missing: usize,
    /// Maximum number of `shards` that may be skipped if their parts cannot arrive in time.
    pub(crate) max_skipped: usize,
    /// The query's soft deadline.
    pub(crate) soft_deadline: Duration,
}

/// Gathers one part from each shard and answers with the top records.
pub(crate) async fn gather(
    host: &Rc<RouteHost>,
    context: &Rc<RequestContext>,
    rule: &GatherRule,
    version: u64,
    admission: Admission,
) -> CallerAnswer {
    let soft_deadline = context.send_deadline;
    let (shards, min_share) = (rule.shards.len(), rule.min_share);
    let plan = GatherPlan { version, soft_deadline, shards, min_share };
    let mut run = GatherRun::new(host, context, rule, plan);
    let scatter_plan = host.routing.scatter_plan(rule, &context.route, host_now());
    if !scatter_plan.can_answer(rule) {
        return CallerAnswer::refused(RefusalReason::NoTarget);
    }
    let mut tried = None;
    if matches!(admission, Admission::Trial { .. }) {
        tried = run.trial(&scatter_plan).await;
        if tried.is_none() {
            run.record_load();
            return failed(context, run.refusal, run.refused_for);
        }
    }
    // A target has answered, so that waiting requests of the same subject may proceed.
    drop(admission);
    run.begin(&scatter_plan, tried);
    let policy = host.routing.policy.get();
    let beyond_target = policy.gathering.beyond_aim;
    let mut due = None;
    loop {
        let now = host_now();
        if context.time_left(now).is_zero() {
            break;
        }
        let soft_time_left = soft_deadline.saturating_sub(now);
        match run.state.step(soft_time_left, &policy.gathering) {
            GatherStep::Answer => break,
            GatherStep::Fail if run.race_skipped() => continue,
            GatherStep::Fail if beyond_target && run.request_remainders() => continue,
            GatherStep::Wait if beyond_target && soft_time_left.is_zero() => {
                run.request_remainders();
            }
            GatherStep::Wait => {}
            GatherStep::Fail => {
                run.record_load();
                return failed(context, run.refusal, run.refused_for);
            }
        }
        let wait = if soft_time_left.is_zero() { context.time_left(now) } else { soft_time_left };
        due = None;
        tokio::select! {
            biased;
            Some(event) = run.events.next() => run.handle(event),
            () = sleep(wait) => due = Some(now + wait),
        }
    }
    run.record_load();
    if !run.state.is_sufficient() {
        return out_of_time(context);
    }
    let mut answer = answer(host, run.records, &run.receipts, run.state);
    answer.due = due;
    answer
}

/// Gathers some shards of a peer's query until its soft deadline, and longer if more parts are
/// missing than may be missing from the peer's answer.
///
/// Handles overload of many shards, when few parts arrive by the soft deadline. Queries given up
/// then would be repeated by callers and lengthen the queues; waiting serves them late instead.
pub(crate) async fn gather_for_peer(
    host: &Rc<RouteHost>,
    context: &Rc<RequestContext>,
    rule: &GatherRule,
    peer_shards: &PeerShards<'_>,
    mut reply: oneshot::Sender<GatherReply>,
) -> PeerEnd {
    let PeerShards { shards, max_missing, max_skipped, soft_deadline } = *peer_shards;
    let requested = shards.len();
    let needed = requested.saturating_sub(max_missing);
    let min_share = needed as f64 / requested.max(1) as f64;
    if dispatch::is_on(host) {
        let names = shards.iter().filter_map(|index| rule.shards.get(usize::from(*index)));
        let needed = NeededServices {
            services: names.map(|shard| shard.as_str().into()).collect(),
            max_missing: max_skipped,
            windowed: false,
        };
        let turn = tokio::select! {
            biased;
            turn = dispatch::wait_turn(host, context, needed) => turn,
            () = reply.closed() => return PeerEnd::Left,
            () = stopping::sending_ended(host, &context.route) => {
                return match reply.send(GatherReply::Stopping) {
                    Ok(()) => PeerEnd::Replied,
                    Err(_) => PeerEnd::Left,
                };
            }
        };
        if let Err(rejection) = turn {
            let after_us = rejection.after.as_micros() as u64;
            return match reply.send(GatherReply::Overloaded { after_us }) {
                Ok(()) => PeerEnd::Replied,
                Err(_) => PeerEnd::Left,
            };
        }
    }
    // Shards of a peer's query are never delegated again.
    let plan = GatherPlan { version: 0, soft_deadline, shards: requested, min_share };
    let mut run = GatherRun::new(host, context, rule, plan);
    run.race_with_skips(shards, max_skipped, |_| None);
    let policy = host.routing.policy.get();
    loop {
        let now = host_now();
        let soft_time_left = soft_deadline.saturating_sub(now);
        let left = context.time_left(now).saturating_sub(delegate::REPLY_MARGIN);
        let ends_at_soft_deadline = needed == 0 || !policy.gathering.beyond_aim;
        let has_ended = ends_at_soft_deadline && soft_time_left.is_zero();
        let step = run.state.step(soft_time_left, &policy.gathering);
        if step == GatherStep::Fail && run.race_skipped() {
            continue;
        }
        // The other attempts may all be refused for the key as well, and nothing be sent.
        let may_be_unsent = step == GatherStep::Fail && run.is_key_refused() && run.awaited() > 0;
        if (step != GatherStep::Wait && !may_be_unsent) || has_ended || left.is_zero() {
            break;
        }
        let wait = if soft_time_left.is_zero() { left } else { soft_time_left.min(left) };
        tokio::select! {
            biased;
            () = reply.closed() => return PeerEnd::Left,
            Some(event) = run.events.next() => run.handle(event),
            () = sleep(wait) => {}
        }
    }
    if run.is_key_refused() && run.awaited() == 0 && context.sent.get() == 0 {
        let sent = reply.send(GatherReply::StaleKeys);
        return if sent.is_ok() { PeerEnd::Replied } else { PeerEnd::Left };
    }
    let missing = run.state.shards - run.state.parts;
    let holds_remainder = policy.gathering.beyond_aim && run.awaited() > 0;
    let mut held = holds_remainder.then(|| host.remainders.hold());
    let outstanding = run.awaited();
    let parts = u16::try_from(outstanding).unwrap_or(u16::MAX);
    let remainder = held.as_ref().map(|held| Remainder { token: held.token, parts });
    run.record_load();
    if reply.send(run.reply(missing, remainder)).is_err() {
        return PeerEnd::Left;
    }
    let Some(held) = &mut held else { return PeerEnd::Replied };
    match wait_for_request(&mut run, held).await {
        Some(requested) => reply_remainder(context, run, outstanding, requested).await,
        None => PeerEnd::Replied,
    }
}

/// Waits until the peer requests the remainder; `None` if it does not.
async fn wait_for_request(
    run: &mut GatherRun<'_>,
    held: &mut HeldRemainder,
) -> Option<RemainderRequest> {
    let mut hold_timeout = std::pin::pin!(sleep(remainder::HOLD_TIME));
    loop {
        tokio::select! {
            biased;
            requested = &mut held.requested => return requested.ok(),
            Some(event) = run.events.next() => run.handle(event),
            () = hold_timeout.as_mut() => return None,
        }
    }
}

/// Replies when as many more parts have arrived as the peer needs, or no more can arrive.
async fn reply_remainder(
    context: &RequestContext,
    mut run: GatherRun<'_>,
    outstanding: usize,
    requested: RemainderRequest,
) -> PeerEnd {
    let RemainderRequest { needed, mut reply } = requested;
    while run.receipts.len() < needed && run.awaited() > 0 {
        let left = context.time_left(host_now()).saturating_sub(delegate::REPLY_MARGIN);
        if left.is_zero() {
            break;
        }
        tokio::select! {
            biased;
            () = reply.closed() => return PeerEnd::Left,
            Some(event) = run.events.next() => run.handle(event),
            () = sleep(left) => {}
        }
    }
    let missing = outstanding.saturating_sub(run.receipts.len());
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
    caller::set_part_headers(response.headers_mut(), receipts, missing);
    CallerAnswer::merged(response, state.parts, state.shards)
}

/// The answer if too few parts can arrive: a refusal only if no attempt may have run.
fn failed(
    context: &RequestContext,
    refusal: Option<RefusalReason>,
    refused_for: Option<Duration>,
) -> CallerAnswer {
    match refusal {
        Some(RefusalReason::Overloaded) if context.sent.get() == 0 => {
            let refused = CallerAnswer::refused(RefusalReason::Overloaded);
            CallerAnswer { refused_for, ..refused }
        }
        Some(reason) if context.sent.get() == 0 => CallerAnswer::refused(reason),
        _ => CallerAnswer::not_known(),
    }
}

fn out_of_time(context: &RequestContext) -> CallerAnswer {
    if context.sent.get() == 0 {
        CallerAnswer::refused(RefusalReason::TooLate)
    } else {
        CallerAnswer::out_of_time()
    }
}
