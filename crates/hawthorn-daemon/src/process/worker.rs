//! Worker threads, without which the process does not continue.

use std::io;
use std::thread;

use log::Level;
use tokio::runtime::Builder;
use tokio_util::sync::CancellationToken;

use crate::process::events::LogEvent;

/// Stops the process when its worker has ended, by return or by panic.
#[derive(Debug)]
struct WorkerGuard {
    name: &'static str,
    stop: CancellationToken,
}

impl Drop for WorkerGuard {
    fn drop(&mut self) {
        if !self.stop.is_cancelled() {
            crate::log_event!(Level::Error, LogEvent::WorkerEnded, "worker {}", self.name);
            self.stop.cancel();
        }
    }
}

/// Runs a worker on its own thread. If it ends while the process is not stopping, an invariant is
/// broken, and the process stops instead of serving without it.
///
/// # Errors
/// If the system refuses a thread or its runtime.
pub fn spawn(
    name: &'static str,
    stop: &CancellationToken,
    worker: impl Future<Output = ()> + Send + 'static,
) -> io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let guard = WorkerGuard { name, stop: stop.clone() };
    thread::Builder::new().name(name.into()).spawn(move || {
        let _guard = guard;
        runtime.block_on(worker);
    })?;
    Ok(())
}
