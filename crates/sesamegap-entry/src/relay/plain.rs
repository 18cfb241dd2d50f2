//! Whole answers of plain services.
//!
//! An answer is read whole before its head goes to the caller, so that one that breaks off is
//! never begun: it is asked for again where that is allowed, and is a plain failure elsewhere.

use super::Job;
use super::attempt::{Answered, Outcome, is_false_promise, send};
use super::head::for_caller;
use super::loss::{self, BrokenAnswer};
use super::progress::Progress;
use super::request_log::RequestLog;
use super::waiting::upstream;
use crate::core::Core;
use crate::intake::{Body, Refusal, full_body, refusal_response};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use sesamegap_policy::routing::timeouts;
use std::sync::Arc;
use tokio::time::timeout_at;

/// Bytes of an answer that are held; of a longer one, what comes after them goes on as it comes.
const HELD: usize = 256 << 10;

/// Relays a plain request.
pub async fn run(core: &Arc<Core>, job: &Job) -> Response<Body> {
    let mut log = RequestLog::new(core, job);
    let mut progress = Progress::new(job);
    let answer = answer(core, job, &mut progress).await;
    let (response, why) = match answer {
        Ok(response) => (response, String::new()),
        Err(refusal) => (refusal_response(refusal), refusal.to_string()),
    };
    log.end(response.status().as_u16(), progress.runs, why);
    response
}

async fn answer(
    core: &Arc<Core>,
    job: &Job,
    progress: &mut Progress,
) -> Result<Response<Body>, Refusal> {
    let mut failure: Option<Response<Body>> = None;
    loop {
        let flight = match upstream(core, job, progress).await {
            Ok(flight) => flight,
            Err(refusal) => return failure.ok_or(refusal),
        };
        let last = !job.route.kind.repeats() || progress.runs + 1 >= job.route.attempts;
        let time = if last {
            job.left()
        } else {
            timeouts::plain(job.route.objective)
        };
        let (id, outcome) = send(core, job, flight, time, None).await;
        let may_have_run = match outcome {
            Outcome::Answered(answered) => match whole(core, job, *answered).await {
                Some(response) if !worth_another(&response) => {
                    progress.ran(id);
                    return Ok(response);
                }
                Some(response) => {
                    failure = Some(response);
                    true
                }
                None => true,
            },
            Outcome::NotRun(why) => {
                if !progress.after_not_run(core, id.clone(), why) {
                    return failure.ok_or(progress.unserved());
                }
                false
            }
            Outcome::Lost(_) => true,
        };
        if may_have_run && !progress.after_run(core, job, id) {
            return failure.ok_or(job.lost());
        }
    }
}

/// A failure of the upstream itself, which another may not share.
fn worth_another(response: &Response<Body>) -> bool {
    response.status().is_server_error()
}

/// Reads an answer whole; none if it broke off.
async fn whole(core: &Arc<Core>, job: &Job, mut answered: Answered) -> Option<Response<Body>> {
    let (head, mut body) = answered.exchange.response.into_parts();
    if is_false_promise(job.route.kind, head.status) {
        // An upstream that ran the request and answers so would have its caller send it again.
        return None;
    }
    let mut bytes = BytesMut::new();
    loop {
        let frame = match timeout_at(job.ends, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => break,
            Ok(Some(Err(_))) => {
                answered.flight.answered(answered.sent.elapsed(), true);
                loss::broke(core, job, &mut answered.flight, answered.sent, true).await;
                return None;
            }
            Err(_) => {
                answered.flight.answered(answered.sent.elapsed(), true);
                return None;
            }
        };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > HELD {
            let loss = BrokenAnswer::new(job, &mut answered.flight, answered.sent, true);
            let rest = (body, answered.exchange.connection, answered.flight);
            let body = flowing(Arc::clone(core), bytes.freeze(), rest, loss);
            return Some(respond(head.status, &head.headers, body));
        }
    }
    let failed = head.status.is_server_error();
    if head.status.is_success() {
        core.quarantine.succeeded(job.fingerprint());
    }
    answered.flight.answered(answered.sent.elapsed(), failed);
    Some(respond(
        head.status,
        &head.headers,
        full_body(bytes.freeze()),
    ))
}

/// A body of which the beginning was read; the rest of the tuple lives as long as it.
fn flowing<G: Send + 'static>(
    core: Arc<Core>,
    begun: Bytes,
    rest: (Incoming, G, crate::fleet::Flight),
    loss: BrokenAnswer,
) -> Body {
    let stream = async_stream::stream! {
        let (mut body, _connection, _flight) = rest;
        yield Ok(Frame::data(begun));
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => yield Ok(frame),
                Err(error) => {
                    drop(loss.report(&core));
                    yield Err(std::io::Error::other(error));
                    return;
                }
            }
        }
        core.quarantine.succeeded(loss.request());
    };
    StreamBody::new(stream).boxed_unsync()
}

/// An answer as the caller gets it.
pub fn respond(status: StatusCode, headers: &HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = for_caller(headers);
    response
}
