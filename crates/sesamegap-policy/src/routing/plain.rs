//! Which worker of a plain service runs a request.
//!
//! Requests are short and workers have few slots. A worker may become slow, or fail part of its requests, while its
//! health check still passes. Choosing by expected cost avoids a queue behind such a worker while others are free.

use super::Availability;

/// Cost of crossing to another failure domain, in typical answer times: the delay is small relative to the work.
const CROSS_DOMAIN: f64 = 0.15;

/// Weight of failures: a worker that fails all its requests costs as much as this many queued answers.
const FAILURE_WEIGHT: f64 = 6.0;

/// Cost of a worker that was recently unreachable.
const SUSPECT: f64 = 1_000.0;

/// A worker as this VM sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Worker {
    /// Whether it is in the VM's own failure domain.
    pub near: bool,
    /// Known requests running or waiting there.
    pub busy: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Its typical response time relative to the fastest worker of the service.
    pub slowness: f64,
    /// Share of its recent answers that failed, from 0 to 1.
    pub faults: f64,
    /// Whether it accepts work.
    pub state: Availability,
}

/// Picks the worker with the lowest cost; `spread` breaks ties.
pub fn choose(workers: &[Worker], spread: usize) -> Option<usize> {
    let count = workers.len();
    let open = (0..count).filter(|no| workers[*no].state != Availability::Paused);
    open.min_by(|a, b| {
        let turn = |no: &usize| (no + spread) % count;
        let costs = cost(&workers[*a]).total_cmp(&cost(&workers[*b]));
        costs.then_with(|| turn(a).cmp(&turn(b)))
    })
}

fn cost(worker: &Worker) -> f64 {
    let queue = f64::from(worker.busy.saturating_add(1)) / f64::from(worker.slots.max(1));
    let far = if worker.near { 0.0 } else { CROSS_DOMAIN };
    let suspect = if worker.state == Availability::Suspect {
        SUSPECT
    } else {
        0.0
    };
    // A request that finds a free slot takes one typical response time; one behind a queue takes several.
    let wait = queue.max(0.5) * worker.slowness;
    wait + far + FAILURE_WEIGHT * worker.faults * worker.faults + suspect
}
