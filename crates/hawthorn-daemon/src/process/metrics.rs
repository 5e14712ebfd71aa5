//! Counters, histograms and gauges through OpenTelemetry, exported at `/metrics`.
//!
//! Each refusal, retry and missing reason has its own series from the start, so that dashboards
//! show zero instead of no data.

use std::time::Duration;

use hawthorn_decide::counter::OwnerCounters;
use hawthorn_metrics::Error;
use hawthorn_metrics::MetricExporter;
use hawthorn_types::MissingReason;
use hawthorn_types::RefusalReason;
use hawthorn_types::RetryReason;
use hawthorn_types::UnknownReason;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use strum::IntoEnumIterator;

/// Upper bounds of the latency histogram in seconds, densest around the target latency of 50 ms.
const LATENCY_BOUNDS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.015, 0.02, 0.03, 0.05, 0.075, 0.1, 0.2, 0.5, 1.0, 5.0];

/// All instruments of the process.
#[derive(Clone, Debug)]
pub struct MetricSet {
    exporter: MetricExporter,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    missing: Counter<u64>,
    unknown: Counter<u64>,
    answers: Counter<u64>,
    dropped: Counter<u64>,
    latency: Histogram<f64>,
    gauges: Gauge<u64>,
    store_calls: Counter<u64>,
    pieces: Counter<u64>,
}

impl MetricSet {
    /// Creates the instruments, with the series of every reason at zero.
    ///
    /// # Errors
    /// If the exporter cannot be built.
    pub fn new() -> Result<Self, Error> {
        let exporter = MetricExporter::new()?;
        let meter = exporter.meter();
        let set = Self {
            refusals: meter.u64_counter("hawthorn_refusals").build(),
            retries: meter.u64_counter("hawthorn_retries").build(),
            missing: meter.u64_counter("hawthorn_missing_ranges").build(),
            unknown: meter.u64_counter("hawthorn_unknown_outcomes").build(),
            answers: meter.u64_counter("hawthorn_answers").build(),
            dropped: meter.u64_counter("hawthorn_dropped_answers").build(),
            latency: meter
                .f64_histogram("hawthorn_query_seconds")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            gauges: meter.u64_gauge("hawthorn_gauge").build(),
            store_calls: meter.u64_counter("hawthorn_store_calls").build(),
            pieces: meter.u64_counter("hawthorn_owner_pieces").build(),
            exporter,
        };
        set.start_at_zero();
        Ok(set)
    }

    fn start_at_zero(&self) {
        RefusalReason::iter().for_each(|reason| self.count_refusals(reason, 0));
        RetryReason::iter().for_each(|reason| self.count_retries(reason, 0));
        MissingReason::iter().for_each(|reason| self.count_missing(reason, 0));
        UnknownReason::iter().for_each(|reason| self.count_unknown(reason, 0));
        self.dropped.add(0, &[]);
        let zero = OwnerCounters::default();
        self.count_owner(&zero, &zero);
    }

    /// Adds the increase of an owner's counters since they were last exported. They count pieces,
    /// each one shard's part of a query; the front's own counters count requests.
    pub fn count_owner(&self, previous: &OwnerCounters, current: &OwnerCounters) {
        for reason in RefusalReason::iter() {
            self.count_piece(
                "refused",
                reason.into(),
                previous.refused(reason),
                current.refused(reason),
            );
        }
        for reason in RetryReason::iter() {
            self.count_piece(
                "retried",
                reason.into(),
                previous.retried(reason),
                current.retried(reason),
            );
        }
        for reason in MissingReason::iter() {
            self.count_piece(
                "missing",
                reason.into(),
                previous.missing(reason),
                current.missing(reason),
            );
        }
        for reason in UnknownReason::iter() {
            self.count_piece(
                "unknown",
                reason.into(),
                previous.unknown(reason),
                current.unknown(reason),
            );
        }
        let totals = [
            ("attempts", previous.attempts, current.attempts),
            ("answered", previous.answered, current.answered),
            ("late-answers", previous.late_answers, current.late_answers),
            ("crossed-answers", previous.crossed_answers, current.crossed_answers),
            ("ejections", previous.ejections, current.ejections),
            (
                "hedges-without-budget",
                previous.hedges_without_budget,
                current.hedges_without_budget,
            ),
            ("hedges-without-slot", previous.hedges_without_slot, current.hedges_without_slot),
        ];
        for (what, previous, current) in totals {
            self.count_piece(what, "", previous, current);
        }
    }

    fn count_piece(&self, what: &'static str, reason: &'static str, previous: u64, current: u64) {
        let labels = [KeyValue::new("what", what), KeyValue::new("reason", reason)];
        self.pieces.add(current.saturating_sub(previous), &labels);
    }

    /// Counts requests refused without being run.
    pub fn count_refusals(&self, reason: RefusalReason, count: u64) {
        self.refusals.add(count, &[KeyValue::new("reason", <&'static str>::from(reason))]);
    }

    /// Counts hedges and retries.
    pub fn count_retries(&self, reason: RetryReason, count: u64) {
        self.retries.add(count, &[KeyValue::new("reason", <&'static str>::from(reason))]);
    }

    /// Counts ranges that an answer does not cover.
    pub fn count_missing(&self, reason: MissingReason, count: u64) {
        self.missing.add(count, &[KeyValue::new("reason", <&'static str>::from(reason))]);
    }

    /// Counts requests for which it is unknown whether they ran.
    pub fn count_unknown(&self, reason: UnknownReason, count: u64) {
        self.unknown.add(count, &[KeyValue::new("reason", <&'static str>::from(reason))]);
    }

    /// Counts an answered request and records its latency.
    pub fn count_answer(&self, kind: &'static str, elapsed: Duration) {
        self.answers.add(1, &[KeyValue::new("kind", kind)]);
        self.latency.record(elapsed.as_secs_f64(), &[KeyValue::new("kind", kind)]);
    }

    /// Counts answers dropped because they were late or did not belong to their request.
    pub fn count_dropped(&self, count: u64) {
        self.dropped.add(count, &[]);
    }

    /// Counts calls to the platform's store.
    pub fn count_store_call(&self, kind: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Sets a gauge, such as slots in use, queued pieces, live members or the revision in force.
    pub fn set_gauge(&self, name: &'static str, value: u64) {
        self.gauges.record(value, &[KeyValue::new("name", name)]);
    }

    /// Renders the text served at `/metrics`.
    pub fn render(&self) -> String {
        self.exporter.text()
    }
}
