//! Works on one model request until its answer has an end.
//!
//! Each attempt asks the decider for an engine and sends the request ([`flight`]); if its first
//! token is late, a second attempt may start beside it ([`race`]). Then the stream is read
//! ([`follow`]). One that breaks, goes silent or misses chunks is taken up again on a new
//! connection to the same engine, which runs nothing twice. Only if that fails does a repeatable
//! request go to another engine, with the text already sent as prefix; one that is not repeatable
//! ends with an error that says nobody can tell whether it ran, unless the engine itself said that
//! it did not.

mod flight;
mod follow;
mod opening;
mod race;

use super::answer::{Answer, End};
use crate::events;
use crate::router::callers::ApiError;
use crate::router::core::Core;
use flight::Flight;
use poem::http::StatusCode;
use sesamegap_upstream::Ran;
use sesamegap_wire::{Chain, ClassId, ModelId, Moment, Tokens, WeightsVersion};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;

/// A model request that was let in.
#[derive(Debug, Clone)]
pub struct ModelJob {
    /// Traffic class.
    pub class: ClassId,
    /// Model asked for.
    pub model: ModelId,
    /// Weights to answer with.
    pub version: WeightsVersion,
    /// The prompt's blocks.
    pub chain: Chain,
    /// The prompt.
    pub prompt: String,
    /// Tokens to answer at most.
    pub answer: Tokens,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Idempotency key, passed on to the engine.
    pub key: Option<SmolStr>,
    /// When it came.
    pub arrived: Moment,
    /// Attempts after the first that may have run.
    pub retries: u32,
    /// Time from arrival to the end of the answer.
    pub total: Duration,
}

/// Works on a request and ends its answer in every case.
pub async fn work(core: Arc<Core>, job: ModelJob, answer: Arc<Answer>) {
    let left = core.clock.until(job.arrived + job.total);
    let linger = if job.repeatable {
        core.linger()
    } else {
        job.total
    };
    let mut flight = Flight::new(Arc::clone(&core), job, Arc::clone(&answer));
    let end = tokio::select! {
        end = flight.drive() => end,
        () = tokio::time::sleep(left) => Err(flight_late()),
        () = answer.abandoned(linger) => Err(cancelled()),
    };
    let written = flight.written;
    drop(flight);
    match end {
        Ok(()) => answer.finish(End::Whole),
        Err(error) => {
            let ran = if written { Ran::Unknown } else { Ran::No };
            tracing::info!(
                event = events::STREAM_FAILED.number,
                request = %answer.head.request,
                code = error.code,
                "answer not finished"
            );
            answer.finish(End::Failed(error.ran(ran)));
        }
    }
    core.telemetry.ended(&answer);
}

fn flight_late() -> ApiError {
    ApiError::unknown(
        StatusCode::GATEWAY_TIMEOUT,
        "too_late",
        "the answer was not whole within the class's total time",
    )
}

fn cancelled() -> ApiError {
    let status = StatusCode::from_u16(499).unwrap_or(StatusCode::BAD_REQUEST);
    ApiError::unknown(
        status,
        "cancelled",
        "the request was cancelled by its caller",
    )
}

fn lost() -> ApiError {
    ApiError::unknown(
        StatusCode::BAD_GATEWAY,
        "upstream_lost",
        "the engine was lost and the request must not run twice, or its retries are spent",
    )
}
