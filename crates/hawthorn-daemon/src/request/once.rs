//! One non-idempotent request in the front: checked, handed to the owner of its
//! shard, never handed over twice.

use std::sync::Arc;
use std::time::Duration;

use hawthorn_types::CallerAnswer;
use hawthorn_types::CallerOutcome;
use hawthorn_types::HostKey;
use hawthorn_types::OnceRequest;
use hawthorn_types::RefusalReason;
use hawthorn_types::RequestId;
use hawthorn_types::ServiceKey;
use hawthorn_types::ShardKey;
use hawthorn_types::UnknownReason;
use smallvec::SmallVec;

use crate::connection::message::OnceBatch;
use crate::connection::message::OnceOutcome;
use crate::connection::peer;
use crate::connection::peer::Error as PeerError;
use crate::request::front::FrontContext;
use crate::request::front::new_request;
use crate::request::query::hear_owners;
use crate::version::config::ConfigInForce;

/// What the metrics call this kind of request.
const KIND: &str = "once";

/// What the way back to the caller takes, kept back from the owner's time.
const ANSWER_RESERVE: Duration = Duration::from_millis(2);

struct CheckedOnce {
    once: OnceRequest,
    service: ServiceKey,
    shard: ShardKey,
    deadline: Duration,
    config: Arc<ConfigInForce>,
}

/// Runs a caller's request at most once and says what became of it.
pub async fn answer(front: &FrontContext, once: OnceRequest) -> CallerAnswer {
    let began = front.now();
    let checked = match check(front, once, began) {
        Ok(checked) => checked,
        Err((request_id, reason)) => return front.refuse(request_id, reason, None),
    };
    hear_owners(front, checked.service, &checked.config).await;
    let request = new_request();
    let outcome = hand_over(front, &checked, request).await;
    let took = front.now().saturating_sub(began);
    let request_id = Some(checked.once.request_id);
    let (outcome, result) = match outcome {
        OnceOutcome::NotRun(reason) => {
            return front.refuse(request_id, reason, retry_after(reason));
        }
        OnceOutcome::Ran(result) => (CallerOutcome::Answer, Some(result)),
        OnceOutcome::Unknown(reason) => {
            front.metrics.count_unknown(reason, 1);
            (CallerOutcome::Unknown(reason), None)
        }
        OnceOutcome::Failed(reason) => (CallerOutcome::Failed(reason), None),
    };
    front.metrics.count_answer(KIND, took);
    let mut answer = front.bare_answer(request, request_id, outcome);
    answer.result = result;
    answer.elapsed_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
    answer
}

/// When a request that was not run is worth sending again; none when it would
/// only be refused again.
fn retry_after(reason: RefusalReason) -> Option<Duration> {
    match reason {
        RefusalReason::ClaimUnavailable => Some(Duration::from_secs(1)),
        RefusalReason::QueueFull
        | RefusalReason::CallerOverShare
        | RefusalReason::WaitBeyondDeadline
        | RefusalReason::ExpiredInQueue
        | RefusalReason::TargetRefused => Some(Duration::from_millis(100)),
        RefusalReason::NoTarget | RefusalReason::OwnerUnreachable => Some(Duration::from_secs(2)),
        _ => None,
    }
}

fn check(
    front: &FrontContext,
    once: OnceRequest,
    began: Duration,
) -> Result<CheckedOnce, (Option<String>, RefusalReason)> {
    if !front.is_fit_id(&once.request_id) {
        // An id that may not be used is not echoed either.
        return Err((None, RefusalReason::BadRequestId));
    }
    let id = once.request_id.clone();
    let refuse = |reason| (Some(id.clone()), reason);
    let config = front.config().ok_or_else(|| refuse(RefusalReason::NoConfiguration))?;
    if !front.fleet.status.borrow().ready {
        return Err(refuse(RefusalReason::NoConfiguration));
    }
    let catalog = &config.catalog;
    catalog.caller_named(&once.caller).ok_or_else(|| refuse(RefusalReason::UnknownCaller))?;
    let service = catalog
        .service_named(&once.service)
        .ok_or_else(|| refuse(RefusalReason::UnknownService))?;
    if once.deadline_ms == 0 {
        return Err(refuse(RefusalReason::DeadlinePast));
    }
    let shard =
        catalog.shard_at(service, once.key).ok_or_else(|| refuse(RefusalReason::BadRequest))?;
    let wait = Duration::from_millis(once.deadline_ms).min(front.options.max_deadline);
    Ok(CheckedOnce { service, shard, deadline: began + wait, config, once })
}

/// Hands the request to one owner after another until one takes it.
///
/// Failure: an owner dies after it took the request and another runs it again,
/// which sends two barges to one vessel. So the next owner is tried only when
/// the one before certainly did not get the request, or said that it did not
/// run it and left no claim.
async fn hand_over(front: &FrontContext, checked: &CheckedOnce, request: RequestId) -> OnceOutcome {
    let mut last = RefusalReason::NoTarget;
    for host in owners(front, checked) {
        let left = checked.deadline.saturating_sub(front.now()).saturating_sub(ANSWER_RESERVE);
        if left.is_zero() {
            return OnceOutcome::NotRun(RefusalReason::DeadlinePast);
        }
        match hand_to(front, checked, request, host, left).await {
            Ok(OnceOutcome::NotRun(RefusalReason::NoTarget)) => last = RefusalReason::NoTarget,
            Ok(outcome) => return outcome,
            Err(PeerError::NotSent(_)) => last = RefusalReason::OwnerUnreachable,
            Err(PeerError::Late) => return OnceOutcome::Unknown(UnknownReason::DeadlinePast),
            Err(PeerError::Lost(_)) => return OnceOutcome::Unknown(UnknownReason::OwnerLost),
        }
    }
    OnceOutcome::NotRun(last)
}

/// Owners of the shard with a usable replica, this zone's first.
fn owners(front: &FrontContext, checked: &CheckedOnce) -> SmallVec<[HostKey; 3]> {
    let fleet = front.fleet_view();
    let table = front.tables.table(checked.service, &checked.config, &fleet, &front.views);
    let own_zone = checked.config.catalog.zone_named(&front.zone);
    let shard = table.shards().iter().find(|shard| shard.shard == checked.shard);
    let options = shard.map(|shard| shard.options.as_slice()).unwrap_or_default();
    let mut usable: SmallVec<[_; 3]> =
        options.iter().filter(|option| !option.versions.is_empty()).collect();
    usable.sort_by_key(|option| (Some(option.zone) != own_zone, option.expected_wait));
    usable.into_iter().map(|option| option.owner).collect()
}

async fn hand_to(
    front: &FrontContext,
    checked: &CheckedOnce,
    request: RequestId,
    host: HostKey,
    left: Duration,
) -> Result<OnceOutcome, PeerError> {
    let batch = OnceBatch {
        request,
        caller: checked.once.caller.clone(),
        caller_request: checked.once.request_id.clone(),
        shard: checked.config.catalog.shard(checked.shard).name.clone(),
        key: checked.once.key,
        body: checked.once.body.clone(),
        left_us: u64::try_from(left.as_micros()).unwrap_or(u64::MAX),
    };
    let fleet = front.fleet_view();
    if host == fleet.me {
        return Ok(front.runner.run(batch).await);
    }
    let Some(peer) = fleet.peer(host) else {
        return Err(PeerError::NotSent("the host is gone".into()));
    };
    let client = front.links.client(peer).await?;
    let context = peer::call_context(left);
    client.run(context, batch).await.map_err(|error| front.links.judge(peer, error))
}
