//! The log lines of one request, written together when it has ended.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthorn_route::customer::log_name;
use hawthorn_route::fingerprint::RequestFingerprint;
use hawthorn_route::outcome::AttemptEnd;
use log::Level;

use crate::connection::head::UnreadTime;
use crate::edge_event;
use crate::process::events::EdgeEvent;

/// One in this number of requests that succeed on time is logged, with all its attempts.
const SAMPLE_INTERVAL: u32 = 64;

/// The log record of one attempt.
#[derive(Clone, Debug)]
pub(crate) struct AttemptRecord {
    pub(crate) service: Rc<str>,
    pub(crate) target: Rc<str>,
    pub(crate) zone: Rc<str>,
    /// Time from the start of the request until the attempt was sent.
    pub(crate) after: Duration,
    pub(crate) elapsed: Duration,
    pub(crate) end: AttemptEnd,
    /// Why the request was not sent, if it was not.
    pub(crate) not_sent: Option<String>,
    pub(crate) load: u32,
    pub(crate) slowdown: f64,
}

/// The log record of shards that a peer gathered.
#[derive(Clone, Debug)]
pub(crate) struct DelegationRecord {
    pub(crate) peer: SocketAddr,
    pub(crate) zone: Rc<str>,
    pub(crate) shards: usize,
    pub(crate) elapsed: Duration,
    pub(crate) outcome: &'static str,
}

/// What is logged of one request.
#[derive(Debug, Default)]
pub(crate) struct RequestLog {
    attempts: Vec<AttemptRecord>,
    late: Vec<(String, Duration, &'static str)>,
    delegated: Vec<DelegationRecord>,
    missing: Vec<(String, &'static str)>,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub(crate) struct RequestSummary<'a> {
    pub(crate) number: u32,
    pub(crate) id: &'a str,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) caller: Option<IpAddr>,
    /// Name of the customer, if the request needed a key.
    pub(crate) customer: Option<&'a str>,
    pub(crate) route: &'a str,
    pub(crate) version: u64,
    pub(crate) outcome: &'static str,
    pub(crate) status: u16,
    pub(crate) elapsed: Duration,
    pub(crate) left: Duration,
    /// Milliseconds from the end of the request until its send deadline; negative if it ended
    /// later.
    pub(crate) early_ms: f64,
    /// Round-trip time to the caller, if the kernel measured it.
    pub(crate) round_trip: Option<Duration>,
    /// How long its head may have waited before it was read.
    pub(crate) unread: UnreadTime,
    pub(crate) parts: Option<(usize, usize)>,
    /// Number of skipped shards.
    pub(crate) skipped: usize,
}

impl RequestLog {
    /// Adds an attempt that ended.
    pub(crate) fn add_attempt(&mut self, record: AttemptRecord) {
        self.attempts.push(record);
    }

    /// Adds the decision on a hedge for an attempt that was late after `waited`.
    pub(crate) fn add_late(&mut self, service: &str, waited: Duration, decision: &'static str) {
        self.late.push((service.to_owned(), waited, decision));
    }

    /// Adds the result of a delegation to a peer.
    pub(crate) fn add_delegation(&mut self, record: DelegationRecord) {
        self.delegated.push(record);
    }

    /// Adds a local shard that has no part.
    pub(crate) fn add_missing(&mut self, service: &str, why: &'static str) {
        self.missing.push((service.to_owned(), why));
    }

    /// Logs which shards have no part, and why. A host that gathered shards for a peer logs
    /// only this line; the peer logs the rest.
    pub(crate) fn write_missing(&self, id: &str) {
        if self.missing.is_empty() {
            return;
        }
        let shards: Vec<String> =
            self.missing.iter().map(|(service, why)| format!("{service}:{why}")).collect();
        edge_event!(
            Level::Info,
            EdgeEvent::PartsMissing,
            "request={id} shards={}",
            shards.join(",")
        );
    }

    /// Logs the request: always if it failed or was late, otherwise one in [`SAMPLE_INTERVAL`],
    /// or every one if debug logging is enabled.
    pub(crate) fn write(&self, summary: &RequestSummary<'_>, on_time: bool) {
        let sampled = summary.number.is_multiple_of(SAMPLE_INTERVAL);
        if on_time && !sampled && !log::log_enabled!(target: "edge", Level::Debug) {
            return;
        }
        // Number of requests that the line represents.
        let weight = if on_time && sampled { SAMPLE_INTERVAL } else { 1 };
        let RequestSummary { id, fingerprint, route, version, outcome, status, .. } = summary;
        let caller = summary.caller.map_or_else(|| "-".to_owned(), |caller| caller.to_string());
        let customer = summary.customer.map(|name| format!(" customer=\"{}\"", log_name(name)));
        let customer = customer.unwrap_or_default();
        let (received, all) = summary.parts.unwrap_or((0, 0));
        edge_event!(
            Level::Info,
            EdgeEvent::RequestEnded,
            "request={id} route={route} version={version} outcome={outcome} status={status} \
             ms={:.1} left_ms={} early_ms={:.1} way_ms={:.1} unread_ms={:.1} \
             socket_ms={} parts={received}/{all} skipped={} weight={weight} caller={caller} \
             fingerprint={fingerprint}{customer}",
            millis(summary.elapsed),
            summary.left.as_millis(),
            summary.early_ms,
            summary.round_trip.map_or(-1.0, millis),
            millis(summary.unread.estimate),
            summary.unread.in_socket.as_millis(),
            summary.skipped
        );
        self.write_missing(id);
        for (service, waited, decision) in &self.late {
            edge_event!(
                Level::Info,
                EdgeEvent::AttemptLate,
                "request={id} service={service} after_ms={:.1} decision={decision}",
                millis(*waited)
            );
        }
        for record in &self.delegated {
            let DelegationRecord { peer, zone, shards, outcome, .. } = record;
            edge_event!(
                Level::Info,
                EdgeEvent::ShardsDelegated,
                "request={id} peer={peer} zone={zone} shards={shards} decision=delegated \
                 outcome={outcome} took_ms={:.1}",
                millis(record.elapsed)
            );
        }
        for record in &self.attempts {
            let AttemptRecord { service, target, zone, end, load, .. } = record;
            let error = record.not_sent.as_ref();
            let error = error.map(|text| format!(" error=\"{text}\"")).unwrap_or_default();
            edge_event!(
                Level::Info,
                EdgeEvent::AttemptEnded,
                "request={id} service={service} target={target} zone={zone} end={end} at_ms={:.1} \
                 took_ms={:.1} load={load} speed={:.2}{error}",
                millis(record.after),
                millis(record.elapsed),
                record.slowdown
            );
        }
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
