//! Panics, as log lines and a counter.
//!
//! The runtime ends only the task that panics, and the default hook writes to standard error, which
//! is not collected with the log.

use std::panic;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use log::Level;

use crate::edge_event;
use crate::process::events::EdgeEvent;

static COUNT: AtomicU64 = AtomicU64::new(0);

/// Logs and counts every panic of the process from now on.
pub fn report() {
    let write_to_stderr = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        COUNT.fetch_add(1, Ordering::Relaxed);
        let message = info.payload_as_str().unwrap_or("no message").replace('\n', " ");
        let place =
            info.location().map_or_else(String::new, |at| format!("{}:{}", at.file(), at.line()));
        edge_event!(
            Level::Error,
            EdgeEvent::DutyFailed,
            "duty=task at={place} error=\"{message}\""
        );
        write_to_stderr(info);
    }));
}

/// Number of panics since the start.
pub fn count() -> u64 {
    COUNT.load(Ordering::Relaxed)
}
