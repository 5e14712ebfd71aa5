//! Requests of a host that is about to exit; the moments are decided in
//! `hawthorn_route::shutdown`.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use hawthorn_route::document::RouteRule;
use hawthorn_route::outcome::RefusalReason;
use hawthorn_route::shutdown::ShutdownSchedule;
use tokio::time::sleep;

use crate::process::clock::host_now;
use crate::process::host::RouteHost;
use crate::request::answer::CallerAnswer;
use crate::request::context::RequestContext;

/// Whether a new request of the route cannot be answered before this host exits, as far as can be
/// foreseen.
pub(crate) fn is_too_late(host: &RouteHost, route: &RouteRule) -> bool {
    let Some(schedule) = host.shutdown.get() else { return false };
    let expected = host.routing.times(route, |times| times.p90());
    host_now() >= schedule.last_start(Duration::from_micros(expected))
}

/// Completes when requests of the route that wait are no longer sent, as their answers would not
/// arrive before this host exits.
pub(crate) async fn sending_ended(host: &RouteHost, route: &RouteRule) {
    let schedule = stopped(host).await;
    sleep_until(schedule.last_start(host.routing.exchange_time(route))).await;
}

/// Answers a request by `serving` it, or before this host exits if that takes longer: as refused
/// if no target can have received it, otherwise as not known.
pub(crate) async fn answer_before_exit(
    host: &RouteHost,
    context: &RequestContext,
    serving: impl Future<Output = CallerAnswer>,
) -> CallerAnswer {
    if is_too_late(host, &context.route) {
        return CallerAnswer::refused(RefusalReason::Stopping);
    }
    tokio::select! {
        biased;
        answer = serving => answer,
        answer = last_answer(host, context) => answer,
    }
}

async fn last_answer(host: &RouteHost, context: &RequestContext) -> CallerAnswer {
    sending_ended(host, &context.route).await;
    if !context.is_unsent() {
        sleep_until(stopped(host).await.final_answer_at()).await;
    }
    let answer = match context.is_unsent() {
        true => CallerAnswer::refused(RefusalReason::Stopping),
        false => CallerAnswer::not_known(),
    };
    // Attempts that wait for a connection are not sent after this.
    context.answered.cancel();
    answer
}

/// The schedule of the stop, once it has been signalled.
async fn stopped(host: &RouteHost) -> ShutdownSchedule {
    host.stopping.cancelled().await;
    host.shutdown.get().expect("the schedule is set before the token is cancelled")
}

async fn sleep_until(at: Duration) {
    sleep(at.saturating_sub(host_now())).await;
}

/// Counts an attempt that waits for a connection, until it is dropped.
pub(crate) struct WaitingAttempt(Rc<RequestContext>);

impl WaitingAttempt {
    pub(crate) fn new(context: &Rc<RequestContext>) -> Self {
        context.waiting.set(context.waiting.get() + 1);
        Self(Rc::clone(context))
    }
}

impl Drop for WaitingAttempt {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}
