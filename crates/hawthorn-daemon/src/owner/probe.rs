//! Asking targets for their state.
//!
//! What they say of their health and load is not believed for placing work;
//! what they hold, and that they are leaving, is.

use std::sync::Arc;
use std::time::Duration;

use hawthorn_types::TargetKey;
use hawthorn_types::target::TargetState;
use hyper::Method;
use hyper::StatusCode;

use hawthorn_pool::TargetPool;

/// The end of one question to a target.
#[derive(Debug)]
pub(crate) struct ProbeEnd {
    pub(crate) target: TargetKey,
    /// None when it did not answer, or something else answers at its address.
    pub(crate) state: Option<TargetState>,
}

/// Asks once.
pub(crate) async fn probe(
    target: TargetKey,
    name: String,
    pool: Arc<TargetPool>,
    timeout: Duration,
) -> ProbeEnd {
    let answer = pool.exchange(Method::GET, "/state", Vec::new(), timeout).await;
    let state = match answer {
        Ok(answer) if answer.status == StatusCode::OK => {
            serde_json::from_slice::<TargetState>(&answer.body).ok()
        }
        _ => None,
    };
    // An address given to another machine would otherwise answer for the old one.
    let state = state.filter(|state| state.target == name);
    ProbeEnd { target, state }
}
