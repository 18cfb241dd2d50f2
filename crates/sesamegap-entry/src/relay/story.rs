//! The line that tells how a request ended.

use crate::clock;
use crate::telemetry::events;
use smol_str::SmolStr;
use std::time::Duration;
use tokio::time::Instant;
use tracing::info;

/// Logs the end of a request when it is dropped.
#[derive(Debug)]
pub struct Story {
    id: SmolStr,
    route: SmolStr,
    arrived: Instant,
    runs: u32,
    first: Option<Duration>,
    status: Option<u16>,
    why: SmolStr,
}

impl Story {
    /// A request that has not ended yet.
    pub fn new(id: SmolStr, route: SmolStr, arrived: Instant) -> Self {
        Self {
            id,
            route,
            arrived,
            runs: 0,
            first: None,
            status: None,
            why: SmolStr::default(),
        }
    }

    /// Notes that the first event goes to the caller.
    pub fn first(&mut self) {
        self.first = Some(self.arrived.elapsed());
    }

    /// Notes how it ended.
    pub fn end(&mut self, status: u16, runs: u32, why: impl Into<SmolStr>) {
        self.status = Some(status);
        self.runs = runs;
        self.why = why.into();
    }
}

impl Drop for Story {
    fn drop(&mut self) {
        let took = clock::ms(self.arrived.elapsed());
        match self.status {
            Some(status) => info!(
                event = events::ENDED,
                request = %self.id,
                route = %self.route,
                status,
                runs = self.runs,
                first_ms = self.first.map(|span| clock::ms(span)),
                took_ms = took,
                why = %self.why,
                "ended"
            ),
            None => info!(
                event = events::LEFT,
                request = %self.id,
                route = %self.route,
                took_ms = took,
                "caller left"
            ),
        }
    }
}
