//! Reads an engine's stream into the answer, reconnecting as needed.

use super::flight::{Attempt, RequestDriver};
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

/// Maximum consecutive reconnections without a new token before an attempt is given up.
const MAX_RESUMES: u32 = 2;

/// Whether to continue reading a connection after a chunk.
pub(super) enum ReadStatus {
    Continue,
    Gap,
    Whole,
}

impl RequestDriver {
    /// Reads the stream to its end, reconnecting as needed.
    pub(super) async fn follow(
        &mut self,
        engine: &Arc<dyn Engine>,
        at: &Placement,
        chunks: Vec<Chunk>,
        mut stream: Option<ChunkStream>,
    ) -> Result<Attempt, ApiError> {
        for chunk in chunks {
            match self.process_chunk(chunk)? {
                ReadStatus::Continue => {}
                ReadStatus::Gap => stream = None,
                ReadStatus::Whole => return Ok(Attempt::Whole),
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
            if tries > MAX_RESUMES {
                break;
            }
            match self.resume(engine).await {
                Ok(open) => stream = Some(open),
                Err(Some(Fault::Forgotten | Fault::Unreached)) => break,
                Err(_) => {}
            }
        }
        self.report_engine_failed(&at.engine);
        Ok(Attempt::Lost)
    }

    pub(super) async fn resume(
        &self,
        engine: &Arc<dyn Engine>,
    ) -> Result<ChunkStream, Option<Fault>> {
        let resumed = engine.resume(&self.attempt_id, self.attempt, self.assembly.next());
        match timeout(self.accept_timeout(), resumed).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(error)) => Err(Some(error.fault())),
            Err(_) => Err(None),
        }
    }

    /// Reads one connection. Returns `true` if the answer is complete and `false` if the connection
    /// is no longer usable.
    pub(super) async fn read(&mut self, mut stream: ChunkStream) -> Result<bool, ApiError> {
        let silence = self.silence_timeout();
        loop {
            let chunk = match timeout(silence, stream.next()).await {
                Ok(Some(Ok(chunk))) => chunk,
                Ok(Some(Err(error))) => {
                    self.log_misdirected(&error);
                    return Ok(false);
                }
                Ok(None) => return Ok(false),
                // An intermediary may have dropped the connection without closing it, so that no
                // further data would ever arrive.
                Err(_) => {
                    self.log_stream_event(
                        events::ENGINE_MUTE,
                        "no data on the engine stream within the silence timeout",
                    );
                    return Ok(false);
                }
            };
            match self.process_chunk(chunk)? {
                ReadStatus::Continue => {}
                ReadStatus::Gap => return Ok(false),
                ReadStatus::Whole => return Ok(true),
            }
        }
    }

    pub(super) fn process_chunk(&mut self, chunk: Chunk) -> Result<ReadStatus, ApiError> {
        match self.assembly.feed(chunk) {
            Step::Nothing => {}
            Step::Started(cached) => self.started(cached),
            Step::Text(text) => self.text(text)?,
            Step::Gap => {
                self.log_stream_event(events::STREAM_GAP, "engine stream is missing chunks");
                return Ok(ReadStatus::Gap);
            }
            Step::Whole => return Ok(ReadStatus::Whole),
        }
        Ok(ReadStatus::Continue)
    }

    pub(super) fn started(&self, cached: Tokens) {
        if self.answer.started(cached) {
            self.core.telemetry.cached(self.job.chain.tokens, cached);
        }
    }

    pub(super) fn text(&self, text: SmolStr) -> Result<(), ApiError> {
        if self.assembly.next() == Seq(1) {
            let request = self.attempt_id.clone();
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

    pub(super) fn log_misdirected(&self, error: &UpstreamError) {
        if error.fault() == Fault::Crossed {
            self.log_stream_event(
                events::STREAM_CROSSED,
                "engine stream carries the answer to another request",
            );
        }
    }

    pub(super) fn log_stream_event(&self, event: events::Event, what: &str) {
        let request = &self.answer.head.request;
        tracing::info!(event = event.number, %request, next = %self.assembly.next(), "{what}");
    }
}
