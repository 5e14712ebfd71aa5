//! The lines of one request, written together when it has ended.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthorn_route::fingerprint::RequestFingerprint;
use hawthorn_route::outcome::AttemptEnd;
use log::Level;

use crate::edge_event;
use crate::process::events::EdgeEvent;

/// One calm request in so many is told of with all its attempts.
const CALM_SAMPLE: u32 = 64;

/// What happened to one attempt.
#[derive(Clone, Debug)]
pub(crate) struct AttemptNote {
    pub(crate) service: Rc<str>,
    pub(crate) target: Rc<str>,
    pub(crate) zone: Rc<str>,
    pub(crate) after: Duration,
    pub(crate) took: Duration,
    pub(crate) end: AttemptEnd,
    pub(crate) load: u32,
    pub(crate) speed: f64,
}

/// What came of shards that a peer gathered.
#[derive(Clone, Debug)]
pub(crate) struct DelegateNote {
    pub(crate) peer: SocketAddr,
    pub(crate) zone: Rc<str>,
    pub(crate) shards: usize,
    pub(crate) took: Duration,
    pub(crate) outcome: &'static str,
}

/// What is told of one request.
#[derive(Debug, Default)]
pub(crate) struct RequestStory {
    notes: Vec<AttemptNote>,
    late: Vec<(String, Duration, &'static str)>,
    delegated: Vec<DelegateNote>,
    missing: Vec<(String, &'static str)>,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub(crate) struct RequestSummary<'a> {
    pub(crate) number: u32,
    pub(crate) id: &'a str,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) caller: Option<IpAddr>,
    pub(crate) route: &'a str,
    pub(crate) version: u64,
    pub(crate) outcome: &'static str,
    pub(crate) status: u16,
    pub(crate) took: Duration,
    pub(crate) left: Duration,
    /// Milliseconds before the time at which it had to leave; below zero after it.
    pub(crate) early: f64,
    /// The way to the caller and back, if the kernel told it.
    pub(crate) round_trip: Option<Duration>,
    pub(crate) parts: Option<(usize, usize)>,
    /// Shards that were not asked for.
    pub(crate) skipped: usize,
}

impl RequestStory {
    /// An attempt ended.
    pub(crate) fn note(&mut self, note: AttemptNote) {
        self.notes.push(note);
    }

    /// An attempt at a service was late after `waited`.
    pub(crate) fn late(&mut self, service: &str, waited: Duration, decision: &'static str) {
        self.late.push((service.to_owned(), waited, decision));
    }

    /// A peer's shards came, or did not.
    pub(crate) fn delegated(&mut self, note: DelegateNote) {
        self.delegated.push(note);
    }

    /// A shard that was to be had here has no part.
    pub(crate) fn missing(&mut self, service: &str, why: &'static str) {
        self.missing.push((service.to_owned(), why));
    }

    /// Writes which shards have no part, and why. A host that gathered some for a
    /// peer writes this line alone: the peer tells the rest.
    pub(crate) fn tell_missing(&self, id: &str) {
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

    /// Writes the lines: all of a request that did not go well, of the others
    /// one in [`CALM_SAMPLE`], or every one when debug lines are written.
    pub(crate) fn tell(&self, summary: &RequestSummary<'_>, calm: bool) {
        let sampled = summary.number.is_multiple_of(CALM_SAMPLE);
        if calm && !sampled && !log::log_enabled!(target: "edge", Level::Debug) {
            return;
        }
        // How many requests the line stands for.
        let weight = if calm && sampled { CALM_SAMPLE } else { 1 };
        let RequestSummary { id, fingerprint, route, version, outcome, status, .. } = summary;
        let caller = summary.caller.map_or_else(|| "-".to_owned(), |caller| caller.to_string());
        let (had, all) = summary.parts.unwrap_or((0, 0));
        edge_event!(
            Level::Info,
            EdgeEvent::RequestEnded,
            "request={id} route={route} version={version} outcome={outcome} status={status} \
             ms={:.1} left_ms={} early_ms={:.1} way_ms={:.1} parts={had}/{all} skipped={} \
             weight={weight} caller={caller} fingerprint={fingerprint}",
            millis(summary.took),
            summary.left.as_millis(),
            summary.early,
            summary.round_trip.map_or(-1.0, millis),
            summary.skipped
        );
        self.tell_missing(id);
        for (service, waited, decision) in &self.late {
            edge_event!(
                Level::Info,
                EdgeEvent::AttemptLate,
                "request={id} service={service} after_ms={:.1} decision={decision}",
                millis(*waited)
            );
        }
        for note in &self.delegated {
            let DelegateNote { peer, zone, shards, outcome, .. } = note;
            edge_event!(
                Level::Info,
                EdgeEvent::ShardsDelegated,
                "request={id} peer={peer} zone={zone} shards={shards} decision=delegated \
                 outcome={outcome} took_ms={:.1}",
                millis(note.took)
            );
        }
        for note in &self.notes {
            let AttemptNote { service, target, zone, end, load, .. } = note;
            edge_event!(
                Level::Info,
                EdgeEvent::AttemptEnded,
                "request={id} service={service} target={target} zone={zone} end={end} at_ms={:.1} \
                 took_ms={:.1} load={load} speed={:.2}",
                millis(note.after),
                millis(note.took),
                note.speed
            );
        }
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
