//! The clock for deadlines and ages.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Time since boot, including time for which the host was suspended.
///
/// A host may be suspended for seconds. With a clock that stops meanwhile, targets would get
/// deadlines that have already passed for callers. Wall-clock time is not suitable either, as it
/// can jump.
pub fn host_now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
