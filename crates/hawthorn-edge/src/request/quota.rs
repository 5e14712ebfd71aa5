//! Takes a token for each request of a customer with a quota.
//!
//! Which holders are asked, and for how many tokens, is decided in
//! `hawthorn_route::quota::asker`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthorn_route::outcome::RefusalReason;
use hawthorn_route::quota::asker::QuotaToken;
use hawthorn_route::quota::asker::REPLY_TIMEOUT;
use hawthorn_route::quota::asker::TokenPlan;
use hawthorn_route::quota::holder::TokenGrant;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::connection::message::TokenReply;
use crate::process::clock::host_now;
use crate::process::host::RouteHost;
use crate::process::metrics::TokenEnd;
use crate::process::quota;
use crate::process::traffic::TrafficPurpose;
use crate::request::answer::CallerAnswer;
use crate::request::context::RequestContext;

/// Additional time for replies if no holder replied in time: a connection between zones.
const LATE_REPLY_TIME: Duration = Duration::from_millis(40);

/// The token of a request, if it needs one. On drop, the token of a request that did not run is
/// returned to the host.
#[derive(Debug)]
pub(crate) struct TokenGuard {
    host: Rc<RouteHost>,
    context: Rc<RequestContext>,
    taken: Option<(Rc<str>, QuotaToken)>,
    refused: bool,
}

impl TokenGuard {
    /// Ends the request; a refused one has not run.
    pub(crate) fn finish(mut self, refused: bool) {
        self.refused = refused;
    }
}

impl Drop for TokenGuard {
    fn drop(&mut self) {
        let Some((customer, token)) = self.taken.take() else { return };
        if self.refused || self.context.sent.get() == 0 {
            self.host.quota.asker.borrow_mut().give_back(&customer, token, host_now());
            self.host.metrics.count_tokens(TokenEnd::Returned, 1);
        }
    }
}

/// Takes a token for a request, or refuses it.
pub(crate) async fn take_token(
    host: &Rc<RouteHost>,
    context: &Rc<RequestContext>,
) -> Result<TokenGuard, Box<CallerAnswer>> {
    let guard = |taken| TokenGuard {
        host: Rc::clone(host),
        context: Rc::clone(context),
        taken,
        refused: false,
    };
    let Some(customer) = context.customer.as_ref().map(|customer| &customer.name) else {
        return Ok(guard(None));
    };
    let Some(quota) = quota::quota_of(host, customer) else { return Ok(guard(None)) };
    let holders = host.quota.holders(customer, quota);
    let state = &host.quota;
    let plan = state.asker.borrow_mut().plan(customer, quota, &state.limits, &holders, host_now());
    let outcome = match plan {
        TokenPlan::Run(token) => Ok(token),
        TokenPlan::Denied(next) => Err(Some(next)),
        TokenPlan::NoHolder => Err(None),
        TokenPlan::Ask(count, order) => ask(host, context, customer, count, &order).await,
    };
    match outcome {
        Ok(token) => {
            host.metrics.count_tokens(TokenEnd::Granted, 1);
            Ok(guard(Some((Rc::clone(customer), token))))
        }
        Err(next) => {
            host.metrics.count_tokens(TokenEnd::Denied, 1);
            Err(Box::new(refuse(host, customer, next)))
        }
    }
}

fn refuse(host: &RouteHost, customer: &Rc<str>, next: Option<Duration>) -> CallerAnswer {
    let Some(next) = next else { return CallerAnswer::refused(RefusalReason::NoQuota) };
    host.quota.log_exceeded(customer, next);
    // The quota of a customer with a very low rate may be raised in the meantime.
    CallerAnswer::over_quota(next.min(host.quota.limits.window))
}

/// Asks holders in turn. Fails with the time until the next token, or `None` if no holder
/// replied.
async fn ask(
    host: &Rc<RouteHost>,
    context: &RequestContext,
    customer: &Rc<str>,
    count: u32,
    order: &[SocketAddr],
) -> Result<QuotaToken, Option<Duration>> {
    let take_local = || host.quota.asker.borrow_mut().take_local(customer, host_now());
    let mut next: Option<Duration> = None;
    for holder in order {
        let reply = if *holder == host.routing.settings.listen.peer_address() {
            let sent = host_now();
            let reply = quota::grant(host, customer, count);
            record(host, customer, *holder, reply, sent);
            Some(reply)
        } else {
            ask_peer(host, context, customer, *holder, count).await
        };
        if let Some(token) = take_local() {
            return Ok(token);
        }
        if let Some(reply) = reply.filter(|reply| reply.holds && reply.granted == 0) {
            let until = Duration::from_micros(reply.next_us);
            next = Some(next.map_or(until, |next| next.min(until)));
        }
    }
    if next.is_none() {
        let wait = LATE_REPLY_TIME.min(context.time_left(host_now()));
        let _late = timeout(wait, host.quota.granted.notified()).await;
        return take_local().ok_or(None);
    }
    Err(next)
}

/// Asks a peer. Its reply is recorded even if it arrives after the time limit.
async fn ask_peer(
    host: &Rc<RouteHost>,
    context: &RequestContext,
    customer: &Rc<str>,
    holder: SocketAddr,
    count: u32,
) -> Option<TokenReply> {
    if host.links.is_suspect(holder) {
        host.quota.asker.borrow_mut().record_silence(holder, host_now());
        return None;
    }
    let (done, reply) = oneshot::channel();
    let (asking, name) = (Rc::clone(host), Rc::clone(customer));
    tokio::task::spawn_local(async move {
        let endpoint = asking.peer_endpoint(holder, TrafficPurpose::Quota);
        let sent = host_now();
        if let Ok(reply) = asking.links.take_tokens(&endpoint, &name, count).await {
            record(&asking, &name, holder, reply, sent);
            asking.quota.granted.notify_waiters();
            // The request may have given up.
            let _sent = done.send(reply);
        }
    });
    let wait = REPLY_TIMEOUT.min(context.time_left(host_now()));
    let reply = timeout(wait, reply).await.ok().and_then(Result::ok);
    if reply.is_none() {
        host.quota.asker.borrow_mut().record_silence(holder, host_now());
    }
    reply
}

fn record(
    host: &RouteHost,
    customer: &Rc<str>,
    holder: SocketAddr,
    reply: TokenReply,
    sent: Duration,
) {
    let mut asker = host.quota.asker.borrow_mut();
    let now = host_now();
    if !reply.holds {
        asker.record_silence(holder, now);
        return;
    }
    let grant = TokenGrant {
        granted: reply.granted,
        next: Duration::from_micros(reply.next_us),
        pause: Duration::from_micros(reply.pause_us),
    };
    asker.record(customer, holder, grant, sent, now);
}
