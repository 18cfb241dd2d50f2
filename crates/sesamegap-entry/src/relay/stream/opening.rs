//! Sends a stream request to upstreams until one begins to answer.
//!
//! An upstream that is silent for longer than a pause is not given up: another one is asked beside it, and the first of
//! the two that goes on serves the stream. The other one's connection is closed at once, so that both run the request
//! for no longer than an event takes to arrive here.

use super::StreamRelay;
use super::reading::{Position, UpstreamStream, read_start};
use crate::clock;
use crate::core::Core;
use crate::fleet::Flight;
use crate::intake::Body;
use crate::job::Job;
use crate::refusal::Refusal;
use crate::relay::attempt::{NotRun, Outcome, send};
use crate::relay::loss;
use crate::relay::retry::record_silence;
use crate::relay::waiting::wait_for_upstream;
use crate::telemetry::events;
use http::Response;
use sesamegap_policy::routing::timeouts::{self, Silence};
use sesamegap_wire::UpstreamId;
use std::pin::{Pin, pin};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tracing::{info, warn};

/// How often a request without an event rechecks whether another upstream may be asked.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// An upstream's response to a stream request.
#[derive(Debug)]
pub(super) enum Opened {
    /// An event stream.
    Stream(Box<UpstreamStream>),
    /// A complete response that is not a stream.
    Complete(Response<Body>),
}

/// What became of an attempt.
#[derive(Debug)]
pub(super) enum Attempted {
    /// The upstream began to answer.
    Opened(Opened),
    /// The request did not run and will not.
    NotRun(NotRun),
    /// The request may have run.
    Lost,
}

impl Attempted {
    /// Whether the attempt has come to nothing.
    fn has_failed(&self) -> bool {
        !matches!(self, Self::Opened(_))
    }
}

/// What became of a silent run that another one replaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fate {
    /// It failed by itself.
    Failed,
    /// It is silent.
    Silent,
}

/// What became of a silent run and another one beside it.
#[derive(Debug)]
pub(super) enum Beside<T> {
    /// The silent one went on or ended.
    First(T),
    /// The other one went on, and the silent one has failed or is still silent.
    Second(Opened, Fate),
    /// There is no other one, and the silent one is still silent.
    Neither,
}

/// The run of a request that has not brought an event.
#[derive(Debug)]
struct Waiting {
    upstream: UpstreamId,
    life: u64,
    /// Whether the request runs as a trial of the quarantine.
    is_trial: bool,
    sent: Instant,
    /// When the head arrived.
    answered: Arc<OnceLock<Instant>>,
}

impl Waiting {
    /// Whether it is silent for longer than is tolerated.
    fn is_silent(&self, relay: &StreamRelay) -> bool {
        let now = clock::now();
        let fleet = relay.core.fleet.lock();
        let Some(since) = self.answered.get() else {
            return self.sent.elapsed() >= timeouts::FIRST_EVENT_BUSY;
        };
        let received = fleet.get(&self.upstream).map(|up| up.last_received);
        let silent = received.map(|at| now.since(at));
        let silence = Silence {
            started: false,
            active_elsewhere: silent
                .is_some_and(|silent| silent + Duration::from_millis(1) < since.elapsed()),
            common: fleet.is_silence_common(&relay.retry.service, &self.upstream, now),
        };
        since.elapsed() >= silence.tolerated()
    }
}

impl StreamRelay {
    /// Sends the request until an upstream responds.
    pub(super) fn open(
        &mut self,
    ) -> Pin<Box<dyn Future<Output = Result<Opened, Refusal>> + Send + '_>> {
        // A run beside a silent one is opened in the same way.
        Box::pin(async move {
            loop {
                let flight = wait_for_upstream(&self.core, &self.job, &self.retry).await?;
                let id = flight.id.clone();
                let attempted = match self.attempt(flight).await {
                    Beside::Second(opened, _) => return Ok(opened),
                    Beside::First(attempted) => attempted,
                    Beside::Neither => Attempted::Lost,
                };
                match attempted {
                    Attempted::Opened(Opened::Complete(response))
                        if self.has_begun || self.is_beside =>
                    {
                        // An error cannot follow a part of a stream, and must not precede the answer of a silent upstream.
                        warn!(event = events::ATTEMPT, request = %self.job.head.id, upstream = %id, status = response.status().as_u16(), why = "failed to go on", "invalid response to a stream request");
                    }
                    Attempted::Opened(opened) => return Ok(opened),
                    Attempted::NotRun(why) => {
                        if !self.retry.should_retry_not_run(&self.core, id, why) {
                            return Err(self.retry.no_upstream());
                        }
                        continue;
                    }
                    Attempted::Lost => {}
                }
                if !self
                    .retry
                    .should_retry_possible_run(&self.core, &self.job, id)
                {
                    return Err(self.job.lost_refusal());
                }
            }
        })
    }

    /// Sends the request to an upstream, and to another one too if it stays silent.
    async fn attempt(&mut self, flight: Flight) -> Beside<Attempted> {
        let waiting = Waiting {
            upstream: flight.id.clone(),
            life: flight.life(),
            is_trial: flight.permit.is_some(),
            sent: Instant::now(),
            answered: Arc::default(),
        };
        let run = run_at(
            Arc::clone(&self.core),
            Arc::clone(&self.job),
            flight,
            Position {
                after: self.last_event_id,
                has_other: self.has_begun || self.is_beside,
            },
            Arc::clone(&waiting.answered),
        );
        let mut run = pin!(run);
        let mut patience = RECHECK_INTERVAL;
        loop {
            tokio::select! {
                biased;
                attempted = run.as_mut() => return Beside::First(attempted),
                () = sleep(patience) => patience = RECHECK_INTERVAL,
            }
            // A suspect may be what ended its upstream, so that no other one gets it yet.
            let may_ask = !waiting.is_trial
                && self.retry.can_run_beside(&self.job)
                && waiting.is_silent(self)
                && self
                    .retry
                    .may_ask_another(&self.core, &self.job, &waiting.upstream);
            if !may_ask {
                continue;
            }
            record_silence(&self.core, &waiting.upstream, waiting.life, timeouts::PAUSE);
            let beside = self.open_beside(&waiting.upstream, run.as_mut(), Attempted::has_failed);
            match beside.await {
                Beside::Neither => patience = timeouts::NEXT_TRY,
                Beside::First(attempted) => return Beside::First(attempted),
                Beside::Second(opened, fate) => {
                    if fate == Fate::Silent {
                        loss::report_given_up(
                            &self.core,
                            &self.job,
                            waiting.upstream,
                            waiting.life,
                        );
                    }
                    return Beside::Second(opened, fate);
                }
            }
        }
    }

    /// Asks another upstream beside a silent one, until one of both goes on.
    ///
    /// The caller closes the silent one if the second one goes on; it counts as one at which the request ran then.
    pub(super) async fn open_beside<T>(
        &mut self,
        silent: &UpstreamId,
        mut first: Pin<&mut (impl Future<Output = T> + Send)>,
        has_failed: impl Fn(&T) -> bool + Send,
    ) -> Beside<T>
    where
        T: Send,
    {
        if self.is_refused() || !self.retry.try_charge(&self.core) {
            return Beside::Neither;
        }
        info!(event = events::ATTEMPT, request = %self.job.head.id, silent = %silent, passed = self.last_event_id, why = "silent for longer than a pause", "another upstream is asked beside it");
        self.retry.record_run(silent.clone());
        let is_inner = std::mem::replace(&mut self.is_beside, true);
        let beside = {
            let mut second = self.open();
            tokio::select! {
                biased;
                ended = first.as_mut() => if has_failed(&ended) {
                    match second.await {
                        Ok(opened) => Beside::Second(opened, Fate::Failed),
                        Err(_) => Beside::First(ended),
                    }
                } else {
                    Beside::First(ended)
                },
                opened = &mut second => opened.map_or(Beside::Neither, |opened| Beside::Second(opened, Fate::Silent)),
            }
        };
        self.is_beside = is_inner;
        let why = match &beside {
            Beside::First(_) => "the silent one went on or ended",
            Beside::Second(..) => "the second one went on",
            Beside::Neither => "the second one did not begin",
        };
        info!(event = events::ATTEMPT, request = %self.job.head.id, silent = %silent, passed = self.last_event_id, why, "two upstreams were asked");
        if !matches!(beside, Beside::Second(..)) {
            self.retry.take_back_run(silent);
            self.retry.reset_refusals();
        }
        beside
    }
}

/// Sends the request to an upstream, and reads up to the first event.
async fn run_at(
    core: Arc<Core>,
    job: Arc<Job>,
    flight: Flight,
    position: Position,
    answered_at: Arc<OnceLock<Instant>>,
) -> Attempted {
    let time = job.time_left();
    let (id, outcome) = send(&core, &job, flight, time, position.after).await;
    let answered = match outcome {
        Outcome::Answered(answered) => *answered,
        Outcome::NotRun(why) => return Attempted::NotRun(why),
        Outcome::Lost(_) => return Attempted::Lost,
    };
    answered_at.get_or_init(Instant::now);
    match read_start(&core, &job, answered, position).await {
        Ok(opened) => Attempted::Opened(opened),
        Err(why) => {
            warn!(event = events::ATTEMPT, request = %job.head.id, upstream = %id, why, "invalid response to a stream request");
            Attempted::Lost
        }
    }
}
