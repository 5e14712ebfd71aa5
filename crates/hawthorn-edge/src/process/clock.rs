//! The clock of deadlines and ages.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Time since the host was switched on, the time it was suspended included.
///
/// Failure: a host stands still for seconds, and a clock that stood still with
/// it hands targets time that callers no longer have. The time of day is no
/// measure either, as it jumps.
pub fn host_now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
