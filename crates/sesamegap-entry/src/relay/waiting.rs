//! How a request waits while no upstream can take it.
//!
//! Load: for a moment all upstreams of a service take new weights, are full, or leave. Harm
//! prevented: refusals for what a moment's wait would serve, and callers held for nothing. An
//! eighth of the objective is waited, then the caller is told when to come back.

use super::Job;
use super::progress::Progress;
use crate::core::Core;
use crate::fleet::Flight;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Part of the objective that is waited for an upstream.
const PART: u32 = 8;

/// How often the fleet is looked at again; a few typical answers.
const LOOK: Duration = Duration::from_millis(15);

/// The upstream for a request, waiting a little if none is open.
pub async fn upstream(core: &Core, job: &Job, progress: &Progress) -> Option<Flight> {
    let until = job.ends.min(Instant::now() + job.route.objective / PART);
    loop {
        if let Some(flight) = progress.choose(core, job).await {
            return Some(flight);
        }
        if Instant::now() + LOOK >= until {
            return None;
        }
        sleep(LOOK).await;
    }
}
