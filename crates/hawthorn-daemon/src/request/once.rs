//! Processes one non-idempotent request in the front: validates and claims it, then dispatches it
//! to the owners of its shard until one runs it. It never runs twice.

use std::sync::Arc;
use std::time::Duration;

use hawthorn_store::claim;
use hawthorn_store::claim::ClaimGrant;
use hawthorn_store::claim::ClaimRequest;
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
use tokio::time::Instant;

use crate::connection::message::OnceBatch;
use crate::connection::message::OnceOutcome;
use crate::connection::peer;
use crate::connection::peer::Error as PeerError;
use crate::process::clock::unix_now;
use crate::request::front::FrontContext;
use crate::request::front::new_request;
use crate::request::query::fetch_missing_views;
use crate::version::config::ConfigInForce;

/// Label of this kind of request in the metrics.
const KIND: &str = "once";

/// Time reserved for the answer to the caller, taken from the owner's deadline.
const ANSWER_RESERVE: Duration = Duration::from_millis(2);

struct CheckedOnce {
    once: OnceRequest,
    service: ServiceKey,
    shard: ShardKey,
    deadline: Duration,
    config: Arc<ConfigInForce>,
}

/// Runs a caller's request at most once and returns its outcome.
pub async fn answer(front: &FrontContext, once: OnceRequest) -> CallerAnswer {
    let started = front.now();
    let checked = match check(front, once, started) {
        Ok(checked) => checked,
        Err((request_id, reason)) => return front.refuse(request_id, reason, None),
    };
    fetch_missing_views(front, checked.service, &checked.config).await;
    let request = new_request();
    let OnceResult { outcome, retry_after } = claim_and_run(front, &checked, request).await;
    let elapsed = front.now().saturating_sub(started);
    let request_id = Some(checked.once.request_id);
    let (outcome, result) = match outcome {
        OnceOutcome::NotRun(reason) => return front.refuse(request_id, reason, retry_after),
        OnceOutcome::Ran(result) => (CallerOutcome::Answer, Some(result)),
        OnceOutcome::Unknown(reason) => {
            front.metrics.count_unknown(reason, 1);
            (CallerOutcome::Unknown(reason), None)
        }
        OnceOutcome::Failed(reason) => (CallerOutcome::Failed(reason), None),
    };
    front.metrics.count_answer(KIND, elapsed);
    let mut answer = front.empty_answer(request, request_id, outcome);
    answer.result = result;
    answer.elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
    answer
}

fn check(
    front: &FrontContext,
    once: OnceRequest,
    started: Duration,
) -> Result<CheckedOnce, (Option<String>, RefusalReason)> {
    if !front.is_valid_request_id(&once.request_id) {
        // An invalid id is not echoed.
        return Err((None, RefusalReason::BadRequestId));
    }
    let id = once.request_id.clone();
    let refuse = |reason| (Some(id.clone()), reason);
    let refuse_by_config = |reason| refuse(front.refusal_by_config(reason));
    let config = front.config().ok_or_else(|| refuse(RefusalReason::NoConfiguration))?;
    if !front.fleet.status.borrow().ready {
        return Err(refuse(RefusalReason::NoConfiguration));
    }
    let catalog = &config.catalog;
    catalog
        .caller_named(&once.caller)
        .ok_or_else(|| refuse_by_config(RefusalReason::UnknownCaller))?;
    let service = catalog
        .service_named(&once.service)
        .ok_or_else(|| refuse_by_config(RefusalReason::UnknownService))?;
    if once.deadline_ms == 0 {
        return Err(refuse(RefusalReason::DeadlinePast));
    }
    let shard =
        catalog.shard_at(service, once.key).ok_or_else(|| refuse(RefusalReason::BadRequest))?;
    let wait = Duration::from_millis(once.deadline_ms).min(front.options.max_deadline);
    Ok(CheckedOnce { service, shard, deadline: started + wait, config, once })
}

/// Claims the request and has it run.
///
/// The claim precedes everything that can fail later: a request whose id has already run gets that
/// answer regardless of which owners are reachable.
async fn claim_and_run(
    front: &FrontContext,
    checked: &CheckedOnce,
    request: RequestId,
) -> OnceResult {
    let claim_request = ClaimRequest {
        caller: checked.once.caller.clone(),
        request_id: checked.once.request_id.clone(),
        deadline: front.started + checked.deadline,
        unix_now: unix_now(),
    };
    let outcome = front.claim_client.claim(claim_request).await;
    let retry_after = front.claim_client.retry_after(&outcome);
    let refusal = outcome.refusal();
    match outcome {
        claim::Outcome::Granted(grant) => OnceResult {
            outcome: dispatch(front, checked, request, grant).await,
            retry_after: None,
        },
        _ => OnceResult { outcome: rejected(refusal), retry_after },
    }
}

/// Outcome of a request, and the delay before a refused one is worth retrying.
struct OnceResult {
    outcome: OnceOutcome,
    retry_after: Option<Duration>,
}

fn rejected(refusal: Option<CallerOutcome>) -> OnceOutcome {
    match refusal {
        Some(CallerOutcome::NotRun(reason)) => OnceOutcome::NotRun(reason),
        Some(CallerOutcome::Unknown(reason)) => OnceOutcome::Unknown(reason),
        _ => OnceOutcome::NotRun(RefusalReason::ClaimUnavailable),
    }
}

/// Dispatches the request to one owner after another until one runs it.
///
/// If an owner fails after it received the request, another must not run it again, which would send
/// two barges to one vessel. The claim is therefore consumed before each dispatch, and restored
/// only if the owner certainly did not receive the request or reports that it did not run it; then
/// the next owner is tried.
async fn dispatch(
    front: &FrontContext,
    checked: &CheckedOnce,
    request: RequestId,
    mut grant: ClaimGrant,
) -> OnceOutcome {
    let mut last_reason = RefusalReason::NoTarget;
    for round in 0..DISPATCH_ROUNDS {
        if round > 0 {
            tokio::time::sleep(DISPATCH_BACKOFF).await;
        }
        for host in owners(front, checked) {
            let remaining =
                checked.deadline.saturating_sub(front.now()).saturating_sub(ANSWER_RESERVE);
            if remaining.is_zero() {
                return OnceOutcome::NotRun(RefusalReason::ExpiredInQueue);
            }
            let Ok(permit) = grant.dispatch(Instant::now(), unix_now()) else {
                return OnceOutcome::NotRun(RefusalReason::ExpiredInQueue);
            };
            match send_to_owner(front, checked, request, host, remaining, permit.expires_at()).await
            {
                Ok(OnceOutcome::NotRun(reason)) => last_reason = reason,
                Ok(outcome) => return outcome,
                Err(PeerError::NotSent(_)) => last_reason = RefusalReason::OwnerUnreachable,
                Err(PeerError::TimedOut) => {
                    return OnceOutcome::Unknown(UnknownReason::DeadlinePast);
                }
                Err(PeerError::Lost(_)) => return OnceOutcome::Unknown(UnknownReason::OwnerLost),
            }
            grant = permit.not_run();
        }
        if !is_transient(last_reason) {
            break;
        }
    }
    OnceOutcome::NotRun(last_reason)
}

/// Maximum number of rounds over the owners of a shard. A planned change of ownership leaves a
/// group without an owner for about 50 ms, which three rounds outlast. A request that still finds
/// no owner is refused at once instead of being delayed further.
const DISPATCH_ROUNDS: u32 = 3;

/// Clock difference between two hosts that is tolerated. With a larger one, an owner may mistake a
/// new request for one that its caller has given up, and refuses it as not run, which costs only a
/// retry.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1);

/// Delay between two rounds.
const DISPATCH_BACKOFF: Duration = Duration::from_millis(40);

/// Whether the refusal can be caused by a change of ownership.
fn is_transient(reason: RefusalReason) -> bool {
    matches!(reason, RefusalReason::NoTarget | RefusalReason::OwnerUnreachable)
}

/// Owners of the shard with a usable replica, those of this zone first.
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

async fn send_to_owner(
    front: &FrontContext,
    checked: &CheckedOnce,
    request: RequestId,
    host: HostKey,
    remaining: Duration,
    expires_at: Duration,
) -> Result<OnceOutcome, PeerError> {
    let not_after = expires_at.min(unix_now() + remaining + MAX_CLOCK_SKEW);
    let batch = OnceBatch {
        request,
        caller: checked.once.caller.clone(),
        caller_request: checked.once.request_id.clone(),
        shard: checked.config.catalog.shard(checked.shard).name.clone(),
        key: checked.once.key,
        body: checked.once.body.clone(),
        left_us: u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX),
        not_after_ms: u64::try_from(not_after.as_millis()).unwrap_or(u64::MAX),
    };
    let fleet = front.fleet_view();
    if host == fleet.me {
        return Ok(front.owner.run(batch).await);
    }
    let Some(peer) = fleet.peer(host) else {
        return Err(PeerError::NotSent("the host is gone".into()));
    };
    let client = front.links.client(peer).await?;
    let context = peer::call_context(remaining);
    client.run(context, batch).await.map_err(|error| front.links.classify_error(peer, error))
}
