//! Works on one model request until its answer has an end.
//!
//! Each attempt asks the decider for an engine, sends the request and reads the stream. A stream
//! that breaks, goes silent or misses chunks is taken up again on a new connection to the same
//! engine, which runs nothing twice. Only if that fails does a repeatable request go to another
//! engine, with the text already sent as prefix; one that is not repeatable ends with an error
//! that says nobody can tell whether it ran, unless the engine itself said that it did not.

use super::answer::{Answer, End};
use super::assembly::{Assembly, Step};
use super::booking::{Booking, Queued};
use crate::events;
use crate::router::callers::ApiError;
use crate::router::core::Core;
use crate::router::deciding::Verdict;
use futures_util::StreamExt;
use poem::http::StatusCode;
use sesamegap_policy::{Observation, Placement, Work};
use sesamegap_upstream::error::Fault;
use sesamegap_upstream::{ChunkStream, Engine, Ran, UpstreamError};
use sesamegap_wire::engine::Dispatch;
use sesamegap_wire::{Chain, ClassId, ModelId, Moment, Seq, Tokens, UpstreamId, WeightsVersion};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// New connections tried in a row without a new token before an attempt is given up.
const RESUMES: u32 = 2;

/// Attempts that an upstream refused without running; each costs one round trip only.
const REFUSED_ATTEMPTS: u32 = 4;

/// How much longer than the client the stream's reader waits.
const SILENCE_MARGIN: f64 = 1.25;

/// A model request that was let in.
#[derive(Debug, Clone)]
pub struct ModelJob {
    /// Traffic class.
    pub class: ClassId,
    /// Model asked for.
    pub model: ModelId,
    /// Weights to answer with.
    pub version: WeightsVersion,
    /// The prompt's blocks.
    pub chain: Chain,
    /// The prompt.
    pub prompt: String,
    /// Tokens to answer at most.
    pub answer: Tokens,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Idempotency key, passed on to the engine.
    pub key: Option<SmolStr>,
    /// When it came.
    pub arrived: Moment,
    /// Attempts after the first that may have run.
    pub retries: u32,
    /// Time from arrival to the end of the answer.
    pub total: Duration,
}

/// How one attempt went.
enum Attempt {
    Whole,
    /// The engine certainly did not run it.
    NotRun,
    /// It may have run; the stream cannot be had any longer.
    Lost,
}

/// Works on a request and ends its answer in every case.
pub async fn work(core: Arc<Core>, job: ModelJob, answer: Arc<Answer>) {
    let left = core.clock.until(job.arrived + job.total);
    let linger = if job.repeatable {
        core.linger()
    } else {
        job.total
    };
    let mut flight = Flight::new(Arc::clone(&core), job, Arc::clone(&answer));
    let end = tokio::select! {
        end = flight.drive() => end,
        () = tokio::time::sleep(left) => Err(flight_late()),
        () = answer.abandoned(linger) => Err(cancelled()),
    };
    let written = flight.written;
    drop(flight);
    match end {
        Ok(()) => answer.finish(End::Whole),
        Err(error) => {
            let ran = if written { Ran::Unknown } else { Ran::No };
            tracing::info!(
                event = events::STREAM_FAILED.number,
                request = %answer.head.request,
                code = error.code,
                "answer not finished"
            );
            answer.finish(End::Failed(error.ran(ran)));
        }
    }
    core.telemetry.ended(&answer);
}

fn flight_late() -> ApiError {
    ApiError::unknown(
        StatusCode::GATEWAY_TIMEOUT,
        "too_late",
        "the answer was not whole within the class's total time",
    )
}

fn cancelled() -> ApiError {
    let status = StatusCode::from_u16(499).unwrap_or(StatusCode::BAD_REQUEST);
    ApiError::unknown(
        status,
        "cancelled",
        "the request was cancelled by its caller",
    )
}

fn lost() -> ApiError {
    ApiError::unknown(
        StatusCode::BAD_GATEWAY,
        "upstream_lost",
        "the engine was lost and the request must not run twice, or its retries are spent",
    )
}

struct Flight {
    core: Arc<Core>,
    job: ModelJob,
    answer: Arc<Answer>,
    assembly: Assembly,
    attempt: u32,
    barred: Vec<UpstreamId>,
    /// Whether any engine may have run it.
    written: bool,
}

impl Flight {
    fn new(core: Arc<Core>, job: ModelJob, answer: Arc<Answer>) -> Self {
        Self {
            core,
            job,
            answer,
            assembly: Assembly::default(),
            attempt: 0,
            barred: Vec::new(),
            written: false,
        }
    }

    async fn drive(&mut self) -> Result<(), ApiError> {
        let (mut lost_count, mut refused) = (0, 0);
        loop {
            let (at, priority) = self.decide().await?;
            match self.attempt(&at, priority).await? {
                Attempt::Whole => return Ok(()),
                Attempt::NotRun => refused += 1,
                Attempt::Lost => lost_count += 1,
            }
            let spent = lost_count > self.job.retries || refused > REFUSED_ATTEMPTS;
            // Once an engine may have run it, a request that is not repeatable is never sent again.
            if spent || (self.written && !self.job.repeatable) {
                return Err(lost());
            }
            tracing::debug!(
                event = events::STREAM_MOVED.number,
                request = %self.answer.head.request,
                from = %at.engine,
                "trying another engine"
            );
            self.barred.push(at.engine);
            self.attempt += 1;
        }
    }

    async fn decide(&self) -> Result<(Placement, u8), ApiError> {
        let request = &self.answer.head.request;
        let verdict = self
            .core
            .decider
            .submit(self.submission())
            .map_err(|_| ApiError::overload("the router has too many requests waiting"))?;
        let queued = Queued::new(&self.core, request);
        let verdict = verdict.await;
        queued.decided();
        match verdict {
            Ok(Verdict::Send(at, priority)) => {
                self.core.telemetry.sent(&at, self.job.chain.tokens);
                Ok((at, priority))
            }
            Ok(Verdict::Refuse(refusal)) => {
                self.core.telemetry.refused(refusal.code);
                Err(ApiError::refusal(&refusal))
            }
            Err(_) => Err(ApiError::overload("the router is stopping")),
        }
    }

    fn submission(&self) -> Work {
        // The deadline is for the first token; once that was sent, going on has a fresh one.
        let fresh = self.assembly.next() > Seq(0);
        Work {
            request: self.answer.head.request.clone(),
            team: self.answer.head.team.clone(),
            class: self.job.class.clone(),
            model: self.job.model.clone(),
            version: self.job.version,
            chain: self.job.chain.clone(),
            answer: self.job.answer,
            arrived: if fresh {
                self.core.clock.now()
            } else {
                self.job.arrived
            },
            attempt: self.attempt,
            barred: self.barred.clone(),
            repeatable: self.job.repeatable,
        }
    }

    fn dispatch(&self, at: &Placement, priority: u8) -> Dispatch {
        Dispatch {
            request: self.answer.head.request.clone(),
            attempt: self.attempt,
            incarnation: at.incarnation,
            model: self.job.model.clone(),
            version: self.job.version,
            blocks: self.job.chain.keys.to_vec(),
            prompt: self.job.prompt.clone(),
            prefix: self.answer.text(),
            start: self.assembly.next(),
            answer: self.job.answer,
            priority,
            import: at.import.clone(),
            key: self.job.key.clone(),
        }
    }

    async fn attempt(&mut self, at: &Placement, priority: u8) -> Result<Attempt, ApiError> {
        let request = self.answer.head.request.clone();
        let mut booking = Booking::new(&self.core, &request, self.attempt);
        let Some(engine) = self.core.fleet.engine(&at.engine) else {
            return Ok(Attempt::NotRun);
        };
        booking.sent(&engine);
        let before = std::mem::replace(&mut self.written, true);
        let opened = timeout(
            self.patience(),
            engine.generate(self.dispatch(at, priority)),
        )
        .await;
        let stream = match opened {
            Ok(Ok(stream)) => Some(stream),
            Ok(Err(error)) if error.ran() == Ran::No => {
                self.written = before;
                booking.not_run();
                return self.not_run(at, &error);
            }
            // The engine may have it: a resumption asks without running it again.
            Ok(Err(_)) | Err(_) => None,
        };
        let done = self.follow(&engine, at, stream).await?;
        if matches!(done, Attempt::Whole) {
            booking.whole();
        }
        Ok(done)
    }

    /// Learns from a refusal that says the request was not run.
    fn not_run(&self, at: &Placement, error: &UpstreamError) -> Result<Attempt, ApiError> {
        match error.fault() {
            Fault::Refused => {
                let message = error.to_string();
                return Err(ApiError::bad("upstream_refused", message));
            }
            Fault::Leaving => self.core.fleet.leaving(&at.engine, &self.core.decider),
            Fault::Busy => {}
            _ => self.failed(&at.engine),
        }
        Ok(Attempt::NotRun)
    }

    fn failed(&self, engine: &UpstreamId) {
        self.core
            .decider
            .observe(Observation::Failed(engine.clone()));
    }

    /// Time for an upstream to take a request or a resumption.
    fn patience(&self) -> Duration {
        self.core.config.timing.connect + self.core.config.timing.silence
    }

    /// Reads the stream to its end, on as many connections as it takes.
    async fn follow(
        &mut self,
        engine: &Arc<dyn Engine>,
        at: &Placement,
        mut stream: Option<ChunkStream>,
    ) -> Result<Attempt, ApiError> {
        let mut tries = 0;
        loop {
            let before = self.assembly.next();
            if let Some(open) = stream.take()
                && self.read(open).await?
            {
                return Ok(Attempt::Whole);
            }
            if self.assembly.next() > before {
                tries = 0;
            }
            tries += 1;
            if tries > RESUMES {
                break;
            }
            match self.resume(engine).await {
                Ok(open) => stream = Some(open),
                Err(Some(Fault::Forgotten | Fault::Unreached)) => break,
                Err(_) => {}
            }
        }
        self.failed(&at.engine);
        Ok(Attempt::Lost)
    }

    async fn resume(&self, engine: &Arc<dyn Engine>) -> Result<ChunkStream, Option<Fault>> {
        let request = &self.answer.head.request;
        let resumed = engine.resume(request, self.attempt, self.assembly.next());
        match timeout(self.patience(), resumed).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(error)) => Err(Some(error.fault())),
            Err(_) => Err(None),
        }
    }

    /// Reads one connection; `true` if the answer is whole, else the connection is of no more use.
    async fn read(&mut self, mut stream: ChunkStream) -> Result<bool, ApiError> {
        // The client notices silence itself and gives up its pooled connections then; this limit
        // is behind it, for clients that do not.
        let silence = self.core.config.timing.silence.mul_f64(SILENCE_MARGIN);
        loop {
            let chunk = match timeout(silence, stream.next()).await {
                Ok(Some(Ok(chunk))) => chunk,
                Ok(Some(Err(error))) => {
                    self.note_broken(&error);
                    return Ok(false);
                }
                Ok(None) => return Ok(false),
                // Something between the two ends lost the connection: nothing would ever come.
                Err(_) => {
                    self.note(events::ENGINE_MUTE, "stream silent");
                    return Ok(false);
                }
            };
            match self.assembly.feed(chunk) {
                Step::Nothing => {}
                Step::Started(cached) => self.started(cached),
                Step::Text(text) => self.text(text)?,
                Step::Gap => {
                    self.note(events::STREAM_GAP, "chunks missing");
                    return Ok(false);
                }
                Step::Whole => return Ok(true),
            }
        }
    }

    fn started(&self, cached: Tokens) {
        let request = self.answer.head.request.clone();
        if self.answer.started(cached) {
            self.core.telemetry.cached(self.job.chain.tokens, cached);
        }
        self.core
            .decider
            .observe(Observation::Started(request, cached));
    }

    fn text(&self, text: SmolStr) -> Result<(), ApiError> {
        if self.assembly.next() == Seq(1) {
            let request = self.answer.head.request.clone();
            self.core.decider.observe(Observation::First(request));
            let took = self.core.clock.now().since(self.job.arrived);
            self.core.telemetry.first(&self.job.class, took);
        }
        let limit = self.core.config.bounds.answer;
        if self.answer.push(text) > limit {
            let message = format!("the answer is longer than the {limit} bytes that are kept");
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return Err(ApiError::unknown(status, "answer_too_large", message));
        }
        Ok(())
    }

    fn note_broken(&self, error: &UpstreamError) {
        if error.fault() == Fault::Crossed {
            self.note(events::STREAM_CROSSED, "answer to another request");
        }
    }

    fn note(&self, event: events::Event, what: &str) {
        let request = &self.answer.head.request;
        tracing::info!(event = event.number, %request, next = %self.assembly.next(), "{what}");
    }
}
