//! Numbered log events. The catalogue for operators is docs/operators/events.md; a test compares
//! the two.

use strum::EnumIter;
use strum::IntoStaticStr;

/// Kind of a log event. A number never changes its meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum LogEvent {
    /// The process has read its settings and is starting.
    Starting = 100,
    /// The process is ready for callers.
    Ready = 101,
    /// The process was requested to stop.
    Stopping = 102,
    /// The process has finished its work and exits.
    Stopped = 103,
    /// The process stops with requests in flight because the grace period is over.
    StopCutShort = 104,
    /// A worker thread ended although the process was not stopping.
    #[strum(serialize = "duty-ended")]
    WorkerEnded = 105,
    /// The process is listening; it is ready once its configuration is current.
    Listening = 106,
    /// A configuration took effect.
    ConfigInForce = 200,
    /// A configuration older than the one in force was offered and rejected.
    ConfigOlderRefused = 201,
    /// A configuration with the same revision but another edit was offered and rejected.
    ConfigForkRefused = 202,
    /// A configuration failed validation.
    ConfigBroken = 203,
    /// The platform's store does not answer.
    StoreUnreachable = 210,
    /// The platform's store answers again.
    StoreReachable = 211,
    /// A member joined or returned.
    MemberUp = 300,
    /// A member left or is considered dead.
    MemberDown = 301,
    /// The set of groups owned by this host changed.
    OwnershipChanged = 302,
    /// The process detected that it had been paused.
    PauseNoticed = 303,
    /// No host of a zone is reachable.
    ZoneLost = 304,
    /// A zone is reachable again.
    ZoneFound = 305,
    /// A target is unreachable or does not answer.
    TargetLost = 400,
    /// A target answers again.
    TargetBack = 401,
    /// A target sent an answer that does not belong to the request.
    CrossedAnswer = 402,
    /// A target is not in the state that operators want.
    TargetDrift = 403,
    /// A peer sent an invalid message.
    PeerMessageBad = 500,
    /// A log line of the HTTP library.
    HttpLibrary = 900,
}

impl LogEvent {
    /// Number in the catalogue.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Name in the catalogue.
    pub fn name(self) -> &'static str {
        self.into()
    }
}

/// Logs a numbered event: `log_event!(Level::Info, LogEvent::Ready, "listening on {address}")`.
#[macro_export]
macro_rules! log_event {
    ($level:expr, $event:expr, $($text:tt)+) => {
        log::log!(
            target: "hawthornroute", $level,
            "E{:03} {}: {}", $event.number(), $event.name(), format_args!($($text)+)
        )
    };
}
