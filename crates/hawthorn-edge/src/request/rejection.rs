//! Log lines on requests that are rejected for good, with what this host knew of the configuration.

use std::cell::Cell;
use std::time::Duration;

use hawthorn_platform::caller;
use hawthorn_route::customer::log_name;
use hyper::header;
use hyper::http::request::Parts;
use log::Level;

use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::host::RouteHost;
use crate::request::answer::CallerAnswer;

/// Maximum number of lines in one second, so that callers cannot fill the log.
const MAX_LINES: u32 = 20;
const LINE_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of characters that are logged of a text from a caller.
const MAX_TEXT: usize = 64;

/// Limits the number of log lines on rejected requests.
#[derive(Debug, Default)]
pub(crate) struct RejectionLog {
    window: Cell<Duration>,
    lines: Cell<u32>,
    /// Number of rejected requests without a line, since the last line.
    unlogged: Cell<u64>,
}

impl RejectionLog {
    /// Whether a line may be written now, and the number of rejected requests without one since the
    /// last line.
    pub(crate) fn take(&self, now: Duration) -> Option<u64> {
        if now.saturating_sub(self.window.get()) >= LINE_WINDOW {
            self.window.set(now);
            self.lines.set(0);
        }
        if self.lines.get() >= MAX_LINES {
            self.unlogged.set(self.unlogged.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(self.unlogged.take())
    }
}

/// Logs the rejection of a request that was compared with a version of the routes.
pub(crate) fn log(host: &RouteHost, head: &Parts, version: u64, answer: &CallerAnswer) {
    let Some(unlogged) = host.rejection_log.take(host_now()) else { return };
    let headers = caller::read(&head.headers);
    let name = head.headers.get(header::HOST).map(|name| String::from_utf8_lossy(name.as_bytes()));
    let newest = host.routing.newest_table().map_or(0, |table| table.version());
    let age_ms = host.confirmed_age().map_or(-1, |age| age.as_millis() as i64);
    edge_event!(
        Level::Info,
        EdgeEvent::RequestRejected,
        "request={} outcome={} status={} host=\"{}\" path=\"{}\" version={version} newest={newest} \
         age_ms={age_ms} unlogged={unlogged}",
        text(headers.attempt_id.as_deref().unwrap_or("-")),
        answer.outcome,
        answer.response.status().as_u16(),
        text(&name.unwrap_or_default()),
        text(first_segment(head.uri.path()))
    );
}

/// The part of a path that tells routes apart. The rest may contain what callers search for.
fn first_segment(path: &str) -> &str {
    let end = path.match_indices('/').nth(1).map_or(path.len(), |(at, _)| at + 1);
    &path[..end]
}

fn text(text: &str) -> String {
    log_name(&text.chars().take(MAX_TEXT).collect::<String>())
}
