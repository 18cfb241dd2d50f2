//! Streams of events, passed on as they come.
//!
//! The head goes to the caller with the first whole event, since until then a request that may be
//! repeated can still go elsewhere unseen. A resumable stream that breaks off is gone on with at
//! another upstream after the last event that was passed on; any other is broken off to the
//! caller, which must not look like its end.

use super::Job;
use super::attempt::{Answered, OUTDATED, Outcome, READY, is_false_promise, send};
use super::loss::{self, BrokenAnswer};
use super::plain::respond;
use super::progress::Progress;
use super::request_log::RequestLog;
use super::sse::{Cutter, Events};
use super::waiting::upstream;
use crate::catalogue::Kind;
use crate::clock;
use crate::core::Core;
use crate::fleet::Flight;
use crate::intake::{Body, Refusal, full, refuse};
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

/// How often a silent stream's outlook is taken anew: engines come and go meanwhile.
const LOOK: Duration = Duration::from_millis(300);

/// Pause before a stream that broke off is tried at all engines again.
const AGAIN: Duration = Duration::from_millis(150);

/// A stream that has begun at an upstream.
#[derive(Debug)]
struct Live {
    flight: Flight,
    /// When the request was sent.
    sent: Instant,
    body: Incoming,
    _connection: Connection,
    cutter: Cutter,
    status: StatusCode,
    headers: HeaderMap,
    first: Option<Events>,
    /// Whether any byte of its body has come.
    begun: bool,
    /// Whether a whole event has come.
    started: bool,
}

/// What an upstream came up with.
#[derive(Debug)]
enum Opened {
    /// Events.
    Live(Box<Live>),
    /// A whole answer that is not a stream.
    Whole(Response<Body>),
}

/// A request for a stream on its way.
#[derive(Debug)]
struct Relay {
    core: Arc<Core>,
    job: Job,
    progress: Progress,
    /// Last event that was passed on.
    passed: Option<u64>,
}

/// Relays a request for a stream.
pub async fn run(core: Arc<Core>, job: Job) -> Response<Body> {
    let mut log = RequestLog::new(&core, &job);
    let progress = Progress::new(&job);
    let mut relay = Relay {
        core,
        job,
        progress,
        passed: None,
    };
    match relay.open().await {
        Ok(Opened::Live(live)) => {
            log.first();
            let status = live.status;
            let headers = live.headers.clone();
            let body = StreamBody::new(flow(relay, *live, log)).boxed_unsync();
            respond(status, &headers, body)
        }
        Ok(Opened::Whole(response)) => {
            log.end(response.status().as_u16(), relay.progress.runs + 1, "");
            response
        }
        Err(refusal) => {
            let status = refusal.status().as_u16();
            log.end(status, relay.progress.runs, refusal.to_string());
            refuse(refusal)
        }
    }
}

/// The body of the answer: events of one upstream after another.
fn flow(
    mut relay: Relay,
    mut live: Live,
    mut log: RequestLog,
) -> impl futures_util::Stream<Item = io::Result<Frame<Bytes>>> + Send {
    async_stream::stream! {
        loop {
            match relay.next(&mut live).await {
                Ok(Some(bytes)) => {
                    log.passed();
                    yield Ok(Frame::data(bytes));
                }
                Ok(None) => {
                    relay.core.quarantine.succeeded(relay.job.fingerprint());
                    log.end(live.status.as_u16(), relay.progress.runs + 1, "");
                    return;
                }
                Err(why) => {
                    let next = relay.go_on(live, &why).await;
                    let Some(next) = next else {
                        // Its head went out as a success, whatever became of the rest.
                        log.end(StatusCode::OK.as_u16(), relay.progress.runs, why.clone());
                        yield Err(io::Error::other(why));
                        return;
                    };
                    live = next;
                }
            }
        }
    }
}

impl Live {
    /// Time until it is taken back; none once it has begun, which spares the look at each of its events.
    fn left_to_begin(&self) -> Option<Duration> {
        if self.begun {
            return None;
        }
        self.flight.left_to_begin(clock::now())
    }

    /// Whether it waits at an engine whose weights it may not begin on any more.
    fn is_outdated(&self) -> bool {
        self.left_to_begin().is_some_and(|left| left.is_zero())
    }

    /// When its outlook is taken anew.
    fn next_look(&self) -> Instant {
        let left = self.left_to_begin().map_or(LOOK, |left| left.min(LOOK));
        Instant::now() + left.max(READY)
    }
}

impl Relay {
    /// Sends the request until an upstream begins to answer.
    async fn open(&mut self) -> Result<Opened, Refusal> {
        loop {
            let flight = upstream(&self.core, &self.job, &self.progress).await?;
            let time = self.head_patience(&flight.id);
            let (id, outcome) = send(&self.core, &self.job, flight, time, self.passed).await;
            match outcome {
                Outcome::Answered(answered) => match self.begin(*answered).await {
                    Ok(opened) => return Ok(opened),
                    Err(why) => {
                        warn!(event = events::ATTEMPT, request = %self.job.head.id, upstream = %id, why, "no stream");
                    }
                },
                Outcome::NotRun(why) => {
                    if !self.progress.after_not_run(&self.core, id, why) {
                        return Err(self.progress.unserved());
                    }
                    continue;
                }
                Outcome::Lost(_) => {}
            }
            if !self.progress.after_run(&self.core, &self.job, id) {
                return Err(self.job.lost());
            }
        }
    }

    fn head_patience(&self, at: &UpstreamId) -> Duration {
        // Without another to go to, giving up the one that was chosen only loses its answer.
        if self.may_move() && self.progress.has_other(&self.core, Some(at)) {
            timeouts::FIRST_EVENT_BUSY
        } else {
            self.job.left()
        }
    }

    fn may_move(&self) -> bool {
        let route = &self.job.route;
        route.kind == Kind::ResumableStream && self.progress.runs + 1 < route.attempts
    }

    /// Reads up to the first whole event.
    async fn begin(&mut self, answered: Answered) -> Result<Opened, String> {
        let Answered {
            mut flight,
            exchange,
            sent,
        } = answered;
        let (head, body) = exchange.response.into_parts();
        if is_false_promise(self.job.route.kind, head.status) {
            return Err(format!(
                "{} from an upstream that may have run it",
                head.status
            ));
        }
        if !head.status.is_success() {
            let read = timeout_at(self.job.ends, body.collect()).await;
            let body = match read.map_err(|_| "no body in time".to_owned())? {
                Ok(body) => body.to_bytes(),
                Err(error) => {
                    loss::broke(&self.core, &self.job, &mut flight, sent, true).await;
                    return Err(error.to_string());
                }
            };
            return Ok(Opened::Whole(respond(
                head.status,
                &head.headers,
                full(body),
            )));
        }
        let mut live = Live {
            flight,
            sent,
            body,
            _connection: exchange.connection,
            cutter: Cutter::default(),
            status: head.status,
            headers: head.headers,
            first: None,
            begun: false,
            started: false,
        };
        let first = self.read(&mut live).await?;
        live.first = Some(first.unwrap_or(Events {
            bytes: Bytes::new(),
            ids: Vec::new(),
        }));
        Ok(Opened::Live(Box::new(live)))
    }

    /// The next events to pass on; none at the end of the stream.
    async fn next(&mut self, live: &mut Live) -> Result<Option<Bytes>, String> {
        let events = match live.first.take() {
            Some(events) => Some(events),
            None => self.read(live).await?,
        };
        let Some(events) = events else {
            return Ok(None);
        };
        self.follows(&events)?;
        Ok(Some(events.bytes))
    }

    /// Checks that events go on where the last ones ended.
    fn follows(&mut self, events: &Events) -> Result<(), String> {
        for id in &events.ids {
            if let Some(passed) = self.passed
                && *id != passed + 1
            {
                return Err(format!("event {id} after event {passed}"));
            }
            self.passed = Some(*id);
        }
        Ok(())
    }

    /// Reads events from an upstream.
    async fn read(&self, live: &mut Live) -> Result<Option<Events>, String> {
        let mut since = Instant::now();
        loop {
            let until = self.silent_until(live, since).min(live.next_look());
            let frame = match timeout_at(until, live.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Err(self.broken(live, &error.to_string()).await),
                Ok(None) if live.cutter.is_partial() => {
                    return Err(self.broken(live, "ended within an event").await);
                }
                Ok(None) => return Ok(None),
                Err(_) if Instant::now() >= self.job.ends => return Err("time is over".to_owned()),
                Err(_) if live.is_outdated() => return Err(OUTDATED.to_owned()),
                Err(_) if Instant::now() < self.silent_until(live, since) => continue,
                Err(_) if Self::is_heard(live, since) => {
                    return Err("its stream went silent".to_owned());
                }
                Err(_) => {
                    live.flight.failed(clock::now());
                    let loss =
                        BrokenAnswer::new(&self.job, &mut live.flight, live.sent, live.begun);
                    loss.silent(&self.core);
                    return Err("the upstream went silent".to_owned());
                }
            };
            live.flight.heard(clock::now());
            since = Instant::now();
            let Ok(data) = frame.into_data() else {
                continue;
            };
            live.begun = true;
            let events = live.cutter.push(&data);
            if let Some(events) = events.map_err(|_| "an event is too long".to_owned())? {
                live.started = true;
                return Ok(Some(events));
            }
        }
    }

    /// Notes that a stream's connection broke; why it ends.
    async fn broken(&self, live: &mut Live, why: &str) -> String {
        let (sent, begun) = (live.sent, live.begun);
        loss::broke(&self.core, &self.job, &mut live.flight, sent, begun).await;
        why.to_owned()
    }

    /// Until when silence is borne.
    fn silent_until(&self, live: &Live, since: Instant) -> Instant {
        // Silence alone ends no answer: without another engine to go on at, it may still come.
        if !self.may_move() || !self.progress.has_other(&self.core, Some(&live.flight.id)) {
            return self.job.ends;
        }
        let heard = Self::is_heard(live, since);
        let borne = timeouts::stream(live.started, heard);
        self.job.ends.min(since + borne)
    }

    /// Whether the upstream was heard on another connection since.
    fn is_heard(live: &Live, since: Instant) -> bool {
        let silent = clock::now().since(live.flight.last_heard());
        silent + Duration::from_millis(1) < since.elapsed()
    }

    /// Goes on at another upstream after a stream broke off.
    async fn go_on(&mut self, live: Live, why: &str) -> Option<Live> {
        let id = live.flight.id.clone();
        warn!(event = events::ATTEMPT, request = %self.job.head.id, upstream = %id, why, passed = self.passed, "stream broke off");
        // Closes the connection first: two upstreams must not work on one request.
        drop(live);
        // Before the first event there is nothing to go on from.
        self.passed?;
        self.progress.ran(id);
        while self.progress.may_run_again(&self.job) {
            // Only a try that can be made counts against the fleet's bound.
            let other = self.progress.has_other(&self.core, None);
            if other && self.core.try_retry(&self.progress.service) {
                match self.open().await {
                    Ok(Opened::Live(live)) => return Some(*live),
                    Ok(Opened::Whole(_)) => return None,
                    Err(_) => {}
                }
            }
            // The caller has part of its answer, and nothing but the rest is of use to it.
            self.progress.forgive();
            sleep(AGAIN).await;
        }
        None
    }
}
