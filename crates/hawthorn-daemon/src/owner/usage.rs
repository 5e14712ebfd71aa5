//! Decides how the owner uses a target after its desired state has changed.
//!
//! Performs no I/O and uses no clock.

use hawthorn_types::DesiredState;
use hawthorn_types::TargetPhase;

/// Last decision of the reconciler about a target that should not serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldDecision {
    /// No round has run under the revision in force.
    Pending,
    /// The target keeps serving until others can.
    Held,
    /// The target is not needed, or is already leaving.
    Released,
}

/// Inputs of the decision for one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageInputs {
    /// State that operators want.
    pub wanted: DesiredState,
    /// How it was used so far; `None` if it was not owned here.
    pub previous: Option<DesiredState>,
    /// Last reported phase; `None` if it is unreachable.
    pub phase: Option<TargetPhase>,
    /// Decision of the reconciler.
    pub hold_decision: HoldDecision,
    /// Whether it should have been serving for at least the duration of a cold start.
    pub cold_start_elapsed: bool,
}

/// Decides how the target is used; it gets work only if the result is [`DesiredState::Serve`].
///
/// A serving target stays in use until a reconciler round under the new revision has released it.
/// Otherwise a rule could switch off the only target of a shard, and every answer would be
/// incomplete until another one is warm.
///
/// A target that was off or on standby gets no work until it reports that it is ready. Before it
/// has received its order it would reject the work as draining, and the owner would then avoid it
/// for seconds. As reports can be late or wrong, this wait is limited to the duration of a cold
/// start.
pub fn usage(inputs: UsageInputs) -> DesiredState {
    let was_serving = inputs.previous == Some(DesiredState::Serve);
    if inputs.wanted == DesiredState::Serve {
        let is_new = inputs.previous.is_none();
        let is_ready = inputs.phase == Some(TargetPhase::Ready);
        return match was_serving || is_new || is_ready || inputs.cold_start_elapsed {
            true => DesiredState::Serve,
            false => DesiredState::Standby,
        };
    }
    match inputs.hold_decision {
        HoldDecision::Held => DesiredState::Serve,
        HoldDecision::Pending if was_serving => DesiredState::Serve,
        HoldDecision::Pending | HoldDecision::Released => inputs.wanted,
    }
}
