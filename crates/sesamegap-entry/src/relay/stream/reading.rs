//! Reads the events of an upstream, and tells when it is silent for too long.

use super::opening::Opened;
use crate::clock;
use crate::core::Core;
use crate::fleet::Flight;
use crate::intake::full_body;
use crate::job::Job;
use crate::relay::attempt::{
    Answered, QUARANTINED, READ_GRACE, WEIGHTS_EXPIRED, falsely_implies_not_run,
};
use crate::relay::loss::{self, ANSWERED_FOR, BrokenAnswer, BrokenReport};
use crate::relay::plain::{BUFFER_LIMIT, caller_response};
use crate::relay::retry::RetryState;
use crate::relay::sse::{EventBatch, EventSplitter};
use crate::upstream::{
    Connection, Delimiter, GaveWay, HeldBytes, Part, ReadError, ResponseBody, collect,
};
use http::{HeaderMap, StatusCode};
use sesamegap_policy::routing::timeouts::{SILENT_AFTER, Silence};
use std::sync::Arc;
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
    broken: BrokenReport,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) first_events: Option<EventBatch>,
    /// When the first bytes of the body arrived.
    begun_at: Option<Instant>,
    /// Whether a complete event has arrived.
    event_received: bool,
    /// When bytes last arrived.
    silent_since: Instant,
    /// Before this moment its silence is not told again.
    pub(super) patient_until: Instant,
}

/// Where a run begins.
#[derive(Debug, Clone, Copy)]
pub(super) struct Position {
    /// The event after which it begins.
    pub(super) after: Option<u64>,
    /// Whether the stream has another run, which goes on or has sent a part of it to the caller.
    pub(super) has_other: bool,
}

impl Position {
    /// Whether a run that ends without an event shows that no event is missing.
    fn may_be_empty(self, delimiter: Delimiter) -> bool {
        // A connection also closes if its upstream gives the request up.
        !self.has_other && matches!(delimiter, Delimiter::LastChunk | Delimiter::Length)
    }
}

/// What an upstream's stream brought.
#[derive(Debug)]
pub(super) enum Read {
    /// Events.
    Events(EventBatch),
    /// Its end; it is complete.
    End(Delimiter),
    /// Nothing, for longer than is tolerated.
    Silent,
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

    /// Whether its upstream has sent on another connection since.
    fn is_active_elsewhere(&self) -> bool {
        let silent = clock::now().since(self.flight.last_received());
        silent + Duration::from_millis(1) < self.silent_since.elapsed()
    }

    /// Records that its upstream is silent for longer than a pause.
    pub(super) fn record_silence(&mut self) {
        // Its trial must not keep the request from another upstream.
        if let Some(permit) = &mut self.flight.permit {
            permit.end_turn();
        }
        if !self.is_active_elsewhere() {
            self.flight.record_failure(clock::now());
        }
    }

    /// Reports that another upstream goes on with its request, since it was silent.
    pub(super) fn report_given_up(&mut self, core: &Core, job: &Job) {
        if !self.is_active_elsewhere() {
            BrokenAnswer::new(job, &mut self.flight, self.sent, self.begun_at).report_silence(core);
        }
    }

    /// When to recheck the deadlines.
    fn next_check(&self) -> Instant {
        let left = self
            .left_to_begin()
            .map_or(RECHECK_INTERVAL, |left| left.min(RECHECK_INTERVAL));
        Instant::now() + left.max(READ_GRACE)
    }
}

/// Reads up to the first complete event, or an error response to its end.
///
/// A run that resumes a stream must begin with the event that follows.
pub(super) async fn read_start(
    core: &Arc<Core>,
    job: &Job,
    answered: Answered,
    position: Position,
) -> Result<Opened, String> {
    let Answered {
        mut flight,
        exchange,
        sent,
    } = answered;
    let (head, body) = exchange.response.into_parts();
    if falsely_implies_not_run(job.route.kind, head.status) {
        return Err(format!(
            "status {} from an upstream that may have run the request",
            head.status
        ));
    }
    if !head.status.is_success() {
        let buffer = HeldBytes::new(&core.answers, flight.id.clone());
        let read = timeout_at(job.deadline, collect(body, BUFFER_LIMIT, buffer)).await;
        let body = match read
            .map_err(|_| "response body did not end before the deadline".to_owned())?
        {
            Ok(body) => body,
            Err(ReadError::GaveWay) => {
                flight.record_failure(clock::now());
                return Err(GaveWay.to_string());
            }
            Err(ReadError::TooLong) => {
                flight.record_failure(clock::now());
                return Err("the body of an error response exceeds the size limit".to_owned());
            }
            Err(ReadError::Broken(error)) => {
                loss::report_broken_connection(core, job, &mut flight, sent, Some(Instant::now()))
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
        splitter: EventSplitter::new(HeldBytes::new(&core.answers, flight.id.clone())),
        flight,
        sent,
        body,
        _connection: exchange.connection,
        broken: BrokenReport::default(),
        status: head.status,
        headers: head.headers,
        first_events: None,
        begun_at: None,
        event_received: false,
        silent_since: Instant::now(),
        patient_until: Instant::now(),
    };
    stream.first_events = Some(read_first(core, job, &mut stream, position).await?);
    Ok(Opened::Stream(Box::new(stream)))
}

/// Reads the first events.
async fn read_first(
    core: &Arc<Core>,
    job: &Job,
    stream: &mut UpstreamStream,
    position: Position,
) -> Result<EventBatch, String> {
    loop {
        let read = read_events(core, job, stream, None).await?;
        let events = match read {
            Read::Events(events) => events,
            Read::End(delimiter) if position.may_be_empty(delimiter) => {
                return Ok(EventBatch::default());
            }
            // The head and the end of a second run do not show that it goes on where the first one stopped.
            Read::End(_) => return Err("stream ended without an event".to_owned()),
            Read::Silent => continue,
        };
        let Some(last) = position.after else {
            return Ok(events);
        };
        match events.first_number() {
            // Comments may come before the first event.
            None => {}
            Some(Some(first)) if first == last + 1 => return Ok(events),
            Some(first) => {
                return Err(format!(
                    "resumed stream began with event {first:?} after event {last}"
                ));
            }
        }
    }
}

/// Reads the next complete events from an upstream.
///
/// [`Read::Silent`] is returned only with the attempts of the request, which say whether another upstream may be asked.
/// Nothing is lost if the future is dropped: a stream that broke off or ended does so again at the next read.
pub(super) async fn read_events(
    core: &Arc<Core>,
    job: &Job,
    stream: &mut UpstreamStream,
    retry: Option<&RetryState>,
) -> Result<Read, String> {
    loop {
        // An upstream that sends without a pause never runs into a timeout.
        if Instant::now() >= job.deadline + READ_GRACE {
            return Err("request deadline expired".to_owned());
        }
        let until = silence_deadline(core, job, stream, retry).min(stream.next_check());
        let read = tokio::select! {
            biased;
            read = timeout_at(until, stream.body.read()) => read,
            () = stream.splitter.given_way() => {
                stream.flight.record_failure(clock::now());
                return Err(GaveWay.to_string());
            }
            () = core.quarantine.wait_until_refused(job.subjects()), if stream.begun_at.is_none() => {
                return Err(QUARANTINED.to_owned());
            }
        };
        let data = match read {
            Ok(Ok(Part::Data(data))) => data,
            Ok(Err(error)) => {
                return Err(report_broken(core, job, stream, &error.to_string()).await);
            }
            Ok(Ok(Part::End(_))) if stream.splitter.is_partial() => {
                let why = "stream ended within an event";
                return Err(report_broken(core, job, stream, why).await);
            }
            Ok(Ok(Part::End(delimiter))) => return Ok(Read::End(delimiter)),
            Err(_) if Instant::now() >= job.deadline => {
                return Err("request deadline expired".to_owned());
            }
            Err(_) if stream.weights_expired() => return Err(WEIGHTS_EXPIRED.to_owned()),
            Err(_) if Instant::now() < silence_deadline(core, job, stream, retry) => continue,
            Err(_) if retry.is_none() => continue,
            Err(_) => return Ok(Read::Silent),
        };
        stream.flight.record_received(clock::now());
        stream.silent_since = Instant::now();
        let begun_at = *stream.begun_at.get_or_insert(stream.silent_since);
        if let Some(permit) = &mut stream.flight.permit
            && begun_at.elapsed() >= ANSWERED_FOR
        {
            permit.end_turn();
        }
        let events = match stream.splitter.push(&data) {
            Ok(events) => events,
            Err(error) => {
                stream.flight.record_failure(clock::now());
                return Err(error.to_string());
            }
        };
        if let Some(events) = events {
            stream.event_received = true;
            return Ok(Read::Events(events));
        }
    }
}

/// Reports that a stream's connection broke, and returns the reason.
async fn report_broken(
    core: &Arc<Core>,
    job: &Job,
    stream: &mut UpstreamStream,
    why: &str,
) -> String {
    let (sent, begun) = (stream.sent, stream.begun_at);
    let report = stream
        .broken
        .run(core, job, &mut stream.flight, sent, begun);
    report.await;
    why.to_owned()
}

/// Until when nothing is done about an upstream's silence.
fn silence_deadline(
    core: &Core,
    job: &Job,
    stream: &UpstreamStream,
    retry: Option<&RetryState>,
) -> Instant {
    let at = &stream.flight.id;
    let asks =
        retry.filter(|retry| retry.can_run_beside(job) && retry.may_ask_another(core, job, at));
    let Some(retry) = asks else {
        return job.deadline;
    };
    let silence = Silence {
        started: stream.event_received,
        active_elsewhere: stream.is_active_elsewhere(),
        common: stream.silent_since.elapsed() >= SILENT_AFTER
            && core
                .fleet
                .lock()
                .is_silence_common(&retry.service, at, clock::now()),
    };
    let until = (stream.silent_since + silence.tolerated()).max(stream.patient_until);
    job.deadline.min(until)
}
