//! Queries in flight at one front, in total and for each caller.

use std::time::Duration;

use hawthorn_types::CallerKey;

use crate::window;
use crate::window::CallerWindow;
use crate::window::QueryFeedback;

/// Weight of the newest query in the moving average of query times, as a divisor:
/// the average recovers from a slow period within a few tens of queries.
const SMOOTHING: u32 = 16;

#[derive(Clone, Copy, Debug, Default)]
struct CallerLoad {
    in_flight: u32,
    last_request_at: Option<Duration>,
    window: CallerWindow,
}

/// Load of one front: queries admitted and not yet answered.
#[derive(Clone, Debug, Default)]
pub struct FrontLoad {
    callers: Vec<CallerLoad>,
    in_flight: u32,
    query_time: Duration,
}

impl FrontLoad {
    /// Number of queries in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Number of queries of `caller` in flight.
    pub fn caller_in_flight(&self, caller: CallerKey) -> u32 {
        self.callers.get(caller.index()).map_or(0, |load| load.in_flight)
    }

    /// Moving average of query times; zero before the first query has ended.
    pub fn query_time(&self) -> Duration {
        self.query_time
    }

    /// Number of callers with a query in flight or a request within `window` before `now`.
    pub fn active_callers(&self, now: Duration, window: Duration) -> u32 {
        let count = self.callers.iter().filter(|load| load.is_active(now, window)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// The sum of the unused parts of `share` over all active callers other than
    /// `caller`. A caller is active as in [`FrontLoad::active_callers`].
    pub fn unused_shares(
        &self,
        caller: CallerKey,
        share: u32,
        now: Duration,
        window: Duration,
    ) -> u32 {
        let others = self.callers.iter().enumerate().filter(|(index, _)| *index != caller.index());
        others
            .filter(|(_, load)| load.is_active(now, window))
            .map(|(_, load)| share.saturating_sub(load.in_flight))
            .fold(0, u32::saturating_add)
    }

    /// Whether the caller's window allows one more query.
    pub fn window_allows(&self, caller: CallerKey, options: &window::Options) -> bool {
        let load = self.callers.get(caller.index());
        load.is_none_or(|load| load.window.allows(load.in_flight, options))
    }

    /// Updates the caller's window from a query that ended. Must be called
    /// before [`FrontLoad::record_completion`].
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

    /// Records a request of `caller`, whether or not it is admitted.
    pub fn record_request(&mut self, caller: CallerKey, now: Duration) {
        self.entry(caller).last_request_at = Some(now);
    }

    /// Records that a query of `caller` was admitted.
    pub fn record_admission(&mut self, caller: CallerKey) {
        let load = self.entry(caller);
        load.in_flight = load.in_flight.saturating_add(1);
        self.in_flight = self.in_flight.saturating_add(1);
    }

    /// Records that an admitted query of `caller` ended `elapsed` after its
    /// admission. Must be called exactly once for each admitted query.
    pub fn record_completion(&mut self, caller: CallerKey, elapsed: Duration) {
        let load = self.entry(caller);
        load.in_flight = load.in_flight.saturating_sub(1);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.query_time = match self.query_time {
            Duration::ZERO => elapsed,
            average => average - average / SMOOTHING + elapsed / SMOOTHING,
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
    fn is_active(&self, now: Duration, window: Duration) -> bool {
        let is_recent = self.last_request_at.is_some_and(|at| now.saturating_sub(at) <= window);
        is_recent || self.in_flight > 0
    }
}
