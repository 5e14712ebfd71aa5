//! All attempts at one service for one request: the first good answer wins.

use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
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
use crate::request::order::CANCELLATION_TURNS;
use crate::request::order::RequestOrder;

/// The interval at which an attempt that waits for others of its request is rechecked.
const HELD_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Waits until an attempt is late.
///
/// Failure: a starved host makes its first attempts, then finds them all late,
/// and makes second ones for a query that its front has given to another
/// meanwhile. The sockets are read first, where the cancellation lies.
async fn lateness(late: Duration) {
    sleep(late).await;
    for _ in 0..CANCELLATION_TURNS {
        yield_now().await;
    }
}

/// What the attempts at one service came to.
#[derive(Debug)]
pub(crate) enum RaceEnd {
    /// A target answered with success.
    Answered(TargetAnswer),
    /// A target ran the request and answered with a failure, which is passed on.
    Failed(TargetAnswer),
    /// No target ran it, and none will.
    NotRun(RefusalReason),
    /// It may have run, and there is no answer.
    Unknown,
}

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptReason {
    First,
    /// The one before reached nobody: costs targets nothing.
    Unsent,
    Retry,
    Late,
}

/// Whether an attempt was made, or why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum LaunchEnd {
    #[strum(serialize = "second-attempt")]
    Made,
    /// No other target had room.
    Crowded,
    /// There is no other target.
    NoTarget,
    BudgetSpent,
    /// The attempt waits until others of the request have ended.
    Held,
    /// The request is quarantined.
    Quarantined,
    /// The request may crash its target, and no other target of the shard would be left.
    LastTarget,
}

/// The attempts at one service.
pub(crate) struct AttemptRace<'a> {
    host: &'a Rc<RouteHost>,
    order: &'a Rc<RequestOrder>,
    service: &'a str,
    /// Where the first attempt goes, if that is known already.
    best: Option<TargetKey>,
    tried: TargetKeys,
    /// Targets that may have run it, or may yet.
    ran: usize,
    flying: FuturesUnordered<oneshot::Receiver<AttemptReply>>,
    failure: Option<TargetAnswer>,
    refusal: RefusalReason,
    unknown: bool,
    hedging: bool,
    /// An attempt is late, and no other target had room for a second.
    crowded: bool,
    /// The reason for an attempt that waits until others of the request have ended.
    held: Option<AttemptReason>,
}

impl<'a> AttemptRace<'a> {
    pub(crate) fn new(
        host: &'a Rc<RouteHost>,
        order: &'a Rc<RequestOrder>,
        service: &'a str,
    ) -> Self {
        Self {
            host,
            order,
            service,
            best: None,
            tried: TargetKeys::new(),
            ran: order.spent,
            flying: FuturesUnordered::new(),
            failure: None,
            refusal: RefusalReason::NoTarget,
            unknown: false,
            hedging: order.route.idempotent && host.beliefs.policy.get().second_attempts.on,
            crowded: false,
            held: None,
        }
    }

    /// Sends the first attempt to a target that was found best a moment ago.
    pub(crate) fn toward(mut self, best: Option<TargetKey>) -> Self {
        self.best = best;
        self
    }

    /// Counts attempts that another host may have made.
    pub(crate) fn after(mut self, spent: usize) -> Self {
        self.ran += spent;
        self
    }

    /// Runs until a good answer, or until no attempt is left to make.
    pub(crate) async fn run(mut self) -> RaceEnd {
        let started = host_now();
        // What another host may have sent was the first, and this is one more.
        let again = self.ran > 0;
        if !again {
            self.host.beliefs.earn(self.service, started);
        }
        let reason = if again { AttemptReason::Retry } else { AttemptReason::First };
        if self.ran >= self.order.route.max_attempts {
            return self.finish();
        }
        self.launch(reason);
        while !self.flying.is_empty() || self.held.is_some() {
            let late = self.late_after();
            let can_hedge =
                self.hedging && self.held.is_none() && self.ran < self.order.route.max_attempts;
            tokio::select! {
                biased;
                Some(reply) = self.flying.next() => {
                    // A sender that was dropped belongs to a task that was: the process ends.
                    let Ok(reply) = reply else { continue };
                    if let Some(end) = self.judge(reply) {
                        return end;
                    }
                }
                () = lateness(late), if can_hedge => self.hedge(started),
                () = sleep(HELD_POLL_INTERVAL), if self.held.is_some() => self.launch_held(),
            }
        }
        self.finish()
    }

    fn late_after(&self) -> Duration {
        if self.crowded {
            return hedge::CAPACITY_POLL_INTERVAL;
        }
        let beliefs = &self.host.beliefs;
        let fullness = beliefs.fullness(self.service);
        let route = &self.order.route;
        let options = beliefs.policy.get().second_attempts;
        beliefs.times(route, |times| hedge::delay(times, route.target_latency, fullness, &options))
    }

    fn hedge(&mut self, started: Duration) {
        let now = host_now();
        let room = self.has_room(now);
        if !room && self.order.leaves > now + hedge::CAPACITY_POLL_INTERVAL {
            // Looked at again: a pause of a target, or a queue, ends soon.
            self.crowded = true;
            return;
        }
        self.hedging = false;
        let decision = if room { self.launch(AttemptReason::Late) } else { LaunchEnd::Crowded };
        if decision == LaunchEnd::Held {
            return;
        }
        let waited = now.saturating_sub(started);
        self.order.story.borrow_mut().late(self.service, waited, decision.into());
    }

    /// The target that a second attempt would go to has room for it; see [`hedge::has_capacity`].
    fn has_room(&self, now: Duration) -> bool {
        let beliefs = &self.host.beliefs;
        if !beliefs.policy.get().second_attempts.needs_room {
            return true;
        }
        let Some(key) = beliefs.place(self.service, &self.tried, &self.order.route, now) else {
            return true;
        };
        beliefs.registry.borrow().get(key).is_none_or(|state| hedge::has_capacity(state, now))
    }

    /// Makes the waiting attempt, unless the maximum number has been made.
    fn launch_held(&mut self) {
        if let Some(reason) = self.held.take()
            && self.ran < self.order.route.max_attempts
        {
            self.launch_noted(reason);
        }
    }

    /// Makes another attempt, and logs the reason if it could not be made.
    fn launch_noted(&mut self, reason: AttemptReason) {
        let decision = self.launch(reason);
        if !matches!(decision, LaunchEnd::Made | LaunchEnd::Held) {
            let waited = host_now().saturating_sub(self.order.started);
            self.order.story.borrow_mut().late(self.service, waited, decision.into());
        }
    }

    /// Makes another attempt if there is a target for it and the budget allows.
    fn launch(&mut self, reason: AttemptReason) -> LaunchEnd {
        self.held = None;
        let now = host_now();
        let extra = matches!(reason, AttemptReason::Retry | AttemptReason::Late);
        let kind = if extra { AttemptKind::Extra } else { AttemptKind::First };
        match quarantine::permit(self.host, self.order, kind) {
            Permit::Send => {}
            Permit::Hold => {
                self.held = Some(reason);
                return LaunchEnd::Held;
            }
            Permit::Refuse(_) => {
                self.refusal = RefusalReason::Quarantined;
                return LaunchEnd::Quarantined;
            }
        }
        let beliefs = &self.host.beliefs;
        let usual = beliefs.usual(&self.order.route);
        let best = self.best.take();
        let best = best.filter(|key| beliefs.registry.borrow().permit(*key, now).is_ok());
        let Some(key) =
            best.or_else(|| beliefs.place(self.service, &self.tried, &self.order.route, now))
        else {
            return LaunchEnd::NoTarget;
        };
        if quarantine::spares_last(self.host, self.order)
            && beliefs.is_last_of_shard(self.service, key, &self.tried, &self.order.route, now)
        {
            if self.order.exposure.borrow().in_flight() > 0 {
                // One of them may be answered, which clears the request.
                self.held = Some(reason);
                return LaunchEnd::Held;
            }
            self.refusal = RefusalReason::NoTarget;
            return LaunchEnd::LastTarget;
        }
        let Some(pool) = beliefs.pool(key, &self.order.route) else { return LaunchEnd::NoTarget };
        if extra {
            if !beliefs.spend(self.service, now) {
                self.host.metrics.count_extra("budget-spent", 1);
                if self.refusal != RefusalReason::TargetsFull {
                    self.refusal = RefusalReason::BudgetSpent;
                }
                return LaunchEnd::BudgetSpent;
            }
            let name = if reason == AttemptReason::Late { "late" } else { "retry" };
            self.host.metrics.count_extra(name, 1);
        }
        self.tried.push(key);
        self.ran += 1;
        self.order.sent.set(self.order.sent.get() + 1);
        self.order.exposure.borrow_mut().send(extra);
        let (host, order) = (Rc::clone(self.host), Rc::clone(self.order));
        self.flying.push(AttemptPlan { host, order, key, pool, usual }.start());
        LaunchEnd::Made
    }

    /// Takes in the end of an attempt; `Some` when the race is decided.
    fn judge(&mut self, reply: AttemptReply) -> Option<RaceEnd> {
        if !reply.end.may_have_run() {
            self.ran -= 1;
            self.order.sent.set(self.order.sent.get() - 1);
        }
        let reason = match reply.end {
            AttemptEnd::Answered => return reply.answer.map(RaceEnd::Answered),
            AttemptEnd::NotSent => {
                self.refusal = RefusalReason::Unreachable;
                AttemptReason::Unsent
            }
            AttemptEnd::NotRun | AttemptEnd::Misdirected => {
                if reply.end == AttemptEnd::NotRun {
                    self.order.load.borrow_mut().rejected += 1;
                }
                self.refusal = RefusalReason::TargetsFull;
                AttemptReason::Retry
            }
            AttemptEnd::Failed => {
                let client_error =
                    reply.answer.as_ref().is_some_and(|a| a.status.is_client_error());
                self.failure = reply.answer;
                if client_error || !self.order.route.idempotent {
                    return self.failure.take().map(RaceEnd::Failed);
                }
                AttemptReason::Retry
            }
            AttemptEnd::Broken | AttemptEnd::Silent => {
                self.unknown = true;
                if !self.order.route.idempotent {
                    return Some(RaceEnd::Unknown);
                }
                AttemptReason::Retry
            }
        };
        if self.flying.is_empty() && self.ran < self.order.route.max_attempts {
            self.launch_noted(reason);
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
