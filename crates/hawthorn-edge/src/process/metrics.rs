//! Counters and histograms, by opentelemetry, in Prometheus' text format.
//!
//! Every label value of a counter is initialized to zero, so that dashboards show a zero and
//! not a gap.

use std::time::Duration;

use hawthorn_connections::table::EvictionCause;
use hawthorn_metrics::Error;
use hawthorn_metrics::MetricExporter;
use hawthorn_route::customer::KeyRefusalCause;
use hawthorn_route::customer::KeyRejection;
use hawthorn_route::dispatch::DispatchCounts;
use hawthorn_route::outcome::AttemptEnd;
use hawthorn_route::outcome::RefusalReason;
use hawthorn_route::quarantine::ChangeKind;
use hawthorn_store::StoreClient;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use strum::IntoEnumIterator;

use crate::process::panics;
use crate::process::traffic::TrafficAccount;

/// Bucket bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS: [f64; 12] =
    [0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0, 3.0];

/// Bucket bounds of the histogram of deviations from the send deadline, in seconds.
const DEPARTURE_BOUNDS: [f64; 8] = [0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128];

/// What happened to a token of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum TokenEnd {
    /// A request of this host took it.
    Granted,
    /// A request of this host was refused without it.
    Denied,
    /// Its request did not run.
    Returned,
    /// This host granted it from a slot that it holds.
    Issued,
}

/// All instruments of a host that routes requests.
#[derive(Clone, Debug)]
pub struct EdgeMetrics {
    exporter: MetricExporter,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    key_rejections: Counter<u64>,
    key_refusals: Counter<u64>,
    attempts: Counter<u64>,
    extra_attempts: Counter<u64>,
    missing: Counter<u64>,
    evictions: Counter<u64>,
    quarantine: Counter<u64>,
    quota: Counter<u64>,
    dispatch: Counter<u64>,
    traffic: Counter<u64>,
    latency: Histogram<f64>,
    departure: Histogram<f64>,
    gauges: Gauge<u64>,
}

impl EdgeMetrics {
    /// Creates the instruments, with all series at zero.
    ///
    /// # Errors
    /// When the exporter cannot be built.
    pub fn new() -> Result<Self, Error> {
        let exporter = MetricExporter::new()?;
        let meter = exporter.meter();
        let set = Self {
            requests: meter.u64_counter("hawthorn_route_requests").build(),
            refusals: meter.u64_counter("hawthorn_route_refusals").build(),
            key_rejections: meter.u64_counter("hawthorn_route_key_rejections").build(),
            key_refusals: meter.u64_counter("hawthorn_route_key_refusals").build(),
            attempts: meter.u64_counter("hawthorn_route_attempts").build(),
            extra_attempts: meter.u64_counter("hawthorn_route_extra_attempts").build(),
            missing: meter.u64_counter("hawthorn_route_missing_parts").build(),
            evictions: meter.u64_counter("hawthorn_route_evictions").build(),
            quarantine: meter.u64_counter("hawthorn_route_quarantine_changes").build(),
            quota: meter.u64_counter("hawthorn_route_quota_tokens").build(),
            dispatch: meter.u64_counter("hawthorn_route_dispatch").build(),
            traffic: meter.u64_counter("hawthorn_route_zone_bytes").build(),
            latency: meter
                .f64_histogram("hawthorn_route_request_seconds")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            departure: meter
                .f64_histogram("hawthorn_route_departure_seconds")
                .with_boundaries(DEPARTURE_BOUNDS.to_vec())
                .build(),
            gauges: meter.u64_gauge("hawthorn_route_state").build(),
            exporter,
        };
        RefusalReason::iter().for_each(|reason| set.count_refusal(reason, 0));
        KeyRejection::iter().for_each(|rejection| set.count_key_rejection(rejection, 0));
        KeyRefusalCause::iter().for_each(|cause| set.count_key_refusal(cause, 0));
        AttemptEnd::iter().for_each(|end| set.count_attempt(end, 0));
        for reason in ["late", "retry", "budget-spent"] {
            set.count_extra(reason, 0);
        }
        ChangeKind::iter().for_each(|kind| set.count_quarantine(kind, 0));
        TokenEnd::iter().for_each(|end| set.count_tokens(end, 0));
        set.count_dispatch(&DispatchCounts::default());
        EvictionCause::iter().for_each(|cause| set.count_evictions(cause, 0));
        set.missing.add(0, &[]);
        let panics = meter.u64_observable_counter("hawthorn_route_panics");
        // The provider keeps the callback, so the instrument can be dropped.
        let _instrument =
            panics.with_callback(|observer| observer.observe(panics::count(), &[])).build();
        Ok(set)
    }

    /// Exports the client's calls to the store, by kind and outcome. The store bills each call.
    pub fn observe_store_calls(&self, client: StoreClient) {
        let meter = self.exporter.meter();
        let bytes_client = client.clone();
        let bytes = meter.u64_observable_counter("hawthorn_route_store_bytes");
        let bytes = bytes.with_callback(move |observer| {
            for (kind, count) in bytes_client.counts().bytes() {
                observer.observe(count, &[KeyValue::new("kind", <&'static str>::from(kind))]);
            }
        });
        // The provider keeps the callbacks, so the instruments can be dropped.
        let _instrument = bytes.build();
        let calls = meter.u64_observable_counter("hawthorn_route_store_calls");
        let calls = calls.with_callback(move |observer| {
            for (kind, outcome, count) in client.counts().iter() {
                let labels = [
                    KeyValue::new("kind", <&'static str>::from(kind)),
                    KeyValue::new("outcome", <&'static str>::from(outcome)),
                ];
                observer.observe(count, &labels);
            }
        });
        let _instrument = calls.build();
    }

    /// Counts a request that ended.
    pub fn count_request(&self, outcome: &'static str, elapsed: Duration) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
        self.latency.record(elapsed.as_secs_f64(), &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the deviation of an answer's send time `now` from its send deadline.
    pub fn count_departure(&self, send_deadline: Duration, now: Duration) {
        let (side, deviation) = match now.checked_sub(send_deadline) {
            None => ("early", send_deadline - now),
            Some(late) => ("late", late),
        };
        self.departure.record(deviation.as_secs_f64(), &[KeyValue::new("side", side)]);
    }

    /// Counts requests refused for a reason.
    pub fn count_refusal(&self, reason: RefusalReason, count: u64) {
        self.refusals.add(count, &[KeyValue::new("reason", <&'static str>::from(reason))]);
    }

    /// Counts requests whose key was not accepted.
    pub fn count_key_rejection(&self, rejection: KeyRejection, count: u64) {
        let reason = <&'static str>::from(rejection);
        self.key_rejections.add(count, &[KeyValue::new("reason", reason)]);
    }

    /// Counts requests that were refused because their key may have been or was revoked.
    pub fn count_key_refusal(&self, cause: KeyRefusalCause, count: u64) {
        self.key_refusals.add(count, &[KeyValue::new("cause", <&'static str>::from(cause))]);
    }

    /// Counts attempts that ended.
    pub fn count_attempt(&self, end: AttemptEnd, count: u64) {
        self.attempts.add(count, &[KeyValue::new("end", <&'static str>::from(end))]);
    }

    /// Counts extra attempts that were made or denied, by reason.
    pub fn count_extra(&self, reason: &'static str, count: u64) {
        self.extra_attempts.add(count, &[KeyValue::new("reason", reason)]);
    }

    /// Counts parts that are missing from an answer.
    pub fn count_missing(&self, parts: usize) {
        self.missing.add(parts as u64, &[]);
    }

    /// Counts connections that were closed to make room for others, by what was short.
    pub fn count_evictions(&self, cause: EvictionCause, count: u64) {
        self.evictions.add(count, &[KeyValue::new("cause", <&'static str>::from(cause))]);
    }

    /// Counts changes of quarantine records.
    pub fn count_quarantine(&self, kind: ChangeKind, count: u64) {
        self.quarantine.add(count, &[KeyValue::new("change", <&'static str>::from(kind))]);
    }

    /// Counts tokens of quotas.
    pub fn count_tokens(&self, end: TokenEnd, count: u64) {
        self.quota.add(count, &[KeyValue::new("end", <&'static str>::from(end))]);
    }

    /// Counts what happened to requests in the dispatcher.
    pub fn count_dispatch(&self, change: &DispatchCounts) {
        let DispatchCounts { requested, retried, queued, overtook, rejected } = *change;
        let counts = [
            ("requested", requested),
            ("retried", retried),
            ("queued", queued),
            ("overtook", overtook),
            ("rejected", rejected),
        ];
        for (name, count) in counts {
            self.dispatch.add(count, &[KeyValue::new("event", name)]);
        }
    }

    /// Exports the bytes between this host's zone and others.
    pub fn export_traffic(&self, account: &TrafficAccount) {
        account.export(&self.traffic);
    }

    /// Sets a gauge of the host's state.
    pub fn set_gauge(&self, name: &'static str, value: u64) {
        self.gauges.record(value, &[KeyValue::new("of", name)]);
    }

    /// All metrics in Prometheus' text format.
    pub fn text(&self) -> String {
        self.exporter.text()
    }
}
