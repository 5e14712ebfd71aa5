//! Numbered log events. The catalogue for operators is docs/operators/events.md;
//! a test keeps the two in step.

use strum::EnumIter;
use strum::IntoStaticStr;

/// One kind of log line. The number never changes meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum LogEvent {
    /// The process has read its settings and begins to start.
    Starting = 100,
    /// The process is ready for callers.
    Ready = 101,
    /// The process was asked to stop.
    Stopping = 102,
    /// The process has finished its work and exits.
    Stopped = 103,
    /// The process stops with requests still in flight, its grace being over.
    StopCutShort = 104,
    /// A duty's thread ended although the process was not stopping.
    DutyEnded = 105,
    /// The process listens; it is ready once its configuration is current.
    Listening = 106,
    /// A configuration came into force.
    ConfigInForce = 200,
    /// A configuration older than the one in force was offered and refused.
    ConfigOlderRefused = 201,
    /// A configuration of the same revision but another edit was offered and refused.
    ConfigForkRefused = 202,
    /// A configuration was offered that does not pass its checks.
    ConfigBroken = 203,
    /// The platform's store does not answer.
    StoreUnreachable = 210,
    /// The platform's store answers again.
    StoreReachable = 211,
    /// A member joined or came back.
    MemberUp = 300,
    /// A member left or is believed dead.
    MemberDown = 301,
    /// The groups that this host owns have changed.
    OwnershipChanged = 302,
    /// The process noticed that it had been paused.
    PauseNoticed = 303,
    /// Nothing is heard from any host of a zone.
    ZoneLost = 304,
    /// A zone is heard from again.
    ZoneFound = 305,
    /// A target cannot be reached, or answers nothing.
    TargetLost = 400,
    /// A target answers again.
    TargetBack = 401,
    /// A target answered something that was not the answer to its request.
    CrossedAnswer = 402,
    /// A target does not follow what operators want of it.
    TargetDrift = 403,
    /// A peer sent a message that could not be understood.
    PeerMessageBad = 500,
    /// A line from the HTTP library.
    HttpLibrary = 900,
}

impl LogEvent {
    /// The number that the catalogue lists.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// The name that the catalogue lists.
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
