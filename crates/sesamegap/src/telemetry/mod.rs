//! Logging and metrics.
//!
//! Metrics go through `opentelemetry` and come out in the text form of Prometheus. Each process
//! owns its meter, so that several can run in one program and each shows only its own figures.

mod logging;

pub use logging::{Format, init, init_quiet};

use crate::router::streams::{Answer, End};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use sesamegap_policy::{Placement, RefusalCode};
use sesamegap_upstream::Ran;
use sesamegap_wire::{ClassId, Tokens};
use std::time::Duration;

/// Bounds of the first-token histogram in seconds, closest around the classes' deadlines.
const FIRST_TOKEN: &[f64] = &[
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.51, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0,
];

/// Figures that are read when metrics are asked for.
#[derive(Debug, Clone, Copy)]
pub struct Gauges {
    /// Requests being worked on.
    pub flights: usize,
    /// Requests waiting for a decision.
    pub queued: usize,
    /// Messages waiting for the decider.
    pub ring: usize,
    /// Answers kept.
    pub answers: usize,
    /// Bytes of finished answers kept.
    pub bytes: usize,
    /// Other routers known to be alive.
    pub peers: usize,
    /// Revision of the settings in force.
    pub settings: u64,
    /// Offset of the settings record that is read next.
    pub offset: u64,
    /// Time since the log was last read with success.
    pub age: Duration,
}

/// Metrics of one process.
#[derive(Debug)]
pub struct Telemetry {
    registry: Registry,
    provider: SdkMeterProvider,
    requests: Counter<u64>,
    decisions: Counter<u64>,
    answers: Counter<u64>,
    calls: Counter<u64>,
    tokens: Counter<u64>,
    first: Histogram<f64>,
    gauges: Gauge<f64>,
}

impl Telemetry {
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
        let counter = |name, what| meter.u64_counter(name).with_description(what).build();
        Ok(Self {
            requests: counter("sesamegap_requests", "Requests let in"),
            decisions: counter("sesamegap_decisions", "Decisions by outcome and reason"),
            answers: counter("sesamegap_answers", "Answers by how they ended"),
            calls: counter(
                "sesamegap_calls",
                "Calls to plain services by how they ended",
            ),
            tokens: counter(
                "sesamegap_prompt_tokens",
                "Prompt tokens by hit or recomputed",
            ),
            first: meter
                .f64_histogram("sesamegap_first_token_seconds")
                .with_description("Time from arrival to the first token")
                .with_boundaries(FIRST_TOKEN.to_vec())
                .build(),
            gauges: meter
                .f64_gauge("sesamegap_router")
                .with_description("State of the router by what it counts")
                .build(),
            registry,
            provider,
        })
    }

    /// For figures that are read when metrics are asked for.
    pub fn meter(&self) -> Meter {
        self.provider.meter("sesamegap")
    }

    /// Records the figures that are read when metrics are asked for.
    pub fn set(&self, gauges: &Gauges) {
        let figures = [
            ("flights", gauges.flights as f64),
            ("queued", gauges.queued as f64),
            ("decider_ring", gauges.ring as f64),
            ("answers_kept", gauges.answers as f64),
            ("answer_bytes_kept", gauges.bytes as f64),
            ("peers", gauges.peers as f64),
            ("settings_revision", gauges.settings as f64),
            ("log_offset", gauges.offset as f64),
            ("log_age_seconds", gauges.age.as_secs_f64()),
        ];
        for (what, figure) in figures {
            self.gauges.record(figure, &[KeyValue::new("what", what)]);
        }
    }

    /// Counts a request that was let in.
    pub fn asked(&self) {
        self.requests.add(1, &[]);
    }

    /// Counts a placement.
    pub fn sent(&self, _at: &Placement, _prompt: Tokens) {
        let labels = [
            KeyValue::new("outcome", "send"),
            KeyValue::new("reason", "placed"),
        ];
        self.decisions.add(1, &labels);
    }

    /// Counts a second attempt beside a late first one.
    pub fn hedged(&self) {
        let labels = [
            KeyValue::new("outcome", "hedge"),
            KeyValue::new("reason", "late"),
        ];
        self.decisions.add(1, &labels);
    }

    /// Counts a refusal.
    pub fn refused(&self, code: RefusalCode) {
        let labels = [
            KeyValue::new("outcome", "refuse"),
            KeyValue::new("reason", code.to_string()),
        ];
        self.decisions.add(1, &labels);
    }

    /// Counts the prompt tokens that an engine found cached and those it computes.
    pub fn cached(&self, prompt: Tokens, cached: Tokens) {
        let kind = |kind| [KeyValue::new("kind", kind)];
        self.tokens.add(cached.0, &kind("hit"));
        self.tokens.add((prompt - cached).0, &kind("recomputed"));
    }

    /// Records the time to the first token.
    pub fn first(&self, class: &ClassId, took: Duration) {
        let labels = [KeyValue::new("class", class.to_string())];
        self.first.record(took.as_secs_f64(), &labels);
    }

    /// Counts the end of an answer.
    pub fn ended(&self, answer: &Answer) {
        let how = match answer.end() {
            Some(End::Failed(error)) => error.code,
            _ => "whole",
        };
        self.answers.add(1, &[KeyValue::new("end", how)]);
    }

    /// Counts the end of a call to a plain service.
    pub fn called(&self, end: &End) {
        let how = match end {
            End::Failed(error) if error.ran == Ran::No => "not_run",
            End::Failed(_) => "unknown",
            _ => "whole",
        };
        self.calls.add(1, &[KeyValue::new("end", how)]);
    }

    /// All metrics in the text form of Prometheus.
    ///
    /// # Errors
    /// If a metric cannot be written as text.
    pub fn text(&self) -> anyhow::Result<String> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8(text)?)
    }
}
