//! Counts the requests sent to one cold target.

use std::time::Duration;

use smallvec::SmallVec;

/// The span in which requests are counted: the limit's second, and a margin for the time
/// between the check and the write to the socket.
const SPAN: Duration = Duration::from_millis(1050);

/// Times of recent requests.
#[derive(Clone, Debug, Default)]
pub struct SendMeter {
    sent: SmallVec<[Duration; 4]>,
}

impl SendMeter {
    /// Records a request.
    pub fn record(&mut self, now: Duration) {
        self.sent.retain(|at| now < *at + SPAN);
        self.sent.push(now);
    }

    /// The number of requests in the last second.
    pub fn count(&self, now: Duration) -> u32 {
        self.sent.iter().filter(|at| now < **at + SPAN).count() as u32
    }
}
