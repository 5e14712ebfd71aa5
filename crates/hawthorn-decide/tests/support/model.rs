//! A reference model that checks the invariants of an owner's actions at each call and each action.

use std::collections::HashMap;

use hawthorn_decide::AttemptResult;
use hawthorn_decide::OwnerAction;
use hawthorn_decide::OwnerState;
use hawthorn_decide::PieceKey;
use hawthorn_decide::PieceResult;
use hawthorn_decide::QueuedPiece;
use hawthorn_decide::TickTime;
use hawthorn_decide::admit;
use hawthorn_types::AttemptId;
use hawthorn_types::TargetKey;
use hawthorn_types::target::TargetRefusal;

#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    pub attempt: AttemptId,
    pub piece: PieceKey,
    pub target: TargetKey,
    pub sent_at: TickTime,
    pub result: Option<AttemptResult>,
    pub closed: bool,
}

/// An owner and the record of its actions.
pub struct Model {
    pub owner: OwnerState,
    pub now: TickTime,
    pub pieces: HashMap<PieceKey, (QueuedPiece, Option<PieceResult>)>,
    pub attempts: Vec<SentAttempt>,
    slots: u16,
}

impl Model {
    pub fn new(owner: OwnerState, slots: u16) -> Self {
        let pieces = HashMap::new();
        Self { owner, now: TickTime(0), pieces, attempts: Vec::new(), slots }
    }

    pub fn submit(&mut self, piece: QueuedPiece) -> Result<admit::Outcome, String> {
        let outcome = self.owner.submit(self.now, piece);
        if outcome == admit::Outcome::Queued {
            self.pieces.insert(piece.piece, (piece, None));
        }
        self.check_actions()?;
        Ok(outcome)
    }

    /// Attempts whose end has not been reported, including cancelled ones.
    pub fn open(&self) -> Vec<usize> {
        let open = |index: &usize| {
            let attempt = &self.attempts[*index];
            attempt.result.is_none() && !attempt.closed
        };
        (0..self.attempts.len()).filter(open).collect()
    }

    pub fn complete(&mut self, index: usize, result: AttemptResult) -> Result<(), String> {
        let attempt = &mut self.attempts[index];
        attempt.result = attempt.result.or(Some(result));
        let id = attempt.attempt;
        self.owner.complete(self.now, id, result);
        self.check_actions()
    }

    /// Drops finished pieces and attempts, to bound memory in long runs.
    pub fn drop_finished(&mut self) {
        self.attempts.retain(|sent| sent.result.is_none() && !sent.closed);
        self.pieces.retain(|_, (_, result)| result.is_none());
    }

    pub fn advance(&mut self, span: u64) -> Result<(), String> {
        let until = TickTime(self.now.0 + span);
        while let Some(wake) = self.owner.next_wake().filter(|wake| *wake <= until) {
            self.now = self.now.max(wake);
            self.owner.tick(self.now);
            self.check_actions()?;
        }
        self.now = until;
        Ok(())
    }

    /// Polls all actions and checks each.
    pub fn check_actions(&mut self) -> Result<(), String> {
        while let Some(action) = self.owner.poll_action() {
            match action {
                OwnerAction::Send { attempt, piece, target, .. } => {
                    self.on_send(attempt, piece, target)?;
                }
                OwnerAction::Finish { piece, result } => self.on_finish(piece, result)?,
                OwnerAction::Close { attempt, .. } => {
                    let sent = self.attempts.iter_mut().find(|sent| sent.attempt == attempt);
                    sent.ok_or("closed an attempt that was never sent")?.closed = true;
                }
                OwnerAction::Cancel { .. } | OwnerAction::Probe { .. } => {}
            }
        }
        Ok(())
    }

    fn on_send(
        &mut self,
        attempt: AttemptId,
        piece: PieceKey,
        target: TargetKey,
    ) -> Result<(), String> {
        let (request, result) = self.pieces.get(&piece).copied().map_or_else(
            // A piece can be sent within the call that submits it.
            || Err(format!("sent a piece that was never submitted: {piece:?}")),
            Ok,
        )?;
        if result.is_some() {
            return Err(format!("sent {piece:?} after its end"));
        }
        if request.at_most_once && self.attempts.iter().any(|sent| sent.piece == piece) {
            return Err(format!("sent the non-idempotent {piece:?} twice"));
        }
        if self.attempts.iter().any(|sent| sent.attempt == attempt) {
            return Err(format!("used {attempt:?} twice"));
        }
        let sent_at = self.now;
        self.attempts.push(SentAttempt {
            attempt,
            piece,
            target,
            sent_at,
            result: None,
            closed: false,
        });
        let open = self.open();
        let held = open.iter().filter(|index| self.attempts[**index].target == target).count();
        if held > usize::from(self.slots) {
            return Err(format!("{target:?} holds {held} attempts"));
        }
        Ok(())
    }

    fn on_finish(&mut self, piece: PieceKey, result: PieceResult) -> Result<(), String> {
        let (request, recorded) =
            self.pieces.get_mut(&piece).ok_or("finished a piece never submitted")?;
        if let Some(earlier) = recorded {
            return Err(format!("{piece:?} finished as {earlier:?} and as {result:?}"));
        }
        *recorded = Some(result);
        let at_most_once = request.at_most_once;
        let sent_attempts = self.attempts.iter().filter(|sent| sent.piece == piece);
        let may_have_reached = sent_attempts.clone().any(|sent| may_have_run(sent.result));
        let consistent = match result {
            PieceResult::Answered { attempt, target } => sent_attempts.clone().any(|sent| {
                sent.attempt == attempt
                    && sent.target == target
                    && sent.result == Some(AttemptResult::Answered)
            }),
            PieceResult::Missing(_) => !at_most_once,
            PieceResult::NotRun(_) => at_most_once && !may_have_reached,
            PieceResult::Unknown(_) | PieceResult::Failed(_) => at_most_once && may_have_reached,
            PieceResult::Cancelled { sent } => sent || !may_have_reached,
        };
        if consistent { Ok(()) } else { Err(format!("{piece:?} finished as {result:?}")) }
    }
}

fn may_have_run(result: Option<AttemptResult>) -> bool {
    match result {
        Some(AttemptResult::ConnectionFailed { sent }) => sent,
        Some(AttemptResult::Refused(refusal)) => refusal == TargetRefusal::Cancelled,
        _ => true,
    }
}
