//! Which worker of a plain service runs a request.
//!
//! Load: short work on few slots, where one worker turns slow or fails part of its requests while
//! its health check is good. Harm prevented: a queue behind the slow one while others are free.

use super::Openness;

/// Cost of going to another failure domain in typical answers: the delay is small against the work.
const FAR: f64 = 0.15;

/// Weight of failures: a worker that fails all requests looks as if it had this many in its queue.
const FAULTS: f64 = 6.0;

/// Cost of a worker that could not be reached lately.
const SUSPECT: f64 = 1_000.0;

/// One worker as this VM sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Worker {
    /// Whether it is in the VM's own failure domain.
    pub near: bool,
    /// Requests running or waiting there, as far as is known.
    pub busy: u32,
    /// Requests it runs at once.
    pub slots: u32,
    /// Its typical time to answer, against the fastest of the service.
    pub slowness: f64,
    /// Share of its answers that failed lately, 0 to 1.
    pub faults: f64,
    /// Whether it takes work.
    pub state: Openness,
}

/// Picks the worker that should answer first; equals are told apart by `spread`.
pub fn choose(workers: &[Worker], spread: usize) -> Option<usize> {
    let count = workers.len();
    let open = (0..count).filter(|no| workers[*no].state != Openness::Paused);
    open.min_by(|a, b| {
        let turn = |no: &usize| (no + spread) % count;
        let costs = cost(&workers[*a]).total_cmp(&cost(&workers[*b]));
        costs.then_with(|| turn(a).cmp(&turn(b)))
    })
}

fn cost(worker: &Worker) -> f64 {
    let queue = f64::from(worker.busy + 1) / f64::from(worker.slots.max(1));
    let far = if worker.near { 0.0 } else { FAR };
    let suspect = if worker.state == Openness::Suspect {
        SUSPECT
    } else {
        0.0
    };
    // Work that finds a free slot takes one typical time, work behind a queue several.
    let wait = queue.max(0.5) * worker.slowness;
    wait + far + FAULTS * worker.faults * worker.faults + suspect
}
