//! Forwards requests to upstreams and their responses to callers.
//!
//! [`plain`] buffers responses, [`stream`] forwards events as they arrive. Both use [`attempt`], whose outcome
//! decides whether the request may be retried. A request that did not run may be sent to another upstream; one
//! that may have run is sent again only if the route allows it and the fleet's retry budget is not exhausted.

mod attempt;
mod headers;
mod loss;
mod plain;
mod request_log;
mod retry;
pub mod sse;
mod stream;
mod transfer;
mod waiting;

pub use headers::strip_hop_by_hop;

use crate::core::Core;
use crate::intake::{Body, refusal_response};
use crate::job::Job;
use crate::quota;
use crate::refusal::Refusal;
use crate::resumption::origin::find_origin;
use http::Response;
use request_log::RequestLog;
use std::sync::Arc;

/// Forwards a request and returns the response for the caller.
pub async fn run(core: &Arc<Core>, mut job: Job) -> Response<Body> {
    job.origin = match find_origin(core, &job).await {
        Ok(origin) => origin,
        Err(refusal) => return refuse(core, &job, refusal),
    };
    match quota::admit(core, &job).await {
        Ok(charge) => job.charge = charge,
        Err(refusal) => return refuse(core, &job, refusal),
    }
    core.count_request(job.service());
    if job.route.kind.is_stream() {
        stream::run(Arc::clone(core), job).await
    } else {
        plain::run(core, &job).await
    }
}

/// Refuses a request before it was placed.
fn refuse(core: &Arc<Core>, job: &Job, refusal: Refusal) -> Response<Body> {
    let mut log = RequestLog::new(core, job);
    log.record_end(refusal.status().as_u16(), 0, refusal.to_string());
    refusal_response(refusal)
}
