//! When a host's reports are sent, and to which hosts of its zone.
//!
//! Handles a partition in a large fleet, in which all hosts of a zone report at the same time: the
//! number of datagrams that a host sends is bounded by renewals at a fixed interval, a minimum gap
//! and a maximum number of receivers.

use std::net::SocketAddr;
use std::time::Duration;

use crate::zone_report::Finding;
use crate::zone_report::ReportSubject;
use crate::zone_report::ZoneMessage;

/// Interval at which reports are renewed while they hold.
pub const RENEW_PERIOD: Duration = Duration::from_millis(500);
/// Minimum time between two messages, also after changes.
pub const MIN_SEND_GAP: Duration = Duration::from_millis(50);
/// Maximum number of receivers of a message. Successive messages go to different hosts; in a zone
/// of 160 hosts, three renewals reach each of them.
pub const MAX_RECEIVERS: usize = 64;

/// The part of a message whose change is sent at once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct MessageContent {
    fails_alone: bool,
    findings: Vec<(ReportSubject, Finding)>,
}

impl MessageContent {
    fn of(message: &ZoneMessage) -> Self {
        let findings = message.reports.iter();
        let findings = findings.map(|report| (report.subject.clone(), report.finding)).collect();
        Self { fails_alone: message.fails_alone, findings }
    }
}

/// When a host sent its last message, and what it said.
#[derive(Clone, Debug, Default)]
pub struct SendSchedule {
    last_sent: Option<Duration>,
    last_content: MessageContent,
    rounds: usize,
}

impl SendSchedule {
    /// Whether the message is to be sent now. If so, it counts as sent.
    pub fn take_due(&mut self, message: &ZoneMessage, now: Duration) -> bool {
        let content = MessageContent::of(message);
        let gap = match (content != self.last_content, message.has_content()) {
            (true, _) => MIN_SEND_GAP,
            (false, true) => RENEW_PERIOD,
            (false, false) => return false,
        };
        if self.last_sent.is_some_and(|last| now < last + gap) {
            return false;
        }
        self.last_sent = Some(now);
        self.last_content = content;
        self.rounds = self.rounds.wrapping_add(1);
        true
    }

    /// The receivers of the message that was taken last, among the other live hosts of the zone.
    pub fn receivers(&self, mut peers: Vec<SocketAddr>, own: SocketAddr) -> Vec<SocketAddr> {
        if peers.is_empty() {
            return peers;
        }
        peers.sort_unstable();
        // Hosts start at different places, so that each of them is reached by some at once.
        let place = peers.partition_point(|peer| *peer < own);
        let start = place.wrapping_add(self.rounds.wrapping_mul(MAX_RECEIVERS)) % peers.len();
        peers.rotate_left(start);
        peers.truncate(MAX_RECEIVERS);
        peers
    }
}
