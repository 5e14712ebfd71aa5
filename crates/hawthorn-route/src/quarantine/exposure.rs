//! Outcomes of one request's attempts, and when they count as a strike.

/// How an attempt ended, for crash detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target returned a response.
    Answered,
    /// The connection closed while the request was in progress.
    Crashed,
    /// Any other end, which is no evidence about the request.
    Other,
}

/// Crashes after which a round counts as a strike while attempts are still in flight.
const EARLY_STRIKE_CRASHES: u32 = 3;

/// Attempt history of one request at one host.
///
/// A round is a set of attempts that are in flight concurrently. A round with crashes
/// and no answer counts as one strike regardless of the number of targets, because
/// they may share an unrelated cause.
#[derive(Clone, Debug, Default)]
pub struct Exposure {
    in_flight: u32,
    extra: u32,
    answered: bool,
    crashed: bool,
    round_crashes: u32,
    round_struck: bool,
}

impl Exposure {
    /// The history of a request that a target has already answered through another host.
    pub fn answered() -> Self {
        Self { answered: true, ..Self::default() }
    }

    /// Records that a target answered the request through another host.
    pub fn answer(&mut self) {
        self.answered = true;
    }

    /// Records that an attempt was sent.
    pub fn record_sent(&mut self, extra: bool) {
        self.in_flight += 1;
        self.extra += u32::from(extra);
    }

    /// Records the end of an attempt; returns true if it completes a strike.
    pub fn record_end(&mut self, outcome: AttemptOutcome) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            AttemptOutcome::Answered => self.answered = true,
            AttemptOutcome::Crashed => {
                self.crashed = true;
                self.round_crashes += 1;
            }
            AttemptOutcome::Other => {}
        }
        let round_ended = self.in_flight == 0;
        let crashes = self.round_crashes;
        let struck = !self.answered
            && !self.round_struck
            && (crashes >= EARLY_STRIKE_CRASHES || (round_ended && crashes > 0));
        self.round_struck |= struck;
        if round_ended {
            self.round_crashes = 0;
            self.round_struck = false;
        }
        struck
    }

    /// Whether a target has answered the request.
    pub fn is_answered(&self) -> bool {
        self.answered
    }

    /// Whether a target crashed while running the request.
    pub fn has_crashed(&self) -> bool {
        self.crashed
    }

    /// The number of attempts that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The number of extra attempts sent.
    pub fn extra(&self) -> u32 {
        self.extra
    }
}
