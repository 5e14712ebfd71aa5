//! One non-idempotent request in the front: checked, claimed, handed to owners
//! of its shard until one runs it, never run twice.

use std::sync::Arc;
use std::time::Duration;

use hawthorn_store::claim;
use hawthorn_store::claim::ClaimAsk;
use hawthorn_store::claim::ClaimGrant;
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
    let OnceEnd { outcome, retry_after } = claim_and_run(front, &checked, request).await;
    let took = front.now().saturating_sub(began);
    let request_id = Some(checked.once.request_id);
    let (outcome, result) = match outcome {
        OnceOutcome::NotRun(reason) => {
            let after = retry_after.or_else(|| usual_retry(reason));
            return front.refuse(request_id, reason, after);
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
fn usual_retry(reason: RefusalReason) -> Option<Duration> {
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

/// Claims the request and has it run.
///
/// The claim comes before all else that can go wrong later: a request whose id
/// has run before is told so, whoever is reachable now.
async fn claim_and_run(front: &FrontContext, checked: &CheckedOnce, request: RequestId) -> OnceEnd {
    let ask = ClaimAsk {
        caller: checked.once.caller.clone(),
        request_id: checked.once.request_id.clone(),
        deadline: front.started + checked.deadline,
        unix_now: unix_now(),
    };
    let outcome = front.keeper.claim(ask).await;
    let retry_after = front.keeper.retry_after(&outcome);
    let refusal = outcome.refusal();
    match outcome {
        claim::Outcome::Granted(grant) => {
            OnceEnd { outcome: hand_over(front, checked, request, grant).await, retry_after: None }
        }
        _ => OnceEnd { outcome: refused(refusal), retry_after },
    }
}

/// The end of a request, and when a refused one is worth sending again.
struct OnceEnd {
    outcome: OnceOutcome,
    retry_after: Option<Duration>,
}

fn refused(refusal: Option<CallerOutcome>) -> OnceOutcome {
    match refusal {
        Some(CallerOutcome::NotRun(reason)) => OnceOutcome::NotRun(reason),
        Some(CallerOutcome::Unknown(reason)) => OnceOutcome::Unknown(reason),
        _ => OnceOutcome::NotRun(RefusalReason::ClaimUnavailable),
    }
}

/// Hands the request to one owner after another until one runs it.
///
/// Failure: an owner dies after it took the request and another runs it again,
/// which sends two barges to one vessel. So the claim is spent before each
/// hand-over, and unspent only when the owner certainly did not get the request
/// or says that it did not run it; then the next owner is tried.
async fn hand_over(
    front: &FrontContext,
    checked: &CheckedOnce,
    request: RequestId,
    mut grant: ClaimGrant,
) -> OnceOutcome {
    let mut last = RefusalReason::NoTarget;
    for round in 0..HAND_OVER_ROUNDS {
        if round > 0 {
            tokio::time::sleep(HAND_OVER_PAUSE).await;
        }
        for host in owners(front, checked) {
            let left = checked.deadline.saturating_sub(front.now()).saturating_sub(ANSWER_RESERVE);
            if left.is_zero() {
                return OnceOutcome::NotRun(RefusalReason::DeadlinePast);
            }
            let Ok(permit) = grant.dispatch(Instant::now(), unix_now()) else {
                return OnceOutcome::NotRun(RefusalReason::DeadlinePast);
            };
            match hand_to(front, checked, request, host, left, permit.expires_at()).await {
                Ok(OnceOutcome::NotRun(reason)) => last = reason,
                Ok(outcome) => return outcome,
                Err(PeerError::NotSent(_)) => last = RefusalReason::OwnerUnreachable,
                Err(PeerError::Late) => return OnceOutcome::Unknown(UnknownReason::DeadlinePast),
                Err(PeerError::Lost(_)) => return OnceOutcome::Unknown(UnknownReason::OwnerLost),
            }
            grant = permit.not_run();
        }
        if !is_passing(last) {
            break;
        }
    }
    OnceOutcome::NotRun(last)
}

/// Rounds over the owners of a shard. Groups that change hands by plan are
/// without an owner for some 50 ms; three rounds outlast that, and a request
/// that still finds nobody is refused at once and not held back.
const HAND_OVER_ROUNDS: u32 = 3;

/// By how much the clocks of two hosts may differ before an owner takes a fresh
/// request for one that its caller has given up. It is then refused as not run,
/// which does no harm but for the delay.
const CLOCK_ALLOWANCE: Duration = Duration::from_secs(1);

/// Between two rounds.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(40);

/// Whether the reason is one that a change of owner gives.
fn is_passing(reason: RefusalReason) -> bool {
    matches!(reason, RefusalReason::NoTarget | RefusalReason::OwnerUnreachable)
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
    expires_at: Duration,
) -> Result<OnceOutcome, PeerError> {
    let not_after = expires_at.min(unix_now() + left + CLOCK_ALLOWANCE);
    let batch = OnceBatch {
        request,
        caller: checked.once.caller.clone(),
        caller_request: checked.once.request_id.clone(),
        shard: checked.config.catalog.shard(checked.shard).name.clone(),
        key: checked.once.key,
        body: checked.once.body.clone(),
        left_us: u64::try_from(left.as_micros()).unwrap_or(u64::MAX),
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
    let context = peer::call_context(left);
    client.run(context, batch).await.map_err(|error| front.links.judge(peer, error))
}
