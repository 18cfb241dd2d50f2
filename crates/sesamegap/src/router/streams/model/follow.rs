//! Reads an engine's stream into the answer, on as many connections as it takes.

use super::flight::{Attempt, Flight};
use crate::events;
use crate::router::callers::ApiError;
use crate::router::streams::assembly::Step;
use futures_util::StreamExt;
use poem::http::StatusCode;
use sesamegap_policy::{Observation, Placement};
use sesamegap_upstream::error::Fault;
use sesamegap_upstream::{ChunkStream, Engine, UpstreamError};
use sesamegap_wire::engine::Chunk;
use sesamegap_wire::{Seq, Tokens};
use smol_str::SmolStr;
use std::sync::Arc;
use tokio::time::timeout;

/// New connections tried in a row without a new token before an attempt is given up.
const RESUMES: u32 = 2;

/// What a chunk means for the connection it came on.
pub(super) enum Taken {
    On,
    Gap,
    Whole,
}

impl Flight {
    /// Reads the stream to its end, on as many connections as it takes.
    pub(super) async fn follow(
        &mut self,
        engine: &Arc<dyn Engine>,
        at: &Placement,
        chunks: Vec<Chunk>,
        mut stream: Option<ChunkStream>,
    ) -> Result<Attempt, ApiError> {
        for chunk in chunks {
            match self.take(chunk)? {
                Taken::On => {}
                Taken::Gap => stream = None,
                Taken::Whole => return Ok(Attempt::Whole),
            }
        }
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

    pub(super) async fn resume(
        &self,
        engine: &Arc<dyn Engine>,
    ) -> Result<ChunkStream, Option<Fault>> {
        let resumed = engine.resume(&self.on, self.attempt, self.assembly.next());
        match timeout(self.patience(), resumed).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(error)) => Err(Some(error.fault())),
            Err(_) => Err(None),
        }
    }

    /// Reads one connection; `true` if the answer is whole, else the connection is of no more use.
    pub(super) async fn read(&mut self, mut stream: ChunkStream) -> Result<bool, ApiError> {
        let silence = self.silence();
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
            match self.take(chunk)? {
                Taken::On => {}
                Taken::Gap => return Ok(false),
                Taken::Whole => return Ok(true),
            }
        }
    }

    pub(super) fn take(&mut self, chunk: Chunk) -> Result<Taken, ApiError> {
        match self.assembly.feed(chunk) {
            Step::Nothing => {}
            Step::Started(cached) => self.started(cached),
            Step::Text(text) => self.text(text)?,
            Step::Gap => {
                self.note(events::STREAM_GAP, "chunks missing");
                return Ok(Taken::Gap);
            }
            Step::Whole => return Ok(Taken::Whole),
        }
        Ok(Taken::On)
    }

    pub(super) fn started(&self, cached: Tokens) {
        if self.answer.started(cached) {
            self.core.telemetry.cached(self.job.chain.tokens, cached);
        }
    }

    pub(super) fn text(&self, text: SmolStr) -> Result<(), ApiError> {
        if self.assembly.next() == Seq(1) {
            let request = self.on.clone();
            self.core.decider.observe(Observation::FirstToken(request));
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

    pub(super) fn note_broken(&self, error: &UpstreamError) {
        if error.fault() == Fault::Crossed {
            self.note(events::STREAM_CROSSED, "answer to another request");
        }
    }

    pub(super) fn note(&self, event: events::Event, what: &str) {
        let request = &self.answer.head.request;
        tracing::info!(event = event.number, %request, next = %self.assembly.next(), "{what}");
    }
}
