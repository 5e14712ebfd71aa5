//! Numbered log events of a host that routes requests. The catalogue for operators is
//! docs/operators/events-route.md.

use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

/// The kind of a log line. Numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum EdgeEvent {
    /// The process started to serve.
    HostStarted = 600,
    /// The host became ready for callers.
    HostReady = 601,
    /// The stop signal was received.
    HostStopping = 602,
    /// The process is about to exit.
    HostStopped = 603,
    /// Settings were reloaded.
    SettingsReloaded = 604,
    /// A background task of the process failed.
    DutyFailed = 605,
    /// Log lines were dropped because the queue to the writer was full.
    LinesDropped = 606,
    /// Bytes to and from other zones since the start, by purpose.
    ZoneTraffic = 607,
    /// A version of the routes was applied.
    RoutesInForce = 610,
    /// A version of the routes is unreadable; the previous one stays in use.
    RoutesBroken = 611,
    /// The store does not answer.
    StoreLost = 612,
    /// The store answers again.
    StoreBack = 613,
    /// A read or watch of the store returned.
    StoreNews = 614,
    /// The store no longer had the changes after this host's revision, and all items were read.
    StoreReread = 615,
    /// The store was restored from a copy, and this host's mirror entered the new era.
    StoreRestored = 616,
    /// A version of the routes arrived.
    VersionReceived = 617,
    /// A watch of the store did not return changes that reads of the store show.
    WatchLost = 618,
    /// The entry of a target changed.
    TargetChanged = 620,
    /// An entry in the store is unreadable.
    EntryBroken = 621,
    /// How a request ended.
    RequestEnded = 630,
    /// How one attempt of a request ended.
    AttemptEnded = 631,
    /// An attempt was late, and a hedge was sent or could not be.
    AttemptLate = 632,
    /// A zone became unreachable or reachable.
    ZoneReach = 622,
    /// Operators started or ended the evacuation of a zone.
    EvacuationChanged = 624,
    /// The evacuation entry of a zone is unreadable and was ignored.
    EvacuationBroken = 625,
    /// The result of claiming or renewing a slot for requests to cold targets.
    ColdSlotWritten = 626,
    /// A version of the routes has an invalid rate for cold targets; the previous rate stays in
    /// use.
    ColdRateBroken = 627,
    /// The host fails its readiness probe, or recovers, because a large part of its requests
    /// cannot be answered from its zone.
    HostStranded = 623,
    /// The result of delegating some of a request's shards to a peer.
    ShardsDelegated = 633,
    /// A streamed answer was cut off.
    AnswerCut = 634,
    /// A request head took too long to arrive, or is malformed or too large.
    HeadRefused = 635,
    /// Shards gathered by this host that have no part in the answer.
    PartsMissing = 636,
    /// The connection to a target failed after the request was sent.
    AttemptBroken = 637,
    /// The quarantine state of a request, caller or route changed.
    QuarantineChanged = 638,
    /// A target's answer does not echo the id of the request to which it was due.
    AnswerMismatched = 639,
    /// A peer's message is malformed.
    PeerMessageBroken = 640,
    /// The peer that provides the store's items was not confirmed by the store recently.
    PeerStale = 642,
    /// This host fetched newer items from a peer than its own source had.
    CaughtUp = 643,
    /// The peer that provides the store's items has no link capacity for an update, or peers did not
    /// answer, and this host reads the store itself.
    UpdateDeferred = 644,
    /// A peer's update of the store's items arrived.
    UpdateReceived = 645,
    /// A peer stopped waiting for the shards that this host gathers for it.
    QueryWithdrawn = 646,
    /// The customers of a version came into force.
    CustomersInForce = 650,
    /// A part of a version's customers was not applied as written.
    CustomersBroken = 651,
    /// Requests with keys are refused, as the configuration was not confirmed recently.
    KeysStale = 652,
    /// Requests with keys are served again.
    KeysCurrent = 653,
    /// The result of claiming, renewing or releasing a slot for quotas.
    QuotaSlotWritten = 654,
    /// A request exceeds its customer's quota.
    QuotaExceeded = 655,
    /// Requests waited for capacity, or were rejected because it was short.
    DispatchQueue = 656,
    /// Hosts of this zone reported a zone or a gatherer that does not answer, or made this host
    /// fail its readiness probe.
    ZoneReport = 658,
    /// Shards that a peer did not gather were delegated to another one.
    QueryRegathered = 659,
    /// A request was rejected for good, as it does not fit the configuration.
    RequestRejected = 660,
    /// A connection was closed to make room for others.
    ConnectionEvicted = 661,
    /// A host of the fleet came up, went down or is leaving.
    PeerChanged = 641,
}

impl EdgeEvent {
    /// The number in the catalogue.
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// Writes a numbered log line of `key=value` pairs.
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
