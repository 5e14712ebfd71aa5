//! All attempts at one service for one request. The first successful answer wins.

use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hawthorn_platform::caller;
use hawthorn_route::hedge;
use hawthorn_route::outcome::AttemptEnd;
use hawthorn_route::outcome::RefusalReason;
use hawthorn_route::quarantine::AttemptKind;
use hawthorn_route::quarantine::Permit;
use hawthorn_route::registry::TargetKey;
use hawthorn_route::registry::TargetKeys;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::process::clock::host_now;
use crate::process::host::RouteHost;
use crate::process::quarantine;
use crate::request::attempt::AttemptPlan;
use crate::request::attempt::AttemptReply;
use crate::request::attempt::TargetAnswer;
use crate::request::context::CANCELLATION_YIELDS;
use crate::request::context::RequestContext;

/// Interval at which an attempt that waits is rechecked.
const HELD_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Waits until an attempt is late.
///
/// A stalled host sends its first attempts, then finds all of them late, and would send hedges
/// for a query that its sender has since delegated to another host. The sockets are read first,
/// as they hold the cancellation.
async fn wait_until_late(late: Duration) {
    sleep(late).await;
    for _ in 0..CANCELLATION_YIELDS {
        yield_now().await;
    }
}

/// The result of the attempts at one service.
#[derive(Debug)]
pub(crate) enum RaceEnd {
    /// A target answered with success.
    Answered(TargetAnswer),
    /// A target ran the request and answered with an error, which is forwarded.
    Failed(TargetAnswer),
    /// No target has run the request or will run it.
    NotRun(RefusalReason),
    /// The request may have run, and there is no answer.
    Unknown,
}

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptReason {
    First,
    /// The previous attempt was not sent, so this one is not extra load for targets.
    Unsent,
    Retry,
    Late,
}

/// Whether an attempt was made, or why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum LaunchResult {
    #[strum(serialize = "second-attempt")]
    Made,
    /// No other target had capacity.
    #[strum(serialize = "crowded")]
    NoCapacity,
    /// There is no other target.
    NoTarget,
    BudgetSpent,
    /// The attempt waits until others of the request have ended, or for the commit of its peer.
    Held,
    /// As many extra attempts as are sent without an answer have ended without one.
    Exhausted,
    /// The request is quarantined.
    Quarantined,
    /// The request may crash its target, and no other target of the shard would be left.
    LastTarget,
}

/// The attempts at one service.
pub(crate) struct AttemptRace<'a> {
    host: &'a Rc<RouteHost>,
    context: &'a Rc<RequestContext>,
    service: &'a str,
    /// The target of the first attempt, if already selected.
    first_target: Option<TargetKey>,
    tried: TargetKeys,
    /// Number of attempts that may have run or may still run.
    attempts: usize,
    /// Those of them that other hosts may have made.
    prior_attempts: usize,
    in_flight: FuturesUnordered<oneshot::Receiver<AttemptReply>>,
    failure: Option<TargetAnswer>,
    refusal: RefusalReason,
    unknown: bool,
    hedge_allowed: bool,
    /// An attempt is late, and no other target had capacity for a hedge.
    no_capacity: bool,
    /// The reason for an attempt that waits; see [`LaunchResult::Held`].
    held: Option<AttemptReason>,
}

impl<'a> AttemptRace<'a> {
    pub(crate) fn new(
        host: &'a Rc<RouteHost>,
        context: &'a Rc<RequestContext>,
        service: &'a str,
    ) -> Self {
        Self {
            host,
            context,
            service,
            first_target: None,
            tried: TargetKeys::new(),
            attempts: context.prior_attempts,
            prior_attempts: context.prior_attempts,
            in_flight: FuturesUnordered::new(),
            failure: None,
            refusal: RefusalReason::NoTarget,
            unknown: false,
            hedge_allowed: context.route.idempotent && host.routing.policy.get().second_attempts.on,
            no_capacity: false,
            held: None,
        }
    }

    /// Sends the first attempt to a target that was selected just before.
    pub(crate) fn with_first_target(mut self, first_target: Option<TargetKey>) -> Self {
        self.first_target = first_target;
        self
    }

    /// Counts attempts that another host may have made.
    pub(crate) fn with_prior_attempts(mut self, prior_attempts: usize) -> Self {
        self.attempts += prior_attempts;
        self.prior_attempts += prior_attempts;
        self
    }

    /// Runs until a target succeeds, or until no further attempt can be made.
    pub(crate) async fn run(mut self) -> RaceEnd {
        let started = host_now();
        // Attempts of another host count as the first, so this one is a retry.
        let is_retry = self.attempts > 0;
        if !is_retry {
            self.host.routing.earn(self.service, started);
        }
        let reason = if is_retry { AttemptReason::Retry } else { AttemptReason::First };
        if self.attempts >= self.context.route.max_attempts {
            return self.finish();
        }
        self.launch(reason);
        while !self.in_flight.is_empty() || self.held.is_some() {
            let late = self.hedge_delay();
            let can_hedge = self.hedge_allowed
                && self.held.is_none()
                && self.attempts < self.context.route.max_attempts;
            tokio::select! {
                biased;
                Some(reply) = self.in_flight.next() => {
                    // The sender is dropped only if its task is, when the process exits.
                    let Ok(reply) = reply else { continue };
                    if let Some(end) = self.handle_reply(reply) {
                        return end;
                    }
                }
                () = wait_until_late(late), if can_hedge => self.hedge(started),
                () = sleep(HELD_POLL_INTERVAL), if self.held.is_some() => self.launch_held(),
            }
        }
        self.finish()
    }

    fn hedge_delay(&self) -> Duration {
        if self.no_capacity {
            return hedge::CAPACITY_POLL_INTERVAL;
        }
        let routing = &self.host.routing;
        let fullness = routing.fullness(self.service);
        let route = &self.context.route;
        let options = routing.policy.get().second_attempts;
        routing.times(route, |times| hedge::delay(times, route.target_latency, fullness, &options))
    }

    fn hedge(&mut self, started: Duration) {
        let now = host_now();
        let has_capacity = self.has_capacity(now);
        if !has_capacity && self.context.send_deadline > now + hedge::CAPACITY_POLL_INTERVAL {
            // Checked again later: a pause or a queue at a target may end soon.
            self.no_capacity = true;
            return;
        }
        self.hedge_allowed = false;
        let decision =
            if has_capacity { self.launch(AttemptReason::Late) } else { LaunchResult::NoCapacity };
        if decision == LaunchResult::Held {
            return;
        }
        let waited = now.saturating_sub(started);
        self.context.request_log.borrow_mut().add_late(self.service, waited, decision.into());
    }

    /// Whether the target that a hedge would go to has capacity; see [`hedge::has_capacity`].
    fn has_capacity(&self, now: Duration) -> bool {
        let routing = &self.host.routing;
        if !routing.policy.get().second_attempts.needs_room {
            return true;
        }
        let Some(key) = routing.select_target(self.service, &self.tried, &self.context.route, now)
        else {
            return true;
        };
        routing.registry.borrow().get(key).is_none_or(|state| hedge::has_capacity(state, now))
    }

    /// Makes the waiting attempt, unless the maximum number has been made.
    fn launch_held(&mut self) {
        if let Some(reason) = self.held.take()
            && self.attempts < self.context.route.max_attempts
        {
            self.launch_logged(reason);
        }
    }

    /// Makes another attempt, and logs the reason if it could not be made.
    fn launch_logged(&mut self, reason: AttemptReason) {
        let decision = self.launch(reason);
        if !matches!(decision, LaunchResult::Made | LaunchResult::Held) {
            let waited = host_now().saturating_sub(self.context.started);
            self.context.request_log.borrow_mut().add_late(self.service, waited, decision.into());
        }
    }

    /// Makes another attempt if there is a target for it and the budget allows.
    fn launch(&mut self, reason: AttemptReason) -> LaunchResult {
        self.held = None;
        let now = host_now();
        let extra = matches!(reason, AttemptReason::Retry | AttemptReason::Late);
        if self.attempts > self.prior_attempts && !self.context.commit.is_given() {
            self.held = Some(reason);
            return LaunchResult::Held;
        }
        let kind = if extra { AttemptKind::Extra } else { AttemptKind::First };
        match quarantine::permit(self.host, self.context, kind) {
            Permit::Send => {}
            Permit::Hold => {
                self.held = Some(reason);
                return LaunchResult::Held;
            }
            Permit::Exhausted => return LaunchResult::Exhausted,
            Permit::Refuse(_) => {
                self.refusal = RefusalReason::Quarantined;
                return LaunchResult::Quarantined;
            }
        }
        let routing = &self.host.routing;
        let service_time = routing.service_time(&self.context.route);
        let first_target = self.first_target.take();
        let first_target =
            first_target.filter(|key| routing.registry.borrow().permit(*key, now).is_ok());
        let Some(key) = first_target
            .or_else(|| routing.select_target(self.service, &self.tried, &self.context.route, now))
        else {
            return LaunchResult::NoTarget;
        };
        if quarantine::protects_last_target(self.host, self.context)
            && routing.is_last_of_shard(self.service, key, &self.tried, &self.context.route, now)
        {
            if self.context.exposure.borrow().in_flight() > 0 {
                // One of them may be answered, which clears the request.
                self.held = Some(reason);
                return LaunchResult::Held;
            }
            self.refusal = RefusalReason::NoTarget;
            return LaunchResult::LastTarget;
        }
        let Some(pool) = routing.pool(key, &self.context.route) else {
            return LaunchResult::NoTarget;
        };
        if extra {
            if !routing.spend(self.service, now) {
                self.host.metrics.count_extra("budget-spent", 1);
                if self.refusal != RefusalReason::TargetsFull {
                    self.refusal = RefusalReason::BudgetSpent;
                }
                return LaunchResult::BudgetSpent;
            }
            let name = if reason == AttemptReason::Late { "late" } else { "retry" };
            self.host.metrics.count_extra(name, 1);
        }
        self.tried.push(key);
        self.attempts += 1;
        self.context.sent.set(self.context.sent.get() + 1);
        self.context.exposure.borrow_mut().record_sent(extra);
        let (host, context) = (Rc::clone(self.host), Rc::clone(self.context));
        let budget_spent = extra.then_some(now);
        let plan = AttemptPlan { host, context, key, pool, service_time, budget_spent };
        self.in_flight.push(plan.start());
        LaunchResult::Made
    }

    /// Handles the end of an attempt; `Some` if the race is decided.
    fn handle_reply(&mut self, reply: AttemptReply) -> Option<RaceEnd> {
        if !reply.end.may_have_run() {
            self.attempts -= 1;
            self.context.sent.set(self.context.sent.get() - 1);
        }
        let reason = match reply.end {
            AttemptEnd::Answered => return reply.answer.map(RaceEnd::Answered),
            AttemptEnd::NotSent => {
                self.refusal = RefusalReason::Unreachable;
                AttemptReason::Unsent
            }
            AttemptEnd::Expired => {
                self.refusal = RefusalReason::TooLate;
                return None;
            }
            AttemptEnd::KeyRefused => {
                self.refusal = reply.key_refusal.map_or(RefusalReason::StaleKeys, Into::into);
                return None;
            }
            AttemptEnd::NotRun | AttemptEnd::Misdirected => {
                if reply.end == AttemptEnd::NotRun {
                    self.context.load.borrow_mut().rejected += 1;
                }
                self.refusal = RefusalReason::TargetsFull;
                AttemptReason::Retry
            }
            AttemptEnd::Failed => {
                let status = reply.answer.as_ref().map(|answer| answer.status);
                let client_error = status.is_some_and(|status| status.is_client_error());
                if !self.context.route.idempotent && status.is_some_and(caller::promises_not_run) {
                    // The target did not state that the request did not run, so the promise would
                    // be this host's.
                    return Some(RaceEnd::Unknown);
                }
                self.failure = reply.answer;
                if client_error || !self.context.route.idempotent {
                    return self.failure.take().map(RaceEnd::Failed);
                }
                AttemptReason::Retry
            }
            AttemptEnd::Broken | AttemptEnd::Mismatched | AttemptEnd::Silent => {
                self.unknown = true;
                if !self.context.route.idempotent {
                    return Some(RaceEnd::Unknown);
                }
                AttemptReason::Retry
            }
        };
        if self.in_flight.is_empty() && self.attempts < self.context.route.max_attempts {
            self.launch_logged(reason);
        }
        None
    }

    fn finish(self) -> RaceEnd {
        match self.failure {
            Some(answer) => RaceEnd::Failed(answer),
            None if self.unknown => RaceEnd::Unknown,
            None => RaceEnd::NotRun(self.refusal),
        }
    }
}
