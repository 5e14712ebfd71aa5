//! Times, bounds and counts of the membership protocol.

use std::time::Duration;

/// Times and bounds of the membership protocol.
#[derive(Clone, Debug)]
pub struct Options {
    /// A hash of the fleet's name; datagrams of other fleets are refused.
    pub fleet: u32,
    /// Between pings to members of the own zone. Every member is pinged about
    /// once in this time, whatever the size of the zone.
    pub heartbeat: Duration,
    /// After so long without an ack, others are asked to ping. Many round
    /// trips within a zone (1 ms), so that a busy member has time to answer.
    pub ack_timeout: Duration,
    /// After so long without an ack by any way, the member is suspect.
    pub probe_timeout: Duration,
    /// How many others are asked to ping.
    pub relays: usize,
    /// How long a suspect may refute. Five heartbeats: with 5 % of datagrams
    /// lost, five pings all fail about once in 100,000.
    pub suspicion_timeout: Duration,
    /// How long a suspect may refute at daemons that only heard of the
    /// suspicion: they confirm it in case the first daemon dies too.
    pub remote_suspicion_timeout: Duration,
    /// Having heard nobody for so long, a daemon takes itself for cut off.
    pub isolation_timeout: Duration,
    /// How long a daemon that is cut off waits before it holds others for dead.
    pub isolated_suspicion_timeout: Duration,
    /// The longest time between pings to members of other zones.
    pub cross_zone_interval: Duration,
    /// The time between pings of all daemons of the own zone to each other
    /// zone, where that takes no more than a ping each heartbeat. An eighth of
    /// the zone timeout, so that eight must be lost.
    pub zone_ping_interval: Duration,
    /// A zone that nothing was heard from for so long is lost. Longer in a
    /// fleet of many zones with few hosts.
    pub zone_timeout: Duration,
    /// Between pings to one dead member of the own zone, or one hinted address
    /// without a live member, so that the parts of a partition find each other.
    pub rejoin_interval: Duration,
    /// Between requests for a part of a member list that differs. While the
    /// parts bring much that is new, the next one is asked for at once.
    pub repair_interval: Duration,
    /// A gap between calls longer than this means that the process stood still.
    pub pause_threshold: Duration,
    /// How long dead members are kept and retried: longer than regions lose
    /// each other.
    pub dead_retention: Duration,
    /// How long members that left are kept, so that late rumors find them.
    pub left_retention: Duration,
    /// Bytes of rumors in one datagram. With ten datagrams a second this is
    /// what bounds a daemon's bytes during a storm of changes.
    pub gossip_bytes: usize,
    /// Each rumor is sent so many times more than the binary logarithm of the
    /// member count. Sent k times by every daemon, it misses one in e^k of
    /// them: one in 3,000 of 8 daemons, one in 10 million of 4,000. Repair
    /// reaches those.
    pub extra_transmissions: u32,
    /// How many members hear at once of a new configuration revision or phase.
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
    /// Datagrams received and understood.
    pub received: u64,
    /// Datagrams refused.
    pub rejected: u64,
    /// Pings through others.
    pub indirect_pings: u64,
    /// Suspicions begun here.
    pub suspicions: u64,
    /// Deaths confirmed here.
    pub deaths: u64,
    /// Times this host refuted.
    pub refutations: u64,
    /// Times this process stood still.
    pub pauses: u64,
}
