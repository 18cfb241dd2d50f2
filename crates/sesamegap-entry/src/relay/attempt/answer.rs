//! What a response head says about the request and the upstream.

use super::{Answered, NotRun, Outcome};
use crate::catalogue::Kind;
use crate::clock;
use crate::core::Core;
use crate::fleet::Flight;
use crate::job::Job;
use crate::limits;
use crate::peers::{EngineUpdate, broadcast_engine_update};
use crate::ports::AnswerHead;
use crate::telemetry::events;
use crate::upstream::Exchange;
use http::StatusCode;
use std::time::Duration;
use tokio::time::Instant;
use tracing::info;

/// How long an upstream that refused a request gets no further ones.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(150);

/// Checks that a response belongs to this request, and determines whether the request ran.
pub(super) fn classify_answer(
    core: &Core,
    job: &Job,
    mut flight: Flight,
    exchange: Exchange,
    sent: Instant,
) -> Outcome {
    let now = clock::now();
    flight.record_response(now);
    let status = exchange.response.status();
    let answer_head = core.ports.headers.read_answer(exchange.response.headers());
    if let Some(load) = answer_head.load {
        flight.record_load(load, now);
    }
    record_brittle(core, job, &flight, &answer_head, status);
    limits::observe::record_answer(core, &flight, &answer_head, now);
    if answer_head.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::NotRun(handle_refusal(core, job, &flight, &answer_head, status));
    }
    // Keeps a late or extra response to another request from reaching this caller.
    if answer_head.id.as_ref().is_some_and(|id| *id != job.head.id) {
        return Outcome::Lost("response carries another request's id".to_owned());
    }
    if status.is_success() && !answer_head.sealed {
        return Outcome::Lost("successful response has no seal".to_owned());
    }
    flight.record_received(now);
    if let (Some(version), Some(model)) = (answer_head.weights, &job.head.model) {
        flight.record_version(model, version);
    }
    Outcome::Answered(Box::new(Answered {
        flight,
        exchange,
        sent,
    }))
}

/// Records whether the upstream says that it is brittle, and whether it had room.
fn record_brittle(
    core: &Core,
    job: &Job,
    flight: &Flight,
    answer_head: &AnswerHead,
    status: StatusCode,
) {
    let now = clock::now();
    if let Some(pass) = &flight.gate_pass {
        let is_rejected = answer_head.not_run && status != StatusCode::MISDIRECTED_REQUEST;
        pass.record_answer(is_rejected, now);
    }
    let mut fleet = core.fleet.lock();
    if fleet.record_brittle(job.service(), answer_head.brittle, now) {
        info!(event = events::BRITTLE, service = %job.service(), upstream = %flight.id, bound = answer_head.brittle, "upstreams of a service are brittle or no longer so");
    }
}

/// Records what a refusal says about the upstream and returns the reason for a retry.
fn handle_refusal(
    core: &Core,
    job: &Job,
    flight: &Flight,
    answer_head: &AnswerHead,
    status: StatusCode,
) -> NotRun {
    let now = clock::now();
    let replaced = status == StatusCode::MISDIRECTED_REQUEST
        && answer_head
            .upstream
            .as_ref()
            .is_some_and(|id| *id != flight.id);
    if replaced {
        // Another instance has the address, so the intended one is gone for good. The fleet list drops it only
        // after missed heartbeats.
        broadcast_engine_update(core, EngineUpdate::gone(flight.id.clone(), flight.born));
        return NotRun::Refused;
    }
    if let (Some(version), Some(model)) = (answer_head.weights, &job.head.model) {
        flight.record_version(model, version);
        if status == StatusCode::MISDIRECTED_REQUEST && flight.weights != Some(version) {
            return NotRun::OtherWeights;
        }
    }
    flight.pause_at_least(now + REFUSAL_BACKOFF);
    NotRun::Refused
}

/// Whether a status would tell the caller that a non-idempotent request did not run.
///
/// Upstreams report that explicitly by a header; without it the request may have run, and a caller that
/// reads the status as "not run" would send it again.
pub fn falsely_implies_not_run(kind: Kind, status: StatusCode) -> bool {
    let implied = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
    ];
    kind != Kind::Idempotent && implied.contains(&status)
}
