//! Counters, histograms and gauges, by opentelemetry, readable at `/metrics`.
//!
//! Each refusal, retry and missing reason has its own series from the start,
//! so that a dashboard shows a zero and not a hole.

use std::time::Duration;

use hawthorn_types::MissingReason;
use hawthorn_types::RefusalReason;
use hawthorn_types::RetryReason;
use hawthorn_types::UnknownReason;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use quick_error::quick_error;
use strum::IntoEnumIterator;

/// Upper bounds of the latency histogram, in seconds: around the 50 ms promise.
const LATENCY_BOUNDS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.015, 0.02, 0.03, 0.05, 0.075, 0.1, 0.2, 0.5, 1.0, 5.0];

quick_error! {
    /// Why metrics could not be set up.
    #[derive(Debug)]
    pub enum Error {
        /// The exporter refused its registry.
        Exporter(text: String) {
            display("metrics exporter: {text}")
        }
    }
}

/// All instruments of the process.
#[derive(Clone, Debug)]
pub struct MetricSet {
    registry: Registry,
    _provider: SdkMeterProvider,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    missing: Counter<u64>,
    unknown: Counter<u64>,
    answers: Counter<u64>,
    dropped: Counter<u64>,
    latency: Histogram<f64>,
    gauges: Gauge<u64>,
    store_calls: Counter<u64>,
}

impl MetricSet {
    /// Instruments with every reason's series at zero.
    ///
    /// # Errors
    /// When the exporter cannot be built.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| Error::Exporter(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("hawthornroute");
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
            registry,
            _provider: provider,
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
    }

    /// Counts requests refused as not run.
    pub fn count_refusals(&self, reason: RefusalReason, count: u64) {
        self.refusals.add(count, &[KeyValue::new("reason", <&'static str>::from(reason))]);
    }

    /// Counts further attempts.
    pub fn count_retries(&self, reason: RetryReason, count: u64) {
        self.retries.add(count, &[KeyValue::new("reason", <&'static str>::from(reason))]);
    }

    /// Counts ranges that an answer does not cover.
    pub fn count_missing(&self, reason: MissingReason, count: u64) {
        self.missing.add(count, &[KeyValue::new("reason", <&'static str>::from(reason))]);
    }

    /// Counts requests of which it is not known whether they ran.
    pub fn count_unknown(&self, reason: UnknownReason, count: u64) {
        self.unknown.add(count, &[KeyValue::new("reason", <&'static str>::from(reason))]);
    }

    /// Counts a request that got an answer, and its time.
    pub fn count_answer(&self, kind: &'static str, elapsed: Duration) {
        self.answers.add(1, &[KeyValue::new("kind", kind)]);
        self.latency.record(elapsed.as_secs_f64(), &[KeyValue::new("kind", kind)]);
    }

    /// Counts answers of targets that came too late or crossed, and were dropped.
    pub fn count_dropped(&self, count: u64) {
        self.dropped.add(count, &[]);
    }

    /// Counts calls on the platform's service.
    pub fn count_store_call(&self, kind: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Sets a gauge: slots in use, pieces queued, members alive, revision in force.
    pub fn set_gauge(&self, name: &'static str, value: u64) {
        self.gauges.record(value, &[KeyValue::new("name", name)]);
    }

    /// The text that `/metrics` answers.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        match TextEncoder::new().encode(&families, &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# metrics could not be encoded: {error}\n"),
        }
    }
}
