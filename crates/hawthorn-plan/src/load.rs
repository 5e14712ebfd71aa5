//! What one front has in flight, in all and for each caller.

use std::time::Duration;

use hawthorn_types::CallerKey;

use crate::window;
use crate::window::CallerWindow;
use crate::window::QueryFeedback;

/// Weight of the newest query in the smoothed time of a query, as a divisor:
/// the average forgets a slow spell after some tens of queries.
const SMOOTHING: u32 = 16;

#[derive(Clone, Copy, Debug, Default)]
struct CallerLoad {
    in_flight: u32,
    asked_at: Option<Duration>,
    window: CallerWindow,
}

/// The queries that a front has admitted and not yet answered.
#[derive(Clone, Debug, Default)]
pub struct FrontLoad {
    callers: Vec<CallerLoad>,
    in_flight: u32,
    query_time: Duration,
}

impl FrontLoad {
    /// Queries in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Queries of `caller` in flight.
    pub fn caller_in_flight(&self, caller: CallerKey) -> u32 {
        self.callers.get(caller.index()).map_or(0, |load| load.in_flight)
    }

    /// How long a query has taken of late, smoothed; zero before the first.
    pub fn query_time(&self) -> Duration {
        self.query_time
    }

    /// Callers that have a query in flight or asked within `window` before `now`.
    pub fn present(&self, now: Duration, window: Duration) -> u32 {
        let count = self.callers.iter().filter(|load| load.is_present(now, window)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// The parts of their `share` that callers other than `caller`, present
    /// as in [`FrontLoad::present`], do not use, added up.
    pub fn unused_shares(
        &self,
        caller: CallerKey,
        share: u32,
        now: Duration,
        window: Duration,
    ) -> u32 {
        let others = self.callers.iter().enumerate().filter(|(index, _)| *index != caller.index());
        others
            .filter(|(_, load)| load.is_present(now, window))
            .map(|(_, load)| share.saturating_sub(load.in_flight))
            .fold(0, u32::saturating_add)
    }

    /// Whether the caller's window lets one more query in.
    pub fn window_allows(&self, caller: CallerKey, options: &window::Options) -> bool {
        let load = self.callers.get(caller.index());
        load.is_none_or(|load| load.window.allows(load.in_flight, options))
    }

    /// Takes in what a query of `caller` that ended says of the load. To be
    /// called before [`FrontLoad::record_completion`].
    pub fn record_feedback(
        &mut self,
        caller: CallerKey,
        now: Duration,
        end: &QueryFeedback,
        options: &window::Options,
    ) {
        let load = self.entry(caller);
        load.window.update(now, load.in_flight, end, options);
    }

    /// Notes that `caller` asked, whatever comes of it.
    pub fn record_request(&mut self, caller: CallerKey, now: Duration) {
        self.entry(caller).asked_at = Some(now);
    }

    /// Notes that a query of `caller` was admitted.
    pub fn record_admission(&mut self, caller: CallerKey) {
        let load = self.entry(caller);
        load.in_flight = load.in_flight.saturating_add(1);
        self.in_flight = self.in_flight.saturating_add(1);
    }

    /// Notes that an admitted query of `caller` was answered `took` after it
    /// was admitted. To be called exactly once for each admitted query.
    pub fn record_completion(&mut self, caller: CallerKey, took: Duration) {
        let load = self.entry(caller);
        load.in_flight = load.in_flight.saturating_sub(1);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.query_time = match self.query_time {
            Duration::ZERO => took,
            before => before - before / SMOOTHING + took / SMOOTHING,
        };
    }

    fn entry(&mut self, caller: CallerKey) -> &mut CallerLoad {
        if self.callers.len() <= caller.index() {
            self.callers.resize(caller.index() + 1, CallerLoad::default());
        }
        &mut self.callers[caller.index()]
    }
}

impl CallerLoad {
    fn is_present(&self, now: Duration, window: Duration) -> bool {
        let asked = self.asked_at.is_some_and(|at| now.saturating_sub(at) <= window);
        asked || self.in_flight > 0
    }
}
