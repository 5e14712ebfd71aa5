//! State probes of targets.
//!
//! A target's report of its health and load is not trusted for placement; its report of held
//! versions and of draining is.

use std::sync::Arc;
use std::time::Duration;

use hawthorn_types::TargetKey;
use hawthorn_types::target::TargetState;
use hyper::Method;
use hyper::StatusCode;

use hawthorn_pool::TargetPool;

/// Completion of one probe.
#[derive(Debug)]
pub(crate) struct ProbeCompletion {
    pub(crate) target: TargetKey,
    /// `None` if it did not answer, or if another target answers at its address.
    pub(crate) state: Option<TargetState>,
}

/// Sends one probe.
pub(crate) async fn probe(
    target: TargetKey,
    name: String,
    pool: Arc<TargetPool>,
    timeout: Duration,
) -> ProbeCompletion {
    let answer = pool.exchange(Method::GET, "/state", Vec::new(), timeout).await;
    let state = answer.ok().and_then(|answer| {
        let state = (answer.status() == StatusCode::OK)
            .then(|| serde_json::from_slice::<TargetState>(answer.body()).ok())??;
        // After an address is reassigned, the new target must not answer for the old one.
        if state.target != name {
            return None;
        }
        answer.accept();
        Some(state)
    });
    ProbeCompletion { target, state }
}
