//! Reads the events of an upstream, and decides how long its silence is tolerated.

use super::{Opened, StreamRelay};
use crate::clock;
use crate::fleet::Flight;
use crate::intake::full_body;
use crate::relay::attempt::{
    Answered, QUARANTINED, READ_GRACE, WEIGHTS_EXPIRED, falsely_implies_not_run,
};
use crate::relay::loss::{self, ANSWERED_FOR, BrokenAnswer};
use crate::relay::plain::{BUFFER_LIMIT, caller_response};
use crate::relay::sse::{EventBatch, EventSplitter};
use crate::upstream::{Connection, ResponseBody, collect};
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use sesamegap_policy::routing::timeouts;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// How often a waiting stream rechecks its deadlines, which change as engines join and leave.
const RECHECK_INTERVAL: Duration = Duration::from_millis(300);

/// An event stream from an upstream.
#[derive(Debug)]
pub(super) struct UpstreamStream {
    pub(super) flight: Flight,
    /// When the request was sent.
    pub(super) sent: Instant,
    body: ResponseBody,
    _connection: Connection,
    splitter: EventSplitter,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) first_events: Option<EventBatch>,
    /// When the first bytes of the body arrived.
    begun_at: Option<Instant>,
    /// Whether a complete event has arrived.
    event_received: bool,
}

impl UpstreamStream {
    /// Time until the request is withdrawn because its weights expire. Returns `None` without locking the fleet
    /// once the response has begun, as it is called for each event.
    fn left_to_begin(&self) -> Option<Duration> {
        if self.begun_at.is_some() {
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
    /// Reads up to the first complete event, or an error response to its end.
    pub(super) async fn read_start(&mut self, answered: Answered) -> Result<Opened, String> {
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
            let read = timeout_at(self.job.deadline, collect(body, BUFFER_LIMIT)).await;
            let body = match read
                .map_err(|_| "response body did not end before the deadline".to_owned())?
            {
                Ok(Some(body)) => body,
                Ok(None) => {
                    flight.record_failure(clock::now());
                    return Err("the body of an error response exceeds the size limit".to_owned());
                }
                Err(error) => {
                    loss::report_broken_connection(
                        &self.core,
                        &self.job,
                        &mut flight,
                        sent,
                        Some(Instant::now()),
                    )
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
            begun_at: None,
            event_received: false,
        };
        let first = self.read_events(&mut stream).await?;
        stream.first_events = Some(first.unwrap_or(EventBatch {
            bytes: Bytes::new(),
            ids: Vec::new(),
        }));
        Ok(Opened::Stream(Box::new(stream)))
    }

    /// Reads the next complete events from an upstream; `None` at the end of the stream.
    pub(super) async fn read_events(
        &self,
        stream: &mut UpstreamStream,
    ) -> Result<Option<EventBatch>, String> {
        let mut silent_since = Instant::now();
        loop {
            // An upstream that sends without a pause never runs into a timeout.
            if Instant::now() >= self.job.deadline + READ_GRACE {
                return Err("request deadline expired".to_owned());
            }
            let until = self
                .silence_deadline(stream, silent_since)
                .min(stream.next_check());
            let frame = tokio::select! {
                biased;
                frame = timeout_at(until, stream.body.frame()) => frame,
                () = self.core.quarantine.wait_until_refused(self.job.subjects()), if stream.begun_at.is_none() => {
                    return Err(QUARANTINED.to_owned());
                }
            };
            let frame = match frame {
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
                        stream.begun_at,
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
            let begun_at = *stream.begun_at.get_or_insert(silent_since);
            if let Some(permit) = &mut stream.flight.permit
                && begun_at.elapsed() >= ANSWERED_FOR
            {
                permit.end_turn();
            }
            let Ok(events) = stream.splitter.push(&data) else {
                stream.flight.record_failure(clock::now());
                return Err("event exceeds the size limit".to_owned());
            };
            if let Some(events) = events {
                stream.event_received = true;
                return Ok(Some(events));
            }
        }
    }

    /// Reports that a stream's connection broke, and returns the reason.
    async fn report_broken(&self, stream: &mut UpstreamStream, why: &str) -> String {
        let (sent, begun) = (stream.sent, stream.begun_at);
        loss::report_broken_connection(&self.core, &self.job, &mut stream.flight, sent, begun)
            .await;
        why.to_owned()
    }

    /// Until when silence is tolerated.
    fn silence_deadline(&self, stream: &UpstreamStream, silent_since: Instant) -> Instant {
        // Without another engine to resume at, waiting is better: the response may still continue.
        if !self.can_move()
            || !self
                .retry
                .may_abandon(&self.core, &self.job, &stream.flight.id)
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
}
