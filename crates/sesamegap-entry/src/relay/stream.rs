//! Relays event streams.
//!
//! The head is sent to the caller with the first complete event; until then a retryable request can move to
//! another upstream unnoticed. A resumable stream that breaks off continues at another upstream after the last
//! event sent to the caller. Any other is aborted so that the caller does not take it for complete.

use super::Job;
use super::attempt::{
    Answered, Outcome, READ_GRACE, WEIGHTS_EXPIRED, falsely_implies_not_run, send,
};
use super::loss::{self, BrokenAnswer};
use super::plain::caller_response;
use super::request_log::RequestLog;
use super::retry::RetryState;
use super::sse::{EventBatch, EventSplitter};
use super::waiting::wait_for_upstream;
use crate::catalogue::Kind;
use crate::clock;
use crate::core::Core;
use crate::fleet::Flight;
use crate::intake::{Body, Refusal, full_body, refusal_response};
use crate::telemetry::events;
use crate::upstream::Connection;
use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use sesamegap_policy::routing::timeouts;
use sesamegap_wire::UpstreamId;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};
use tracing::warn;

/// How often a waiting stream rechecks its deadlines, which change as engines join and leave.
const RECHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Delay before all engines are tried again to resume a stream.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(150);

/// An event stream from an upstream.
#[derive(Debug)]
struct UpstreamStream {
    flight: Flight,
    /// When the request was sent.
    sent: Instant,
    body: Incoming,
    _connection: Connection,
    splitter: EventSplitter,
    status: StatusCode,
    headers: HeaderMap,
    first_events: Option<EventBatch>,
    /// Whether any byte of the body has arrived.
    body_begun: bool,
    /// Whether a complete event has arrived.
    event_received: bool,
}

/// An upstream's response to a stream request.
#[derive(Debug)]
enum Opened {
    /// An event stream.
    Stream(Box<UpstreamStream>),
    /// A complete response that is not a stream.
    Complete(Response<Body>),
}

/// A stream request with its attempts so far.
#[derive(Debug)]
struct StreamRelay {
    core: Arc<Core>,
    job: Job,
    retry: RetryState,
    /// Id of the last event sent to the caller.
    last_event_id: Option<u64>,
}

/// Relays a stream request.
pub async fn run(core: Arc<Core>, job: Job) -> Response<Body> {
    let mut log = RequestLog::new(&core, &job);
    let retry = RetryState::new(&job);
    let mut relay = StreamRelay {
        core,
        job,
        retry,
        last_event_id: None,
    };
    match relay.open().await {
        Ok(Opened::Stream(stream)) => {
            log.record_first_event();
            let status = stream.status;
            let headers = stream.headers.clone();
            let body = StreamBody::new(relay_body(relay, *stream, log)).boxed_unsync();
            caller_response(status, &headers, body)
        }
        Ok(Opened::Complete(response)) => {
            log.record_end(response.status().as_u16(), relay.retry.runs + 1, "");
            response
        }
        Err(refusal) => {
            let status = refusal.status().as_u16();
            log.record_end(status, relay.retry.runs, refusal.to_string());
            refusal_response(refusal)
        }
    }
}

/// The response body: events of one upstream, continued at others after failures.
fn relay_body(
    mut relay: StreamRelay,
    mut stream: UpstreamStream,
    mut log: RequestLog,
) -> impl futures_util::Stream<Item = io::Result<Frame<Bytes>>> + Send {
    async_stream::stream! {
        loop {
            match relay.next_events(&mut stream).await {
                Ok(Some(bytes)) => {
                    log.record_events();
                    yield Ok(Frame::data(bytes));
                }
                Ok(None) => {
                    relay.core.quarantine.record_completion(relay.job.fingerprint());
                    log.record_end(stream.status.as_u16(), relay.retry.runs + 1, "");
                    return;
                }
                Err(why) => {
                    let next = relay.resume(stream, &why).await;
                    let Some(next) = next else {
                        // The head was sent with a success status before the stream failed.
                        log.record_end(StatusCode::OK.as_u16(), relay.retry.runs, why.clone());
                        yield Err(io::Error::other(why));
                        return;
                    };
                    stream = next;
                }
            }
        }
    }
}

impl UpstreamStream {
    /// Time until the request is withdrawn because its weights expire. Returns `None` without locking the fleet
    /// once the response has begun, as it is called for each event.
    fn left_to_begin(&self) -> Option<Duration> {
        if self.body_begun {
            return None;
        }
        self.flight.time_to_start(clock::now())
    }

    /// Whether the response has not begun and the engine's weights must no longer be used.
    fn weights_expired(&self) -> bool {
        self.left_to_begin().is_some_and(|left| left.is_zero())
    }

    /// When to recheck the deadlines.
    fn next_check(&self) -> Instant {
        let left = self
            .left_to_begin()
            .map_or(RECHECK_INTERVAL, |left| left.min(RECHECK_INTERVAL));
        Instant::now() + left.max(READ_GRACE)
    }
}

impl StreamRelay {
    /// Sends the request until an upstream responds.
    async fn open(&mut self) -> Result<Opened, Refusal> {
        loop {
            let flight = wait_for_upstream(&self.core, &self.job, &self.retry).await?;
            let time = self.head_timeout(&flight.id);
            let (id, outcome) = send(&self.core, &self.job, flight, time, self.last_event_id).await;
            match outcome {
                Outcome::Answered(answered) => match self.read_start(*answered).await {
                    Ok(opened) => return Ok(opened),
                    Err(why) => {
                        warn!(event = events::ATTEMPT, request = %self.job.head.id, upstream = %id, why, "invalid response to a stream request");
                    }
                },
                Outcome::NotRun(why) => {
                    if !self.retry.should_retry_not_run(&self.core, id, why) {
                        return Err(self.retry.no_upstream());
                    }
                    continue;
                }
                Outcome::Lost(_) => {}
            }
            if !self
                .retry
                .should_retry_possible_run(&self.core, &self.job, id)
            {
                return Err(self.job.lost_refusal());
            }
        }
    }

    fn head_timeout(&self, at: &UpstreamId) -> Duration {
        // Without an alternative, abandoning the upstream would only lose its response.
        if self.can_move()
            && self
                .retry
                .has_other_upstream(&self.core, &self.job, Some(at))
        {
            timeouts::FIRST_EVENT_BUSY
        } else {
            self.job.time_left()
        }
    }

    fn can_move(&self) -> bool {
        let route = &self.job.route;
        route.kind == Kind::ResumableStream && self.retry.runs + 1 < route.attempts
    }

    /// Reads up to the first complete event, or an error response to its end.
    async fn read_start(&mut self, answered: Answered) -> Result<Opened, String> {
        let Answered {
            mut flight,
            exchange,
            sent,
        } = answered;
        let (head, body) = exchange.response.into_parts();
        if falsely_implies_not_run(self.job.route.kind, head.status) {
            return Err(format!(
                "status {} from an upstream that may have run the request",
                head.status
            ));
        }
        if !head.status.is_success() {
            let read = timeout_at(self.job.deadline, body.collect()).await;
            let body = match read
                .map_err(|_| "response body did not end before the deadline".to_owned())?
            {
                Ok(body) => body.to_bytes(),
                Err(error) => {
                    loss::report_broken_connection(&self.core, &self.job, &mut flight, sent, true)
                        .await;
                    return Err(error.to_string());
                }
            };
            return Ok(Opened::Complete(caller_response(
                head.status,
                &head.headers,
                full_body(body),
            )));
        }
        let mut stream = UpstreamStream {
            flight,
            sent,
            body,
            _connection: exchange.connection,
            splitter: EventSplitter::default(),
            status: head.status,
            headers: head.headers,
            first_events: None,
            body_begun: false,
            event_received: false,
        };
        let first = self.read_events(&mut stream).await?;
        stream.first_events = Some(first.unwrap_or(EventBatch {
            bytes: Bytes::new(),
            ids: Vec::new(),
        }));
        Ok(Opened::Stream(Box::new(stream)))
    }

    /// The next events for the caller; `None` at the end of the stream.
    async fn next_events(&mut self, stream: &mut UpstreamStream) -> Result<Option<Bytes>, String> {
        let events = match stream.first_events.take() {
            Some(events) => Some(events),
            None => self.read_events(stream).await?,
        };
        let Some(events) = events else {
            return Ok(None);
        };
        self.check_order(&events)?;
        Ok(Some(events.bytes))
    }

    /// Checks that event ids continue without gaps or repeats.
    fn check_order(&mut self, events: &EventBatch) -> Result<(), String> {
        for id in &events.ids {
            if let Some(last) = self.last_event_id
                && *id != last + 1
            {
                return Err(format!("event {id} arrived after event {last}"));
            }
            self.last_event_id = Some(*id);
        }
        Ok(())
    }

    /// Reads the next complete events from an upstream; `None` at the end of the stream.
    async fn read_events(&self, stream: &mut UpstreamStream) -> Result<Option<EventBatch>, String> {
        let mut silent_since = Instant::now();
        loop {
            let until = self
                .silence_deadline(stream, silent_since)
                .min(stream.next_check());
            let frame = match timeout_at(until, stream.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => {
                    return Err(self.report_broken(stream, &error.to_string()).await);
                }
                Ok(None) if stream.splitter.is_partial() => {
                    return Err(self
                        .report_broken(stream, "stream ended within an event")
                        .await);
                }
                Ok(None) => return Ok(None),
                Err(_) if Instant::now() >= self.job.deadline => {
                    return Err("request deadline expired".to_owned());
                }
                Err(_) if stream.weights_expired() => return Err(WEIGHTS_EXPIRED.to_owned()),
                Err(_) if Instant::now() < self.silence_deadline(stream, silent_since) => continue,
                Err(_) if Self::is_active_on_other_connections(stream, silent_since) => {
                    return Err(
                        "stream went silent while its upstream sent on other connections"
                            .to_owned(),
                    );
                }
                Err(_) => {
                    stream.flight.record_failure(clock::now());
                    let loss = BrokenAnswer::new(
                        &self.job,
                        &mut stream.flight,
                        stream.sent,
                        stream.body_begun,
                    );
                    loss.report_silence(&self.core);
                    return Err("upstream went silent".to_owned());
                }
            };
            stream.flight.record_received(clock::now());
            silent_since = Instant::now();
            let Ok(data) = frame.into_data() else {
                continue;
            };
            stream.body_begun = true;
            let events = stream.splitter.push(&data);
            if let Some(events) = events.map_err(|_| "event exceeds the size limit".to_owned())? {
                stream.event_received = true;
                return Ok(Some(events));
            }
        }
    }

    /// Reports that a stream's connection broke, and returns the reason.
    async fn report_broken(&self, stream: &mut UpstreamStream, why: &str) -> String {
        let (sent, body_begun) = (stream.sent, stream.body_begun);
        loss::report_broken_connection(&self.core, &self.job, &mut stream.flight, sent, body_begun)
            .await;
        why.to_owned()
    }

    /// Until when silence is tolerated.
    fn silence_deadline(&self, stream: &UpstreamStream, silent_since: Instant) -> Instant {
        // Without another engine to resume at, waiting is better: the response may still continue.
        if !self.can_move()
            || !self
                .retry
                .has_other_upstream(&self.core, &self.job, Some(&stream.flight.id))
        {
            return self.job.deadline;
        }
        let active_on_other_connections =
            Self::is_active_on_other_connections(stream, silent_since);
        let tolerated = timeouts::stream(stream.event_received, active_on_other_connections);
        self.job.deadline.min(silent_since + tolerated)
    }

    /// Whether bytes arrived from the upstream on another connection since.
    fn is_active_on_other_connections(stream: &UpstreamStream, silent_since: Instant) -> bool {
        let silent = clock::now().since(stream.flight.last_received());
        silent + Duration::from_millis(1) < silent_since.elapsed()
    }

    /// Resumes, at another upstream, a stream that broke off.
    async fn resume(&mut self, stream: UpstreamStream, why: &str) -> Option<UpstreamStream> {
        let id = stream.flight.id.clone();
        warn!(event = events::ATTEMPT, request = %self.job.head.id, upstream = %id, software = %stream.flight.software, why, passed = self.last_event_id, "stream broke off");
        // Closes the connection so that two upstreams do not work on one request.
        drop(stream);
        // Without an event id there is no position to resume from.
        self.last_event_id?;
        self.retry.record_run(id);
        while self.retry.can_run_again(&self.job) {
            // Counts against the retry budget only if an upstream is available.
            let other = self.retry.has_other_upstream(&self.core, &self.job, None);
            if other && self.core.try_retry(&self.retry.service) {
                match self.open().await {
                    Ok(Opened::Stream(stream)) => return Some(*stream),
                    Ok(Opened::Complete(_)) => return None,
                    Err(_) => {}
                }
            }
            // The caller has part of the response and needs the rest, so all engines are tried again.
            self.retry.reset_refusals();
            sleep(RESUME_RETRY_DELAY).await;
        }
        None
    }
}
