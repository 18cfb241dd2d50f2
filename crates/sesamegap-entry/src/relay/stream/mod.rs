//! Relays event streams.
//!
//! The head is sent to the caller with the first complete event; until then a retryable request can move to
//! another upstream unnoticed. A resumable stream that breaks off continues at another upstream of the same software
//! version after the last event sent to the caller. One that is silent stays, and continues there if another upstream goes
//! on first. Any other is aborted so that the caller does not take it for
//! complete.

mod opening;
mod reading;

use super::plain::caller_response;
use super::request_log::RequestLog;
use super::retry::RetryState;
use super::sse::EventBatch;
use crate::catalogue::Kind;
use crate::core::Core;
use crate::intake::{Body, refusal_response};
use crate::job::Job;
use crate::resumption::record_begin;
use crate::telemetry::events;
use crate::upstream::Delimiter;
use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use opening::{Beside, Fate, Opened};
use reading::{Read, UpstreamStream, read_events};
use sesamegap_policy::quarantine::Standing;
use sesamegap_policy::resumption::Origin;
use sesamegap_policy::routing::timeouts;
use sesamegap_wire::SoftwareVersion;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tracing::{info, warn};

/// Delay before all engines are tried again to resume a stream.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(150);

/// A stream request with its attempts so far.
#[derive(Debug)]
struct StreamRelay {
    core: Arc<Core>,
    job: Arc<Job>,
    retry: RetryState,
    /// Whether the caller got the head.
    has_begun: bool,
    /// Whether another upstream, which is silent, still has the request.
    is_beside: bool,
    /// Id of the last event that the caller has, from here or before.
    last_event_id: Option<u64>,
    /// The version that was recorded to have begun the stream.
    recorded: Option<SoftwareVersion>,
}

/// What comes next in a stream.
#[derive(Debug)]
enum Next {
    /// Events.
    Events(EventBatch),
    /// Its end; it is complete.
    End(Delimiter),
}

/// Relays a stream request.
pub async fn run(core: Arc<Core>, job: Job) -> Response<Body> {
    let mut log = RequestLog::new(&core, &job);
    let retry = RetryState::new(&job);
    let last_event_id = last_event_id(&job);
    let mut relay = StreamRelay {
        core,
        job: Arc::new(job),
        retry,
        has_begun: false,
        is_beside: false,
        last_event_id,
        recorded: None,
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

/// Id of the last event that the caller has of a stream that it takes up.
fn last_event_id(job: &Job) -> Option<u64> {
    let after = job.head.after.as_ref()?;
    job.takes_up().then(|| after.parse().ok())?
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
                Ok(Next::Events(events)) => {
                    log.record_events(&events.ids);
                    yield Ok(Frame::data(events.bytes));
                }
                Ok(Next::End(delimiter)) => {
                    let quarantine = &relay.core.quarantine;
                    quarantine.record_completion(relay.job.subjects(), stream.sent);
                    log.record_whole(delimiter);
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

impl StreamRelay {
    /// Whether the request is quarantined by now.
    fn is_refused(&self) -> bool {
        self.core.quarantine.standing(self.job.subjects()) == Standing::Quarantined
    }

    /// The next events for the caller.
    async fn next_events(&mut self, stream: &mut UpstreamStream) -> Result<Next, String> {
        let events = match stream.first_events.take() {
            Some(events) => events,
            None => match self.read_on(stream).await? {
                Next::Events(events) => events,
                end @ Next::End(_) => return Ok(end),
            },
        };
        self.has_begun = true;
        self.check_order(&events)?;
        let recorded = self.recorded.as_ref();
        if !recorded.is_some_and(SoftwareVersion::is_stated) {
            self.record_version(stream.flight.begun_software()).await;
        }
        Ok(Next::Events(events))
    }

    /// Reads on, at another upstream if this one is silent and that one goes on first.
    async fn read_on(&mut self, stream: &mut UpstreamStream) -> Result<Next, String> {
        let mut read = read_events(&self.core, &self.job, stream, Some(&self.retry)).await?;
        loop {
            match read {
                Read::Events(events) => return Ok(Next::Events(events)),
                Read::End(delimiter) => return Ok(Next::End(delimiter)),
                Read::Silent => {}
            }
            stream.record_silence();
            read = match self.read_beside(stream).await {
                Beside::First(first) => first?,
                Beside::Second(Opened::Stream(second), fate) => {
                    if fate == Fate::Silent {
                        stream.report_given_up(&self.core, &self.job);
                    }
                    // Closes the silent connection before an event of the other one is passed on.
                    *stream = *second;
                    return Ok(Next::Events(stream.first_events.take().unwrap_or_default()));
                }
                Beside::Second(Opened::Complete(_), _) | Beside::Neither => {
                    stream.patient_until = Instant::now() + timeouts::NEXT_TRY;
                    read_events(&self.core, &self.job, stream, Some(&self.retry)).await?
                }
            };
        }
    }

    /// Reads on while another upstream is asked.
    async fn read_beside(&mut self, stream: &mut UpstreamStream) -> Beside<Result<Read, String>> {
        if self.is_contradicted(stream) {
            self.record_version(SoftwareVersion::default()).await;
        }
        let (core, job) = (Arc::clone(&self.core), Arc::clone(&self.job));
        let silent = stream.flight.id.clone();
        let first = pin!(read_events(&core, &job, stream, None));
        if self.last_event_id.is_none() {
            // Without an event id there is no position to resume from.
            return Beside::First(first.await);
        }
        self.open_beside(&silent, first, Result::is_err).await
    }

    /// Whether the list now names another software version for the upstream than the one that was recorded.
    fn is_contradicted(&self, stream: &UpstreamStream) -> bool {
        let recorded = self.recorded.as_ref();
        recorded.is_some_and(|software| stream.flight.contradicts(software))
    }

    /// Binds a resumable stream to the software version of its upstream, for this VM and those that may take it up.
    async fn record_version(&mut self, software: SoftwareVersion) {
        if self.job.route.kind != Kind::ResumableStream {
            return;
        }
        if self.recorded.as_ref() == Some(&software) {
            return;
        }
        let origin = Origin {
            service: self.retry.service.clone(),
            software: software.clone(),
        };
        record_begin(&self.core, &self.job, origin).await;
        self.retry.software = Some(software.clone());
        self.recorded = Some(software);
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

    /// Resumes, at another upstream, a stream that broke off.
    async fn resume(&mut self, stream: UpstreamStream, why: &str) -> Option<UpstreamStream> {
        let id = stream.flight.id.clone();
        warn!(event = events::ATTEMPT, request = %self.job.head.id, upstream = %id, software = %stream.flight.software, why, passed = self.last_event_id, "stream broke off");
        if self.is_contradicted(&stream) {
            self.record_version(SoftwareVersion::default()).await;
        }
        // Closes the connection so that two upstreams do not work on one request.
        drop(stream);
        // Without an event id there is no position to resume from.
        self.last_event_id?;
        self.retry.record_run(id);
        while self.retry.can_run_again(&self.job) {
            if self.is_refused() {
                return None;
            }
            if self.retry.is_version_gone(&self.core) {
                info!(event = events::ATTEMPT, request = %self.job.head.id, software = self.retry.software.as_ref().map(tracing::field::display), "no upstream of the stream's software version is left");
                return None;
            }
            // Counts against the retry budget only if an upstream is available.
            let other = self.retry.has_other_upstream(&self.core, &self.job, None);
            if other
                && self.retry.try_charge(&self.core)
                && let Ok(Opened::Stream(stream)) = self.open().await
            {
                return Some(*stream);
            }
            // The caller has part of the response and needs the rest, so all engines are tried again.
            self.retry.reset_refusals();
            sleep(RESUME_RETRY_DELAY).await;
        }
        None
    }
}
