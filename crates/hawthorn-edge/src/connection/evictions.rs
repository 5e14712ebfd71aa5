//! Logs connections that are closed to make room for others.

use hawthorn_connections::table::Eviction;
use log::Level;

use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::request::rejection::RejectionLog;

/// Logs the evictions of a listener, a limited number in a second.
pub(crate) fn logger(listener: &'static str) -> impl FnMut(Eviction) + Send + 'static {
    let limit = RejectionLog::default();
    move |eviction| {
        let Some(unlogged) = limit.take(host_now()) else { return };
        let Eviction { cause, bytes, connections, held } = eviction;
        let cause: &str = cause.into();
        edge_event!(
            Level::Info,
            EdgeEvent::ConnectionEvicted,
            "listener={listener} cause={cause} bytes={bytes} connections={connections} held={held} \
             unlogged={unlogged}"
        );
    }
}
