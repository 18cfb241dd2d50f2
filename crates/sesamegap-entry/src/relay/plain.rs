//! Relays buffered responses of plain services.
//!
//! A response is read to its end before its head is sent to the caller. If the upstream breaks off, the request
//! can still be retried where the route allows it, and otherwise fails with an error status. While an upstream keeps a
//! retryable request waiting, another one is asked beside it.

use super::attempt::{Answered, NotRun, Outcome, falsely_implies_not_run, send};
use super::headers::caller_headers;
use super::loss::{self, BrokenAnswer};
use super::request_log::RequestLog;
use super::retry::{self, RetryState};
use super::waiting::wait_for_upstream;
use crate::clock;
use crate::core::Core;
use crate::fleet::Flight;
use crate::intake::{Body, full_body, refusal_response};
use crate::job::Job;
use crate::refusal::Refusal;
use crate::telemetry::events;
use crate::upstream::{Delimiter, HeldBytes, Part, ResponseBody};
use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use sesamegap_policy::routing::timeouts;
use std::pin::{Pin, pin};
use std::sync::{Arc, OnceLock};
use tokio::time::{Instant, timeout, timeout_at};
use tracing::info;

/// Largest response that is buffered, in bytes; what follows in a longer one is streamed.
pub(super) const BUFFER_LIMIT: usize = 256 << 10;

/// Relays a request to a plain service.
pub async fn run(core: &Arc<Core>, job: &Job) -> Response<Body> {
    let mut log = RequestLog::new(core, job);
    let mut retry = RetryState::new(job);
    let answer = try_upstreams(core, job, &mut retry).await;
    let (response, why) = match answer {
        Ok(response) => {
            if let Some(delimiter) = response.extensions().get::<Delimiter>() {
                log.record_whole(*delimiter);
            }
            (response, String::new())
        }
        Err(refusal) => (refusal_response(refusal), refusal.to_string()),
    };
    log.record_end(response.status().as_u16(), retry.runs, why);
    response
}

/// What became of an attempt.
#[derive(Debug)]
enum Attempted {
    /// A complete response.
    Answered(Response<Body>),
    /// The request did not run and will not.
    NotRun(NotRun),
    /// The request may have run.
    Lost,
}

impl Attempted {
    /// Whether another upstream may do better.
    fn has_failed(&self) -> bool {
        !matches!(self, Self::Answered(response) if !is_server_failure(response))
    }

    /// This one, unless it brought no answer and the other one did.
    fn or(self, other: Option<Self>) -> Self {
        match (self, other) {
            (Self::NotRun(_) | Self::Lost, Some(other)) => other,
            (own, _) => own,
        }
    }
}

/// What an upstream and others beside it brought.
#[derive(Debug)]
struct Beside {
    first: Option<Attempted>,
    second: Option<Response<Body>>,
}

/// Sends the request until an upstream answers it.
fn try_upstreams<'a>(
    core: &'a Arc<Core>,
    job: &'a Job,
    retry: &'a mut RetryState,
) -> Pin<Box<dyn Future<Output = Result<Response<Body>, Refusal>> + Send + 'a>> {
    // An attempt beside a silent one is made in the same way.
    Box::pin(async move {
        let mut failure: Option<Response<Body>> = None;
        loop {
            let flight = match wait_for_upstream(core, job, retry).await {
                Ok(flight) => flight,
                Err(refusal) => return failure.ok_or(refusal),
            };
            let id = flight.id.clone();
            let may_have_run = match attempt(core, job, flight, retry).await {
                Attempted::Answered(response) if !is_server_failure(&response) => {
                    retry.record_run(id);
                    return Ok(response);
                }
                Attempted::Answered(response) => {
                    failure = Some(response);
                    true
                }
                Attempted::NotRun(why) => {
                    if !retry.should_retry_not_run(core, id.clone(), why) {
                        return failure.ok_or(retry.no_upstream());
                    }
                    false
                }
                Attempted::Lost => true,
            };
            if may_have_run && !retry.should_retry_possible_run(core, job, id) {
                return failure.ok_or(job.lost_refusal());
            }
        }
    })
}

/// Sends the request to an upstream, and to others too while this one keeps it waiting. The first good answer counts.
async fn attempt(core: &Arc<Core>, job: &Job, flight: Flight, retry: &mut RetryState) -> Attempted {
    let (id, life) = (flight.id.clone(), flight.life());
    let is_trial = flight.permit.is_some();
    let tolerated = timeouts::plain(job.route.objective);
    let answered = OnceLock::new();
    let mut run = pin!(run_at(core, job, flight, &answered));
    loop {
        if let Ok(attempted) = timeout(tolerated, run.as_mut()).await {
            return attempted;
        }
        let may_ask = !is_trial && answered.get().is_none() && retry.can_repeat_beside(job);
        if !may_ask || !retry.has_other_upstream(core, job, Some(&id)) || !retry.try_charge(core) {
            continue;
        }
        retry::record_silence(core, &id, life, tolerated);
        info!(event = events::ATTEMPT, request = %job.head.id, silent = %id, why = "no response head in the time for one worker", "another upstream is asked beside it");
        retry.record_run(id.clone());
        let beside = {
            let mut second = try_upstreams(core, job, retry);
            tokio::select! {
                biased;
                first = run.as_mut() => Beside {
                    // The others are awaited only if this one came to nothing.
                    second: if first.has_failed() { second.await.ok() } else { None },
                    first: Some(first),
                },
                second = &mut second => Beside { first: None, second: second.ok() },
            }
        };
        retry.take_back_run(&id);
        let second = beside.second.map(Attempted::Answered);
        return match (beside.first, second) {
            (Some(_), Some(second)) if !second.has_failed() => second,
            (None, Some(second)) if !second.has_failed() => {
                loss::report_given_up(core, job, id, life);
                second
            }
            (Some(first), second) => first.or(second),
            (None, second) => run.await.or(second),
        };
    }
}

/// Sends the request to an upstream and reads its answer.
async fn run_at(
    core: &Arc<Core>,
    job: &Job,
    flight: Flight,
    answered_at: &OnceLock<Instant>,
) -> Attempted {
    let (_, outcome) = send(core, job, flight, job.time_left(), None).await;
    match outcome {
        Outcome::Answered(answered) => {
            answered_at.get_or_init(Instant::now);
            let response = read_answer(core, job, *answered).await;
            response.map_or(Attempted::Lost, Attempted::Answered)
        }
        Outcome::NotRun(why) => Attempted::NotRun(why),
        Outcome::Lost(_) => Attempted::Lost,
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
    let mut buffer = HeldBytes::new(&core.answers, answered.flight.id.clone());
    let delimiter = loop {
        let read = tokio::select! {
            biased;
            read = timeout_at(job.deadline, body.read()) => read,
            () = buffer.given_way() => return give_way(&answered.flight, answered.sent),
        };
        let data = match read {
            Ok(Ok(Part::Data(data))) => data,
            Ok(Ok(Part::End(delimiter))) => break delimiter,
            Ok(Err(_)) => {
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
        let Ok(length) = buffer.extend(&data) else {
            return give_way(&answered.flight, answered.sent);
        };
        if length > BUFFER_LIMIT {
            let Ok(first_bytes) = buffer.take() else {
                return give_way(&answered.flight, answered.sent);
            };
            let loss = BrokenAnswer::new(
                job,
                &mut answered.flight,
                answered.sent,
                Some(Instant::now()),
            );
            let rest = (body, answered.exchange.connection, answered.flight);
            let body = stream_rest(
                Arc::clone(core),
                first_bytes.into(),
                rest,
                loss,
                job.deadline,
            );
            return Some(caller_response(head.status, &head.headers, body));
        }
    };
    let Ok(bytes) = buffer.take() else {
        return give_way(&answered.flight, answered.sent);
    };
    let failed = head.status.is_server_error();
    if head.status.is_success() {
        core.quarantine
            .record_completion(job.subjects(), answered.sent);
    }
    answered
        .flight
        .record_answer(answered.sent.elapsed(), failed);
    let mut response = caller_response(head.status, &head.headers, full_body(bytes));
    response.extensions_mut().insert(delimiter);
    Some(response)
}

/// Records an answer that gave way to others, and is not passed on.
fn give_way(flight: &Flight, sent: Instant) -> Option<Response<Body>> {
    flight.record_answer(sent.elapsed(), true);
    flight.record_failure(clock::now());
    None
}

/// A body whose start has been read; it ends at the deadline, since the upstream may send without end. The connection and
/// the flight in `rest` live as long as the body.
fn stream_rest<G: Send + 'static>(
    core: Arc<Core>,
    first_bytes: Bytes,
    rest: (ResponseBody, G, Flight),
    loss: BrokenAnswer,
    deadline: Instant,
) -> Body {
    let stream = async_stream::stream! {
        let (mut body, _connection, flight) = rest;
        yield Ok(Frame::data(first_bytes));
        loop {
            match timeout_at(deadline, body.read()).await {
                Ok(Ok(Part::Data(data))) => yield Ok(Frame::data(data)),
                Ok(Ok(Part::End(_))) => break,
                Err(_) => {
                    // The upstream is too slow, or sends without end.
                    flight.record_failure(clock::now());
                    yield Err(std::io::Error::other("request deadline expired"));
                    return;
                }
                Ok(Err(error)) => {
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
