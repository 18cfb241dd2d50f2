//! The line that tells how a request ended.

use super::Job;
use crate::catalogue::Kind;
use crate::clock;
use crate::core::Core;
use crate::telemetry::events;
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
    arrived: Instant,
    runs: u32,
    first: Option<Duration>,
    last: Option<Instant>,
    pause: Duration,
    status: Option<u16>,
    why: SmolStr,
}

impl RequestLog {
    /// A request that has not ended yet.
    pub fn new(core: &Arc<Core>, job: &Job) -> Self {
        Self {
            core: Arc::clone(core),
            kind: job.route.kind,
            id: job.head.id.clone(),
            route: job.route.name.clone(),
            arrived: job.arrived,
            runs: 0,
            first: None,
            last: None,
            pause: Duration::ZERO,
            status: None,
            why: SmolStr::default(),
        }
    }

    /// Notes that the first event goes to the caller.
    pub fn first(&mut self) {
        self.first = Some(self.arrived.elapsed());
    }

    /// Notes that events go to the caller: the longest time between two such tells a stream that was
    /// stalled from one that began late.
    pub fn passed(&mut self) {
        let now = Instant::now();
        if let Some(last) = self.last.replace(now) {
            self.pause = self.pause.max(now - last);
        }
    }

    /// Notes how it ended.
    pub fn end(&mut self, status: u16, runs: u32, why: impl Into<SmolStr>) {
        self.status = Some(status);
        self.runs = runs;
        self.why = why.into();
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        let span = self.arrived.elapsed();
        self.core
            .metrics
            .ended(self.kind, self.status, span, self.first);
        let took = clock::millis(span);
        let Some(status) = self.status else {
            info!(
                event = events::LEFT,
                request = %self.id,
                route = %self.route,
                took_ms = took,
                "caller left"
            );
            return;
        };
        info!(
            event = events::ENDED,
            request = %self.id,
            route = %self.route,
            status,
            runs = self.runs,
            first_ms = self.first.map(clock::millis),
            pause_ms = self.last.map(|_| clock::millis(self.pause)),
            took_ms = took,
            why = %self.why,
            "ended"
        );
    }
}
