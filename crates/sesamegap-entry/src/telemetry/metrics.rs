//! Counters and latency histograms, in the text form of Prometheus.
//!
//! Labels are bounded: a kind of route, an outcome, a status class. Nothing of a request's content,
//! key or team is in them. `docs/OPERATIONS.md` lists names and units.

use crate::catalogue::Kind;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use std::time::Duration;

/// Bounds of the latency histograms in seconds, closest around the usual objectives.
const SECONDS: &[f64] = &[
    0.02, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.8, 1.0, 1.5, 2.5, 4.0, 6.0, 15.0,
];

/// Figures read when metrics are asked for.
#[derive(Debug, Clone, Copy)]
pub struct Levels {
    /// Requests being worked on.
    pub active: usize,
    /// Revision of the document in force.
    pub revision: u64,
    /// Timeline of the store.
    pub timeline: u64,
    /// Upstreams known.
    pub upstreams: usize,
    /// Peers that answer.
    pub peers: usize,
    /// Requests that run on trial only.
    pub suspects: usize,
    /// Requests that are refused since upstreams end under them.
    pub quarantined: usize,
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
    took: Histogram<f64>,
    first: Histogram<f64>,
    levels: Gauge<u64>,
}

impl Metrics {
    /// Sets up all metrics.
    ///
    /// # Errors
    /// If the exporter cannot be set up.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("sesamegap");
        let seconds = |name: &'static str, about: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(about)
                .with_unit("s")
                .with_boundaries(SECONDS.to_vec())
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
            took: seconds("sesamegap_request", "Time from a request's head to its end"),
            first: seconds(
                "sesamegap_first_event",
                "Time to the first event of a stream",
            ),
            levels: meter
                .u64_gauge("sesamegap_level")
                .with_description("Present figures, by name")
                .build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts a request that ended; no status if its caller left.
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
        self.took.record(took.as_secs_f64(), &labels);
        if let Some(first) = first {
            self.first.record(first.as_secs_f64(), &[kind]);
        }
    }

    /// Counts an attempt that brought no answer.
    pub fn count_failed_attempt(&self, reason: &'static str) {
        self.attempts.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a request refused before it was placed.
    pub fn refused(&self, status: u16) {
        let status = KeyValue::new("status", i64::from(status));
        self.refusals.add(1, &[status]);
    }

    /// All metrics as text.
    ///
    /// # Errors
    /// If they cannot be written.
    pub fn text(&self, levels: Levels) -> anyhow::Result<String> {
        let figures = [
            ("active", levels.active as u64),
            ("revision", levels.revision),
            ("timeline", levels.timeline),
            ("upstreams", levels.upstreams as u64),
            ("peers", levels.peers as u64),
            ("suspect_requests", levels.suspects as u64),
            ("quarantined_requests", levels.quarantined as u64),
            ("log_lines_dropped", levels.dropped as u64),
        ];
        for (name, figure) in figures {
            self.levels.record(figure, &[KeyValue::new("name", name)]);
        }
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8(text)?)
    }
}
