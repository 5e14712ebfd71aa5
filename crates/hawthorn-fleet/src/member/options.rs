//! Options and counters of the membership protocol.

use std::time::Duration;

/// Intervals and limits of the membership protocol.
#[derive(Clone, Debug)]
pub struct Options {
    /// A hash of the fleet's name; datagrams of other fleets are rejected.
    pub fleet: u32,
    /// Interval between a daemon's pings to members of its own zone. Every member is pinged about
    /// once in this interval, regardless of the size of the zone.
    pub heartbeat: Duration,
    /// Time without an ack after which relays are asked to ping. Many round trips within a zone (1
    /// ms), so that a busy member has time to answer.
    pub ack_timeout: Duration,
    /// Time without a direct or relayed ack after which the member is suspect.
    pub probe_timeout: Duration,
    /// Number of members that are asked to relay a ping.
    pub relays: usize,
    /// How long a suspect may refute. Five heartbeats: with 5 % of datagrams lost, five pings all
    /// fail about once in 100,000.
    pub suspicion_timeout: Duration,
    /// How long a suspect may refute at daemons that learned of the suspicion by gossip: they
    /// confirm it in case the suspecting daemon dies too.
    pub remote_suspicion_timeout: Duration,
    /// Time without receiving anything after which a daemon considers itself isolated.
    pub isolation_timeout: Duration,
    /// How long an isolated daemon waits before it declares others dead.
    pub isolated_suspicion_timeout: Duration,
    /// Maximum interval between a daemon's pings to members of other zones.
    pub cross_zone_interval: Duration,
    /// Interval between the pings that all daemons of a zone together send to each other zone, as
    /// far as one ping per heartbeat allows. An eighth of the zone timeout, so that a zone is lost
    /// only after eight lost pings.
    pub zone_ping_interval: Duration,
    /// Silence after which a zone is lost. Extended in a fleet of many zones with few hosts.
    pub zone_timeout: Duration,
    /// Interval between a daemon's pings to one dead member of its own zone, or to one seed address
    /// without a live member, so that the sides of a partition rejoin.
    pub rejoin_interval: Duration,
    /// Interval between requests for a page of a member list that differs. While pages contain
    /// changes, the next one is requested immediately.
    pub repair_interval: Duration,
    /// A longer gap between calls means that the process was paused.
    pub pause_threshold: Duration,
    /// How long dead members are kept and pinged: longer than a partition between regions lasts.
    pub dead_retention: Duration,
    /// How long members that left are kept, so that delayed updates still find their records.
    pub left_retention: Duration,
    /// Bytes of updates in one datagram. With ten datagrams per second this bounds a daemon's
    /// traffic during bursts of changes.
    pub gossip_bytes: usize,
    /// Number of transmissions of each update beyond the binary logarithm of the member count. An
    /// update sent k times by every daemon misses one in e^k of them: one in 3,000 of 8 daemons,
    /// one in 10 million of 4,000. Repair reaches those.
    pub extra_transmissions: u32,
    /// Number of members that are notified immediately of a new configuration revision or phase.
    pub push_fanout: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            fleet: 0,
            heartbeat: Duration::from_millis(200),
            ack_timeout: Duration::from_millis(80),
            probe_timeout: Duration::from_millis(320),
            relays: 2,
            suspicion_timeout: Duration::from_secs(1),
            remote_suspicion_timeout: Duration::from_secs(3),
            isolation_timeout: Duration::from_millis(600),
            isolated_suspicion_timeout: Duration::from_secs(5),
            cross_zone_interval: Duration::from_secs(1),
            zone_ping_interval: Duration::from_millis(500),
            zone_timeout: Duration::from_secs(4),
            rejoin_interval: Duration::from_secs(5),
            repair_interval: Duration::from_secs(2),
            pause_threshold: Duration::from_secs(1),
            dead_retention: Duration::from_secs(3 * 60 * 60),
            left_retention: Duration::from_secs(10 * 60),
            gossip_bytes: 300,
            extra_transmissions: 4,
            push_fanout: 3,
        }
    }
}

/// Counts since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent, without UDP and IP headers.
    pub sent_bytes: u64,
    /// Valid datagrams received.
    pub received: u64,
    /// Datagrams rejected.
    pub rejected: u64,
    /// Pings requested from relays.
    pub indirect_pings: u64,
    /// Suspicions started by this daemon.
    pub suspicions: u64,
    /// Deaths confirmed by this daemon.
    pub deaths: u64,
    /// Suspicions of this host that it refuted.
    pub refutations: u64,
    /// Pauses of this process.
    pub pauses: u64,
}
