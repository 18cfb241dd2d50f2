//! Relays buffered responses of plain services.
//!
//! A response is read to its end before its head is sent to the caller. If the upstream breaks off, the request
//! can still be retried where the route allows it, and otherwise fails with an error status.

use super::attempt::{Answered, Outcome, falsely_implies_not_run, send};
use super::headers::caller_headers;
use super::loss::{self, BrokenAnswer};
use super::request_log::RequestLog;
use super::retry::RetryState;
use super::waiting::wait_for_upstream;
use crate::clock;
use crate::core::Core;
use crate::intake::{Body, full_body, refusal_response};
use crate::job::Job;
use crate::refusal::Refusal;
use crate::upstream::ResponseBody;
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use sesamegap_policy::routing::timeouts;
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};

/// Largest response that is buffered, in bytes; what follows in a longer one is streamed.
pub(super) const BUFFER_LIMIT: usize = 256 << 10;

/// Relays a request to a plain service.
pub async fn run(core: &Arc<Core>, job: &Job) -> Response<Body> {
    let mut log = RequestLog::new(core, job);
    let mut retry = RetryState::new(job);
    let answer = try_upstreams(core, job, &mut retry).await;
    let (response, why) = match answer {
        Ok(response) => (response, String::new()),
        Err(refusal) => (refusal_response(refusal), refusal.to_string()),
    };
    log.record_end(response.status().as_u16(), retry.runs, why);
    response
}

async fn try_upstreams(
    core: &Arc<Core>,
    job: &Job,
    retry: &mut RetryState,
) -> Result<Response<Body>, Refusal> {
    let mut failure: Option<Response<Body>> = None;
    loop {
        let flight = match wait_for_upstream(core, job, retry).await {
            Ok(flight) => flight,
            Err(refusal) => return failure.ok_or(refusal),
        };
        let is_last = !job.route.kind.is_repeatable() || retry.runs + 1 >= job.route.attempts;
        let time = if is_last {
            job.time_left()
        } else {
            timeouts::plain(job.route.objective)
        };
        let (id, outcome) = send(core, job, flight, time, None).await;
        let may_have_run = match outcome {
            Outcome::Answered(answered) => match read_answer(core, job, *answered).await {
                Some(response) if !is_server_failure(&response) => {
                    retry.record_run(id);
                    return Ok(response);
                }
                Some(response) => {
                    failure = Some(response);
                    true
                }
                None => true,
            },
            Outcome::NotRun(why) => {
                if !retry.should_retry_not_run(core, id.clone(), why) {
                    return failure.ok_or(retry.no_upstream());
                }
                false
            }
            Outcome::Lost(_) => true,
        };
        if may_have_run && !retry.should_retry_possible_run(core, job, id) {
            return failure.ok_or(job.lost_refusal());
        }
    }
}

/// Whether the upstream itself failed, so that another may succeed.
fn is_server_failure(response: &Response<Body>) -> bool {
    response.status().is_server_error()
}

/// Reads the body; `None` if it is incomplete or the status must not reach the caller.
async fn read_answer(
    core: &Arc<Core>,
    job: &Job,
    mut answered: Answered,
) -> Option<Response<Body>> {
    let (head, mut body) = answered.exchange.response.into_parts();
    if falsely_implies_not_run(job.route.kind, head.status) {
        // The caller would send the request again although it may have run.
        return None;
    }
    let mut bytes = BytesMut::new();
    loop {
        let frame = match timeout_at(job.deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => break,
            Ok(Some(Err(_))) => {
                answered.flight.record_answer(answered.sent.elapsed(), true);
                loss::report_broken_connection(
                    core,
                    job,
                    &mut answered.flight,
                    answered.sent,
                    Some(Instant::now()),
                )
                .await;
                return None;
            }
            Err(_) => {
                answered.flight.record_answer(answered.sent.elapsed(), true);
                return None;
            }
        };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > BUFFER_LIMIT {
            let loss = BrokenAnswer::new(
                job,
                &mut answered.flight,
                answered.sent,
                Some(Instant::now()),
            );
            let rest = (body, answered.exchange.connection, answered.flight);
            let body = stream_rest(Arc::clone(core), bytes.freeze(), rest, loss, job.deadline);
            return Some(caller_response(head.status, &head.headers, body));
        }
    }
    let failed = head.status.is_server_error();
    if head.status.is_success() {
        core.quarantine
            .record_completion(job.subjects(), answered.sent);
    }
    answered
        .flight
        .record_answer(answered.sent.elapsed(), failed);
    Some(caller_response(
        head.status,
        &head.headers,
        full_body(bytes.freeze()),
    ))
}

/// A body whose start has been read; it ends at the deadline, since the upstream may send without end. The connection and
/// the flight in `rest` live as long as the body.
fn stream_rest<G: Send + 'static>(
    core: Arc<Core>,
    first_bytes: Bytes,
    rest: (ResponseBody, G, crate::fleet::Flight),
    loss: BrokenAnswer,
    deadline: Instant,
) -> Body {
    let stream = async_stream::stream! {
        let (mut body, _connection, flight) = rest;
        yield Ok(Frame::data(first_bytes));
        loop {
            match timeout_at(deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => yield Ok(frame),
                Ok(None) => break,
                Err(_) => {
                    // The upstream is too slow, or sends without end.
                    flight.record_failure(clock::now());
                    yield Err(std::io::Error::other("request deadline expired"));
                    return;
                }
                Ok(Some(Err(error))) => {
                    drop(loss.probe_and_report(&core));
                    yield Err(std::io::Error::other(error));
                    return;
                }
            }
        }
        loss.record_completion(&core);
    };
    StreamBody::new(stream).boxed_unsync()
}

/// Builds the caller's response with filtered headers.
pub fn caller_response(status: StatusCode, headers: &HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = caller_headers(headers);
    response
}
