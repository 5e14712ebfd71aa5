//! A query over many shards: one race a shard, merged.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hawthorn_platform::caller;
use hawthorn_route::document::GatherRule;
use hawthorn_route::gather::GatherState;
use hawthorn_route::gather::GatherStep;
use hawthorn_route::merge::TopRecords;
use hawthorn_route::outcome::RefusalReason;
use http_body_util::Full;
use hyper::Response;
use hyper::header::HeaderValue;
use tokio::time::sleep;

use crate::process::clock::host_now;
use crate::process::host::RouteHost;
use crate::request::answer::CallerAnswer;
use crate::request::order::RequestOrder;
use crate::request::race::AttemptRace;
use crate::request::race::RaceEnd;

/// An answer leaves so long before the aim: twice the way to the caller, and
/// the time that this host needs to merge and write under load.
const AIM_MARGIN: Duration = Duration::from_millis(8);

/// Gathers one part from each shard and answers with their greatest records.
pub(crate) async fn gather(
    host: &Rc<RouteHost>,
    order: &Rc<RequestOrder>,
    rule: &GatherRule,
) -> CallerAnswer {
    let mut races: FuturesUnordered<_> =
        rule.shards.iter().map(|shard| AttemptRace::new(host, order, shard).run()).collect();
    let mut state =
        GatherState { shards: rule.shards.len(), parts: 0, lost: 0, least_share: rule.least_share };
    let mut records = TopRecords::new(rule.top);
    let mut receipts = Vec::with_capacity(state.shards);
    let mut refusal = None;
    let aim_at = order.started + order.route.aim.saturating_sub(AIM_MARGIN);
    loop {
        let now = host_now();
        if order.time_left(now).is_zero() {
            break;
        }
        let aim_left = aim_at.saturating_sub(now);
        match state.step(aim_left) {
            GatherStep::Wait => {}
            GatherStep::Answer => break,
            GatherStep::Fail => return failed(host, order, refusal),
        }
        let wait = if aim_left.is_zero() { order.time_left(now) } else { aim_left };
        tokio::select! {
            biased;
            Some(end) = races.next() => match end {
                RaceEnd::Answered(answer) => {
                    state.parts += 1;
                    records.add(&answer.body);
                    receipts.extend(answer.receipt);
                }
                RaceEnd::NotRun(reason) => {
                    refusal = Some(reason);
                    state.lost += 1;
                }
                RaceEnd::Failed(_) | RaceEnd::Unknown => state.lost += 1,
            },
            () = sleep(wait) => {}
        }
    }
    if !state.enough() {
        return out_of_time(order);
    }
    answer(host, records, &receipts, state)
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
fn failed(_host: &RouteHost, order: &RequestOrder, refusal: Option<RefusalReason>) -> CallerAnswer {
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
