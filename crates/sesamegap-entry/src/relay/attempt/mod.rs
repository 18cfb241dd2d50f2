//! One attempt at one upstream, up to the response head.

mod answer;
mod dispatch;
mod routes;

pub use answer::falsely_implies_not_run;

use super::loss::{self, BrokenAnswer};
use crate::clock;
use crate::core::Core;
use crate::fleet::Flight;
use crate::job::Job;
use crate::telemetry::events;
use crate::upstream::routes::exchange;
use crate::upstream::{Exchange, SendError, TimeLimit};
use answer::classify_answer;
use dispatch::build_dispatch;
use routes::AttemptRoutes;
use sesamegap_wire::UpstreamId;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};
use tracing::{info, warn};

/// How often a waiting request checks whether newer weights were announced; a small fraction of the
/// seconds for which older ones may still be used.
const WEIGHTS_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Time to read a response that has already arrived before its request is withdrawn: a VM that was paused finds the
/// deadline expired and the response in its socket at the same moment.
pub const READ_GRACE: Duration = Duration::from_millis(30);

/// Why a request was withdrawn.
pub const WEIGHTS_EXPIRED: &str = "engine did not begin before its weights expired";

/// Why a request was withdrawn.
pub const QUARANTINED: &str = "quarantined before the upstream began";

/// The outcome of an attempt.
#[derive(Debug)]
pub enum Outcome {
    /// The response head arrived.
    Answered(Box<Answered>),
    /// The request did not run and will not.
    NotRun(NotRun),
    /// The request may have run or still be running; the text says what was seen.
    Lost(String),
}

/// Why an attempt did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// The connection could not be opened.
    Unreached,
    /// The upstream refused it.
    Refused,
    /// The upstream is brittle and has no room, as the VM counts through which its requests pass.
    Full,
    /// The upstream takes no more for now, by the limit that it names.
    Limited,
    /// The engine has other weights than this VM assumed, and reported which.
    OtherWeights,
}

/// A response whose head has arrived; the body has not been read.
#[derive(Debug)]
pub struct Answered {
    /// Counts the request at its upstream until dropped.
    pub flight: Flight,
    /// The response and its connection.
    pub exchange: Exchange,
    /// When the request was sent.
    pub sent: Instant,
}

/// Sends a request to an upstream and waits for the response head.
pub async fn send(
    core: &Arc<Core>,
    job: &Job,
    flight: Flight,
    head_timeout: Duration,
    resume_after: Option<u64>,
) -> (UpstreamId, Outcome) {
    let id = flight.id.clone();
    if let Some(charge) = &job.charge {
        charge.record_sent();
    }
    let outcome = await_head(core, job, flight, head_timeout, resume_after).await;
    match &outcome {
        Outcome::Answered(_) => {}
        Outcome::NotRun(why) => {
            if let Some(charge) = &job.charge {
                charge.record_not_run();
            }
            core.metrics.count_failed_attempt(why.name());
            info!(event = events::ATTEMPT, request = %job.head.id, upstream = %id, why = ?why, "not run");
        }
        Outcome::Lost(why) => {
            core.metrics.count_failed_attempt("lost");
            warn!(event = events::ATTEMPT, request = %job.head.id, upstream = %id, why, "no valid response");
        }
    }
    (id, outcome)
}

async fn await_head(
    core: &Arc<Core>,
    job: &Job,
    mut flight: Flight,
    head_timeout: Duration,
    resume_after: Option<u64>,
) -> Outcome {
    let sent = Instant::now();
    // The time in which a VM is suspended counts for answers that arrive after it.
    flight.sent_at = clock::now();
    let mut dispatch = build_dispatch(core, job, &mut flight, resume_after);
    info!(
        event = events::PLACED,
        request = %job.head.id,
        fingerprint = %job.fingerprint(),
        parts = job.part_names(),
        route = %job.route.name,
        revision = job.catalogue.revision().0,
        upstream = %flight.id,
        owner = flight.owner().map(tracing::field::display),
        running = flight.running,
        unread = flight.ahead,
        tokens = flight.tokens(),
        weights = flight.weights.map(|version| version.0),
        software = %flight.software,
        after = dispatch.after,
        resumes = job.head.resumes.as_deref(),
        overtaken_ms = flight.superseded_at().map(|at| clock::millis(clock::now().since(at))),
        fetch = dispatch.fetch.map(tracing::field::display),
        save = dispatch.save.map(tracing::field::display),
        left_ms = clock::millis(dispatch.time_left),
        "sent"
    );
    let deadline = job.deadline.min(sent + head_timeout);
    job.sent.store(true, Ordering::Relaxed);
    let permit = flight.send_permit.take();
    let mut routes = AttemptRoutes {
        core,
        job,
        flight: &flight,
        dispatch: &mut dispatch,
        permit,
    };
    let answer = timeout_at(deadline, exchange(&mut routes));
    let streams = job.route.kind.is_stream();
    let answer = tokio::select! {
        // A response that has already arrived takes precedence over the expiry of the weights.
        biased;
        answer = answer => answer,
        // A plain response arrives only once it is complete, so there is no telling whether it has begun.
        () = until_weights_expire(&flight), if streams => return Outcome::Lost(WEIGHTS_EXPIRED.to_owned()),
        // The upstream drops a request that has not begun once its connection closes, and is spared.
        () = core.quarantine.wait_until_refused(job.subjects()), if streams => return Outcome::Lost(QUARANTINED.to_owned()),
    };
    let exchange = match answer {
        Ok(Ok((exchange, gate_pass))) => {
            flight.gate_pass = gate_pass;
            let from = core.settings().listen.callers.ip();
            let connections = core.connections.clone();
            let until = job.deadline;
            exchange.confirm_end(TimeLimit { sent, until }, |time| {
                flight.confirm_running(from, connections, time)
            })
        }
        Ok(Err(SendError::Unreached(error))) => {
            flight.record_failure(clock::now());
            info!(event = events::ATTEMPT, request = %job.head.id, upstream = %flight.id, error, "no connection");
            return Outcome::NotRun(NotRun::Unreached);
        }
        Ok(Err(SendError::Full)) => return Outcome::NotRun(NotRun::Full),
        Ok(Err(SendError::Limited)) => return Outcome::NotRun(NotRun::Limited),
        Ok(Err(SendError::Broken(why))) => {
            flight.record_failure(clock::now());
            loss::report_broken_connection(core, job, &mut flight, sent, None).await;
            return Outcome::Lost(why);
        }
        Err(_) => {
            BrokenAnswer::new(job, &mut flight, sent, None).report_silence(core);
            if flight.last_received() < clock::ago(head_timeout) {
                flight.record_failure(clock::now());
            }
            return Outcome::Lost("no response head before the timeout".to_owned());
        }
    };
    classify_answer(core, job, flight, exchange, sent)
}

/// Waits until a request that has not begun must be withdrawn from its engine.
///
/// A request queued at an engine with old weights could otherwise begin on them after they must no longer be
/// used, and the caller could not tell that the response is wrong. The engine drops a request whose connection
/// closes; it is then retried elsewhere if the route allows it.
async fn until_weights_expire(flight: &Flight) {
    loop {
        let left = flight.time_to_start(clock::now());
        if left.is_some_and(|left| left.is_zero()) {
            sleep(READ_GRACE).await;
            return;
        }
        // Newer weights may be announced while it waits.
        sleep(
            left.unwrap_or(WEIGHTS_POLL_INTERVAL)
                .min(WEIGHTS_POLL_INTERVAL),
        )
        .await;
    }
}

impl NotRun {
    /// The metric label.
    fn name(self) -> &'static str {
        match self {
            Self::Unreached => "unreached",
            Self::Refused => "refused",
            Self::Full => "full",
            Self::Limited => "limited",
            Self::OtherWeights => "other_weights",
        }
    }
}
