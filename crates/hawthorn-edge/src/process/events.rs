//! Numbered log events of a host that routes requests. The catalogue for
//! operators is docs/operators/events.md.

use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

/// One kind of log line. The number never changes meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum EdgeEvent {
    /// The process begins to serve.
    HostStarted = 600,
    /// The host takes callers from now on.
    HostReady = 601,
    /// The order to stop came.
    HostStopping = 602,
    /// The process ends.
    HostStopped = 603,
    /// Settings were read again.
    SettingsReloaded = 604,
    /// A duty of the process ended with an error.
    DutyFailed = 605,
    /// Log lines were dropped because they came faster than they are written.
    LinesDropped = 606,
    /// Bytes to and from other zones since the start, by purpose.
    ZoneTraffic = 607,
    /// A version of the routes came into force.
    RoutesInForce = 610,
    /// A version of the routes cannot be read; the one before stays in force.
    RoutesBroken = 611,
    /// The store does not answer.
    StoreLost = 612,
    /// The store answers again.
    StoreBack = 613,
    /// A reading or a watch of the store brought something, or nothing.
    StoreNews = 614,
    /// The belief about a target changed.
    TargetChanged = 620,
    /// An entry in the store names no target.
    EntryBroken = 621,
    /// How a request ended.
    RequestEnded = 630,
    /// How one attempt of a request ended.
    AttemptEnded = 631,
    /// An attempt was late and another was made, or could not be.
    AttemptLate = 632,
    /// A zone's targets cannot be reached, or can again.
    ZoneReach = 622,
    /// Operators evacuated a zone, or ended its evacuation.
    EvacuationChanged = 624,
    /// The evacuation of a zone cannot be read, and changes nothing.
    EvacuationBroken = 625,
    /// A slot for requests to cold targets was claimed or renewed, or could not be.
    ColdSlotWritten = 626,
    /// A version of the routes states no usable rate for cold targets; the one before holds.
    ColdRateBroken = 627,
    /// The host steps aside, or takes callers again: whole kinds of requests
    /// cannot be answered from here.
    HostStranded = 623,
    /// Some of a request's shards were gathered by a peer, or were not.
    ShardsDelegated = 633,
    /// A long answer broke off while it was passed on.
    AnswerCut = 634,
    /// The head of a request took too long to come.
    HeadRefused = 635,
    /// Shards of a query that were to be had here and have no part in its answer.
    PartsMissing = 636,
    /// The connection to a target failed after the request was sent.
    AttemptBroken = 637,
    /// The quarantine state of a request, caller or route changed.
    QuarantineChanged = 638,
    /// A peer's message could not be understood.
    PeerMessageBroken = 640,
    /// The host that news comes from has not been confirmed by the store lately.
    PeerStale = 642,
    /// A peer knew more of the store than this host's source, and told it.
    CaughtUp = 643,
    /// A host of the fleet was heard of, or no longer is.
    PeerChanged = 641,
}

impl EdgeEvent {
    /// The number that the catalogue lists.
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// Writes one numbered line of `key=value` pairs.
#[macro_export]
macro_rules! edge_event {
    ($level:expr, $event:expr, $($text:tt)+) => {
        log::log!(
            target: "edge",
            $level,
            "E{} {}: {}",
            $event.number(),
            $event,
            format_args!($($text)+)
        )
    };
}
