//! How the owner uses a target while operators want something else of it than
//! a moment ago.
//!
//! Without sockets or a clock: what is known of the target goes in, and how it
//! is used comes out.

use hawthorn_types::DesiredState;
use hawthorn_types::TargetPhase;

/// What the reconciler last said of a target that is not wanted to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldVerdict {
    /// No round has run yet under the revision in force.
    NotJudged,
    /// It goes on serving until others can.
    Held,
    /// It is not needed, or is leaving already.
    Released,
}

/// What is known of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageInputs {
    /// What operators want of it.
    pub wanted: DesiredState,
    /// How it was used until now; none for one that was not owned here.
    pub before: Option<DesiredState>,
    /// The phase it last reported; none when it cannot be reached.
    pub phase: Option<TargetPhase>,
    /// What the reconciler said.
    pub verdict: HoldVerdict,
    /// Whether it has been wanted to serve for as long as a cold start takes.
    pub is_due: bool,
}

/// How the target is used: it gets work only when the answer is
/// [`DesiredState::Serve`].
///
/// Two failures are guarded against. A rule turns a shard's only target off,
/// and until another is warm every answer has a hole: a target that serves is
/// used on until a round of the reconciler, under the new revision, has
/// released it. And a target that was off or standing by is sent work before it
/// has heard that it is wanted: it refuses as leaving, and is then left alone
/// for seconds by an owner that takes the refusal for news. So it gets none
/// before it reports that it is ready; a report that never comes, as reports
/// lag and mislead, is waited for no longer than a cold start takes.
pub fn usage(inputs: UsageInputs) -> DesiredState {
    let served = inputs.before == Some(DesiredState::Serve);
    if inputs.wanted == DesiredState::Serve {
        let is_new = inputs.before.is_none();
        let is_ready = inputs.phase == Some(TargetPhase::Ready);
        return match served || is_new || is_ready || inputs.is_due {
            true => DesiredState::Serve,
            false => DesiredState::Standby,
        };
    }
    match inputs.verdict {
        HoldVerdict::Held => DesiredState::Serve,
        HoldVerdict::NotJudged if served => DesiredState::Serve,
        HoldVerdict::NotJudged | HoldVerdict::Released => inputs.wanted,
    }
}
