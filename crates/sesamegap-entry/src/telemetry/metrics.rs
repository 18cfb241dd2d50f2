//! Counters, gauges and latency histograms, in the text format of Prometheus.
//!
//! Labels have few values: a kind of route, an outcome, a status class. They hold nothing of a
//! request's content, key or team. `docs/OPERATIONS.md` lists names and units.

use crate::catalogue::Kind;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use std::time::Duration;

/// Bucket bounds of the latency histograms in seconds, densest around the usual objectives.
const LATENCY_BUCKETS: &[f64] = &[
    0.02, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.8, 1.0, 1.5, 2.5, 4.0, 6.0, 15.0,
];

/// Values of the gauges, read for each scrape.
#[derive(Debug, Clone, Copy)]
pub struct GaugeValues {
    /// Requests in flight.
    pub active: usize,
    /// Revision of the document in force.
    pub revision: u64,
    /// Current timeline of the store.
    pub timeline: u64,
    /// Known upstreams.
    pub upstreams: usize,
    /// Peers that answer.
    pub peers: usize,
    /// Suspect requests, which run only on trial.
    pub suspects: usize,
    /// Quarantined requests, which are refused since they crash upstreams.
    pub quarantined: usize,
    /// Upstreams that name a limit on requests.
    pub limited: usize,
    /// Whether this VM reaches no upstream.
    pub partitioned: bool,
    /// Bytes held of answers that cannot be passed on yet.
    pub answer_bytes: usize,
    /// Most such bytes held at once since the start.
    pub answer_peak: usize,
    /// Log lines dropped since the start.
    pub dropped: usize,
}

/// Metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    refusals: Counter<u64>,
    quota_refusals: Counter<u64>,
    put_offs: Counter<u64>,
    relayed: Counter<u64>,
    resumptions: Counter<u64>,
    request_time: Histogram<f64>,
    first_event_time: Histogram<f64>,
    gauges: Gauge<u64>,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// If the exporter cannot be built.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("sesamegap");
        let latency = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(description)
                .with_unit("s")
                .with_boundaries(LATENCY_BUCKETS.to_vec())
                .build()
        };
        Ok(Self {
            requests: meter
                .u64_counter("sesamegap_requests")
                .with_description("Requests that ended, by kind of route and status class")
                .build(),
            attempts: meter
                .u64_counter("sesamegap_attempts")
                .with_description("Attempts at upstreams that brought no answer, by reason")
                .build(),
            refusals: meter
                .u64_counter("sesamegap_refusals")
                .with_description("Requests refused before they were placed, by status")
                .build(),
            quota_refusals: meter
                .u64_counter("sesamegap_quota_refusals")
                .with_description("Requests refused for a team's rate limit, by status")
                .build(),
            put_offs: meter
                .u64_counter("sesamegap_put_off")
                .with_description("Decisions not to place a prompt now, by outcome and priority")
                .build(),
            relayed: meter
                .u64_counter("sesamegap_relayed")
                .with_description("Requests sent on for peers, by outcome")
                .build(),
            resumptions: meter
                .u64_counter("sesamegap_resumptions")
                .with_description("Streams that callers took up again, by outcome")
                .build(),
            request_time: latency("sesamegap_request", "Time from a request's head to its end"),
            first_event_time: latency(
                "sesamegap_first_event",
                "Time to the first event of a stream",
            ),
            gauges: meter
                .u64_gauge("sesamegap_level")
                .with_description("Present figures, by name")
                .build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts a completed request; `status` is unset if its caller disconnected.
    pub fn record_request(
        &self,
        kind: Kind,
        status: Option<u16>,
        took: Duration,
        first: Option<Duration>,
    ) {
        let kind = KeyValue::new("kind", kind.name());
        let class = match status {
            Some(status) => format!("{}xx", status / 100),
            None => "left".to_owned(),
        };
        let labels = [kind.clone(), KeyValue::new("status", class)];
        self.requests.add(1, &labels);
        self.request_time.record(took.as_secs_f64(), &labels);
        if let Some(first) = first {
            self.first_event_time.record(first.as_secs_f64(), &[kind]);
        }
    }

    /// Counts an attempt without a response.
    pub fn count_failed_attempt(&self, reason: &'static str) {
        self.attempts.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a request that was refused before it was placed.
    pub fn count_refusal(&self, status: u16) {
        let status = KeyValue::new("status", i64::from(status));
        self.refusals.add(1, &[status]);
    }

    /// Counts a request that was refused for its team's rate limit.
    pub fn count_quota_refusal(&self, status: u16) {
        let status = KeyValue::new("status", i64::from(status));
        self.quota_refusals.add(1, &[status]);
    }

    /// Counts a decision not to place a prompt now: it waits or is refused.
    pub fn count_put_off(&self, is_refused: bool, priority: u8) {
        let outcome = if is_refused { "refused" } else { "waits" };
        let labels = [
            KeyValue::new("outcome", outcome),
            KeyValue::new("priority", i64::from(priority)),
        ];
        self.put_offs.add(1, &labels);
    }

    /// Counts a stream that a caller takes up again.
    pub fn count_resumption(&self, outcome: &'static str) {
        self.resumptions
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request that this VM sent on for a peer, or declined to.
    pub fn count_relayed(&self, outcome: &'static str) {
        self.relayed.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// All metrics as text.
    ///
    /// # Errors
    /// If they cannot be encoded.
    pub fn text(&self, values: GaugeValues) -> anyhow::Result<String> {
        let gauges = [
            ("active", values.active as u64),
            ("revision", values.revision),
            ("timeline", values.timeline),
            ("upstreams", values.upstreams as u64),
            ("peers", values.peers as u64),
            ("suspect_requests", values.suspects as u64),
            ("quarantined_requests", values.quarantined as u64),
            ("limited_upstreams", values.limited as u64),
            ("partitioned", u64::from(values.partitioned)),
            ("answer_bytes", values.answer_bytes as u64),
            ("answer_bytes_peak", values.answer_peak as u64),
            ("log_lines_dropped", values.dropped as u64),
        ];
        for (name, value) in gauges {
            self.gauges.record(value, &[KeyValue::new("name", name)]);
        }
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8(text)?)
    }
}
