//! The log line and metrics written when a request ends.

use crate::catalogue::Kind;
use crate::clock;
use crate::core::{Arrival, Core, Phase};
use crate::job::Job;
use crate::telemetry::events;
use crate::upstream::Delimiter;
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::info;

/// Logs and counts the end of a request when it is dropped.
#[derive(Debug)]
pub struct RequestLog {
    core: Arc<Core>,
    kind: Kind,
    id: SmolStr,
    route: SmolStr,
    arrival: Arrival,
    runs: u32,
    first_event_after: Option<Duration>,
    events: usize,
    last_event: Option<u64>,
    last_event_at: Option<Instant>,
    longest_gap: Duration,
    status: Option<u16>,
    end: Option<Delimiter>,
    reason: SmolStr,
}

impl RequestLog {
    /// Starts the record of a request; without [`Self::record_end`] it is logged as left by its caller.
    pub fn new(core: &Arc<Core>, job: &Job) -> Self {
        Self {
            core: Arc::clone(core),
            kind: job.route.kind,
            id: job.head.id.clone(),
            route: job.route.name.clone(),
            arrival: job.arrival,
            runs: 0,
            first_event_after: None,
            events: 0,
            last_event: None,
            last_event_at: None,
            longest_gap: Duration::ZERO,
            status: None,
            end: None,
            reason: SmolStr::default(),
        }
    }

    /// Records that the first event is sent to the caller.
    pub fn record_first_event(&mut self) {
        self.first_event_after = Some(self.arrival.at.elapsed());
    }

    /// Records that events with these ids are sent to the caller. The longest gap distinguishes a stream that stalled from
    /// one that began late.
    pub fn record_events(&mut self, ids: &[u64]) {
        self.events += ids.len();
        self.last_event = ids.last().copied().or(self.last_event);
        let now = Instant::now();
        if let Some(last_event_at) = self.last_event_at.replace(now) {
            self.longest_gap = self.longest_gap.max(now - last_event_at);
        }
    }

    /// Records what shows that the upstream's response is complete.
    pub fn record_whole(&mut self, delimiter: Delimiter) {
        self.end = Some(delimiter);
    }

    /// Records how the request ended.
    pub fn record_end(&mut self, status: u16, runs: u32, reason: impl Into<SmolStr>) {
        self.status = Some(status);
        self.runs = runs;
        self.reason = reason.into();
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        let span = self.arrival.at.elapsed();
        self.core
            .metrics
            .record_request(self.kind, self.status, span, self.first_event_after);
        let took = clock::millis(span);
        let stop_ms = self.core.time_in_stop(self.arrival.at).map(clock::millis);
        let Some(status) = self.status else {
            let (event, what) = if self.core.phase() >= Phase::Exiting {
                (events::CUT, "cut by the stop")
            } else {
                (events::CALLER_LEFT, "caller left")
            };
            info!(
                event,
                request = %self.id,
                route = %self.route,
                events = self.events,
                last = self.last_event,
                took_ms = took,
                stop_ms,
                "{what}"
            );
            return;
        };
        info!(
            event = events::ENDED,
            request = %self.id,
            route = %self.route,
            status,
            runs = self.runs,
            first_ms = self.first_event_after.map(clock::millis),
            pause_ms = self.last_event_at.map(|_| clock::millis(self.longest_gap)),
            events = self.events,
            last = self.last_event,
            took_ms = took,
            stop_ms,
            end = self.end.map(tracing::field::display),
            why = %self.reason,
            "ended"
        );
    }
}
