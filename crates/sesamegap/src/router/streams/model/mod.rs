//! Runs one model request until its answer ends.
//!
//! Each attempt asks the decider for an engine and sends the request ([`flight`]). If the first
//! token is late, a second attempt may start concurrently ([`hedge`]). Then the stream is read
//! ([`follow`]). A stream that breaks, goes silent or misses chunks is resumed on a new connection
//! to the same engine, which does not run the request again. Only if that fails is a repeatable
//! request sent to another engine, with the text already received as prefix. A request that is not
//! repeatable ends with an error saying that it is unknown whether it ran, unless the engine
//! itself said that it did not.

mod flight;
mod follow;
mod hedge;
mod opening;

use super::answer::{Answer, End};
use crate::events;
use crate::router::callers::ApiError;
use crate::router::core::Core;
use flight::RequestDriver;
use poem::http::StatusCode;
use sesamegap_upstream::Ran;
use sesamegap_wire::{Chain, ClassId, ModelId, Moment, Tokens, WeightsVersion};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;

/// An admitted model request.
#[derive(Debug, Clone)]
pub struct ModelJob {
    /// Traffic class.
    pub class: ClassId,
    /// Requested model.
    pub model: ModelId,
    /// Version of the weights to answer with.
    pub version: WeightsVersion,
    /// The prompt's chain of blocks.
    pub chain: Chain,
    /// The prompt.
    pub prompt: String,
    /// Maximum tokens in the answer.
    pub answer: Tokens,
    /// Whether the request may run twice.
    pub repeatable: bool,
    /// Idempotency key, passed on to the engine.
    pub key: Option<SmolStr>,
    /// Arrival time.
    pub arrived: Moment,
    /// Maximum further attempts after one that may have run.
    pub retries: u32,
    /// Time limit from arrival to the end of the answer.
    pub total: Duration,
}

/// Runs a request and always ends its answer.
pub async fn work(core: Arc<Core>, job: ModelJob, answer: Arc<Answer>) {
    let remaining = core.clock.until(job.arrived + job.total);
    let linger = if job.repeatable {
        core.linger()
    } else {
        job.total
    };
    let mut driver = RequestDriver::new(Arc::clone(&core), job, Arc::clone(&answer));
    let end = tokio::select! {
        end = driver.run() => end,
        () = tokio::time::sleep(remaining) => Err(total_time_exceeded()),
        () = answer.abandoned(linger) => Err(cancelled()),
    };
    let may_have_run = driver.may_have_run;
    drop(driver);
    match end {
        Ok(()) => answer.finish(End::Whole),
        Err(error) => {
            let ran = if may_have_run { Ran::Unknown } else { Ran::No };
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

fn total_time_exceeded() -> ApiError {
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
