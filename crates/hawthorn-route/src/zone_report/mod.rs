//! Reports within a zone of other zones and gatherers that do not answer.
//!
//! Handles a partition that isolates a zone in which each host sends few requests: each host would
//! collect the evidence of the partition by itself, over several seconds, and callers would be
//! moved to the hosts that have not noticed yet, until the last one has.
//!
//! A host sends its reports to the other hosts of its zone as a [`ZoneMessage`], which replaces its
//! earlier ones. [`book`] keeps what was received and decides what is confirmed, [`readiness`]
//! whether the zone accepts callers, and [`schedule`] when and to whom a message is sent.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

pub mod book;
pub mod readiness;
pub mod schedule;

/// How long a report counts after its evidence, unless it is renewed. Three renewals fit in, so
/// that two lost datagrams do not end it.
pub const REPORT_TTL: Duration = Duration::from_millis(1500);
/// Maximum number of reports of one host: 25 zones would be unreachable for a host that is itself
/// cut off, and the first few move its callers as well as all.
pub const MAX_REPORTS: usize = 12;
/// Maximum length of a zone's name in a report, in bytes. With [`MAX_REPORTS`] a message fits in a
/// payload of 1,150 bytes.
pub const MAX_ZONE_BYTES: usize = 64;

/// What a report is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ReportSubject {
    /// A zone, by name.
    Zone(String),
    /// A host that gathers queries, by the address for its peers.
    Gatherer(SocketAddr),
}

impl ReportSubject {
    /// Whether it is short enough to be reported.
    pub fn is_valid(&self) -> bool {
        match self {
            Self::Zone(name) => !name.is_empty() && name.len() <= MAX_ZONE_BYTES,
            Self::Gatherer(_) => true,
        }
    }
}

/// What a host found out about a subject, in ascending order of certainty.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Finding {
    /// It answers again.
    Answered,
    /// It may be unreachable.
    Suspected,
    /// It is unreachable.
    Unreachable,
}

/// One host's finding about one subject. Times are before the sending of the message, by the
/// sender's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The subject.
    pub subject: ReportSubject,
    /// The finding.
    pub finding: Finding,
    /// Number of unanswered requests or probes.
    pub unanswered: u32,
    /// Time since the first of them.
    pub first_ms: u32,
    /// Time since they sufficed for a suspicion.
    pub suspected_ms: u32,
    /// Time since the finding last held.
    pub age_ms: u32,
}

/// Requests of callers that a host received recently, and how many of them cannot be answered
/// without the zones that it considers unreachable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestDemand {
    /// All requests, in hundredths.
    pub total: u32,
    /// Those that cannot be answered, in hundredths.
    pub lost: u32,
}

impl RequestDemand {
    /// The share of requests that cannot be answered.
    pub fn lost_share(&self) -> f64 {
        if self.total == 0 { 0.0 } else { f64::from(self.lost) / f64::from(self.total) }
    }

    /// The sum of two hosts' demand.
    pub fn plus(self, other: Self) -> Self {
        let total = self.total.saturating_add(other.total);
        Self { total, lost: self.lost.saturating_add(other.lost) }
    }
}

/// All reports of a host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneMessage {
    /// Increases with each message of the host.
    pub sequence: u64,
    /// Whether the host would fail its readiness probe because of unreachable zones without the
    /// reports of others.
    pub fails_alone: bool,
    /// Its requests.
    pub demand: RequestDemand,
    /// Its findings, at most [`MAX_REPORTS`].
    pub reports: Vec<Report>,
}

impl ZoneMessage {
    /// Whether it says that something is wrong or is over.
    pub fn has_content(&self) -> bool {
        self.fails_alone || !self.reports.is_empty()
    }
}
