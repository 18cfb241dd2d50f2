//! Drives one request through its attempts.

use super::opening::{self, OpenError, Opened, Timeouts};
use super::{ModelJob, lost};
use crate::events;
use crate::router::callers::ApiError;
use crate::router::core::Core;
use crate::router::deciding::{Hedge, Submitted, Verdict};
use crate::router::streams::answer::Answer;
use crate::router::streams::assembly::Assembly;
use crate::router::streams::booking::{Booking, Queued};
use sesamegap_policy::{Observation, Placement, RefusalCode, Work};
use sesamegap_upstream::UpstreamError;
use sesamegap_upstream::error::Fault;
use sesamegap_wire::engine::Dispatch;
use sesamegap_wire::{RequestId, Seq, SoftwareVersion, UpstreamId};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Maximum retries after attempts that an upstream did not run. Each costs only one round trip.
const MAX_NOT_RUN_RETRIES: u32 = 4;

/// Factor by which the stream reader's silence timeout exceeds the client's.
const SILENCE_FACTOR: f64 = 1.25;

/// Outcome of one attempt.
pub(super) enum Attempt {
    Whole,
    /// The engine certainly did not run it.
    NotRun,
    /// The engine may have run it, but the stream can no longer be read.
    Lost,
}

pub(super) struct RequestDriver {
    pub(super) core: Arc<Core>,
    pub(super) job: ModelJob,
    pub(super) answer: Arc<Answer>,
    pub(super) assembly: Assembly,
    pub(super) attempt: u32,
    pub(super) barred: Vec<UpstreamId>,
    /// The software version that the answer goes on at, once it has begun.
    pub(super) software: Option<SoftwareVersion>,
    /// Id of the current attempt at its engine and in the decider.
    pub(super) attempt_id: RequestId,
    /// Whether any engine may have run the request.
    pub(super) may_have_run: bool,
    /// Whether a hedge was started.
    pub(super) hedged: bool,
}

impl RequestDriver {
    pub(super) fn new(core: Arc<Core>, job: ModelJob, answer: Arc<Answer>) -> Self {
        Self {
            attempt_id: answer.head.request.clone(),
            core,
            job,
            answer,
            assembly: Assembly::default(),
            attempt: 0,
            barred: Vec::new(),
            software: None,
            may_have_run: false,
            hedged: false,
        }
    }

    pub(super) async fn run(&mut self) -> Result<(), ApiError> {
        let (mut lost_count, mut refused) = (0, 0);
        loop {
            let (mut at, priority, hedge) = self.decide().await?;
            match self.attempt(&mut at, priority, hedge).await? {
                Attempt::Whole => return Ok(()),
                Attempt::NotRun => refused += 1,
                Attempt::Lost => lost_count += 1,
            }
            let spent = lost_count > self.job.retries || refused > MAX_NOT_RUN_RETRIES;
            // Once an engine may have run it, a request that is not repeatable is never sent again.
            if spent || (self.may_have_run && !self.job.repeatable) {
                return Err(lost());
            }
            tracing::debug!(
                event = events::STREAM_MOVED.number,
                request = %self.answer.head.request,
                from = %at.engine,
                "trying another engine"
            );
            if self.software.is_none() && self.assembly.next() > Seq(0) {
                self.software = self.core.fleet.software(&at.engine);
            }
            self.barred.push(at.engine);
            self.attempt += 1;
        }
    }

    pub(super) async fn decide(
        &self,
    ) -> Result<(Placement, u8, oneshot::Receiver<Hedge>), ApiError> {
        let request = &self.answer.head.request;
        let Submitted { verdict, hedge } = self
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
                Ok((at, priority, hedge))
            }
            Ok(Verdict::Refuse(refusal)) => {
                self.core.telemetry.refused(refusal.code);
                self.log_refusal(refusal.code);
                Err(ApiError::refusal(&refusal))
            }
            Err(_) => Err(ApiError::overload("the router is stopping")),
        }
    }

    /// Logs a refusal that ends a running answer, or whose reason is that there is no engine at
    /// all.
    ///
    /// Refusals of first attempts for lack of capacity occur by the thousand under overload, so
    /// they are only counted.
    fn log_refusal(&self, code: RefusalCode) {
        if self.attempt == 0 && code != RefusalCode::NoEngine {
            return;
        }
        let (model, version) = (&self.job.model, self.job.version);
        let holders = self.core.fleet.holders();
        let holders = holders.get(model).and_then(|held| held.get(&version));
        tracing::info!(
            event = events::STREAM_REFUSED.number,
            request = %self.answer.head.request,
            code = ?code,
            attempt = self.attempt,
            barred = ?self.barred,
            holders = holders.copied().unwrap_or(0),
            %model,
            %version,
            "no engine chosen"
        );
    }

    pub(super) fn submission(&self) -> Work {
        // The deadline is for the first token. Once that was received, a continuation gets a new
        // one.
        let continuation = self.assembly.next() > Seq(0);
        Work {
            request: self.answer.head.request.clone(),
            team: self.answer.head.team.clone(),
            class: self.job.class.clone(),
            model: self.job.model.clone(),
            version: self.job.version,
            chain: self.job.chain.clone(),
            answer: self.job.answer,
            arrived: if continuation {
                self.core.clock.now()
            } else {
                self.job.arrived
            },
            attempt: self.attempt,
            barred: self.barred_engines(),
            repeatable: self.job.repeatable,
        }
    }

    /// Engines that must not run the next attempt: those where one has failed, and those of other software versions once
    /// the answer has begun, since what two versions write does not fit together.
    fn barred_engines(&self) -> Vec<UpstreamId> {
        let mut barred = self.barred.clone();
        if let Some(software) = &self.software {
            barred.extend(self.core.fleet.engines_of_other_software(software));
        }
        barred
    }

    pub(super) fn dispatch(&self, request: &RequestId, at: &Placement, priority: u8) -> Dispatch {
        Dispatch {
            request: request.clone(),
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

    /// Sends the request to one engine, and to a second one if the first token is late.
    ///
    /// Sets `at` to the engine whose answer is continued.
    pub(super) async fn attempt(
        &mut self,
        at: &mut Placement,
        priority: u8,
        hedge: oneshot::Receiver<Hedge>,
    ) -> Result<Attempt, ApiError> {
        self.attempt_id = self.answer.head.request.clone();
        let mut booking = Booking::new(&self.core, &self.attempt_id, self.attempt);
        let Some(mut engine) = self.core.fleet.engine(&at.engine) else {
            return Ok(Attempt::NotRun);
        };
        booking.sent(&engine);
        let before = std::mem::replace(&mut self.may_have_run, true);
        let dispatch = self.dispatch(&self.attempt_id, at, priority);
        let decider = self.core.decider.clone();
        let first = opening::open(Arc::clone(&engine), dispatch, self.timeouts(), decider);
        let (opened, hedge_attempt) = self.race(first, hedge).await;
        if let Some(hedge_attempt) = hedge_attempt {
            // Dropping the late attempt's booking cancels it at its engine.
            (booking, engine, *at) = (
                hedge_attempt.booking,
                hedge_attempt.engine,
                hedge_attempt.at,
            );
            self.attempt_id = hedge_attempt.id;
        }
        let (chunks, rest) = match opened {
            Ok(Opened { chunks, rest }) => (chunks, Some(rest)),
            Err(OpenError::NotRun(error)) => {
                self.may_have_run = before || self.hedged;
                booking.not_run();
                return self.handle_not_run(at, &error);
            }
            // The engine may have the request; resuming asks for the stream without running it
            // again.
            Err(OpenError::Broken) => (Vec::new(), None),
        };
        let done = self.follow(&engine, at, chunks, rest).await?;
        if matches!(done, Attempt::Whole) {
            booking.whole();
        }
        Ok(done)
    }

    pub(super) fn timeouts(&self) -> Timeouts {
        Timeouts {
            accept: self.accept_timeout(),
            silence: self.silence_timeout(),
        }
    }

    /// The client detects silence itself and then closes its pooled connections. This longer
    /// timeout is a fallback for clients that do not.
    pub(super) fn silence_timeout(&self) -> Duration {
        self.core.config.timing.silence.mul_f64(SILENCE_FACTOR)
    }

    /// Handles an error which says that the request was not run.
    pub(super) fn handle_not_run(
        &self,
        at: &Placement,
        error: &UpstreamError,
    ) -> Result<Attempt, ApiError> {
        match error.fault() {
            Fault::Refused => {
                let message = error.to_string();
                return Err(ApiError::bad("upstream_refused", message));
            }
            Fault::Leaving => self.core.fleet.leaving(&at.engine, &self.core.decider),
            Fault::Busy => {}
            _ => self.report_engine_failed(&at.engine),
        }
        Ok(Attempt::NotRun)
    }

    pub(super) fn report_engine_failed(&self, engine: &UpstreamId) {
        tracing::info!(
            event = events::ENGINE_FAILED.number,
            request = %self.answer.head.request,
            %engine,
            next = %self.assembly.next(),
            "attempt failed"
        );
        self.core
            .decider
            .observe(Observation::EngineFailed(engine.clone()));
    }

    /// Timeout for an upstream to accept a request or a resumption.
    pub(super) fn accept_timeout(&self) -> Duration {
        self.core.config.timing.connect + self.core.config.timing.silence
    }
}
