//! Logging and metrics.
//!
//! Metrics go through `opentelemetry` and come out in the text form of Prometheus. Each process
//! owns its meter, so that several can run in one program and each shows only its own figures.

mod logging;

pub use logging::{Format, init, init_quiet};

use crate::router::streams::{Answer, End};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
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
            registry,
            provider,
        })
    }

    /// For figures that are read when metrics are asked for.
    pub fn meter(&self) -> Meter {
        self.provider.meter("sesamegap")
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
