//! One attempt at a request, from acceptance until its answer is forgotten.
//!
//! The answer is made by a task of its own and read by any number of connections, so that a broken
//! connection neither stops it nor loses a token.

use crate::answer::Answer;
use sesamegap_wire::engine::{Chunk, Dispatch};
use sesamegap_wire::{RequestId, Seq, Tokens};
use std::sync::{Mutex, PoisonError};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// How far an answer has come.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    /// Prompt tokens that need not be computed, once that is known.
    pub(crate) cached: Option<Tokens>,
    /// Place of the next token to come.
    pub(crate) next: u64,
    /// Whether no further token will come.
    pub(crate) over: bool,
}

/// One attempt at a request.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
    pub(crate) start: u64,
    pub(crate) count: u64,
    answer: Answer,
    progress: watch::Sender<Progress>,
    task: Mutex<Option<AbortHandle>>,
}

impl Job {
    pub(crate) fn new(dispatch: &Dispatch, answer: Answer) -> Self {
        let start = dispatch.start.0;
        Self {
            request: dispatch.request.clone(),
            attempt: dispatch.attempt,
            start,
            count: dispatch.answer.0.max(start),
            answer,
            progress: watch::Sender::new(Progress {
                cached: None,
                next: start,
                over: false,
            }),
            task: Mutex::new(None),
        }
    }

    pub(crate) fn follow(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    pub(crate) fn started(&self, cached: Tokens) {
        self.progress.send_modify(|p| p.cached = Some(cached));
    }

    pub(crate) fn made_token(&self) {
        self.progress.send_modify(|p| p.next += 1);
    }

    pub(crate) fn finished(&self) {
        self.progress.send_modify(|p| p.over = true);
    }

    /// Hands over the task that makes the answer.
    pub(crate) fn runs_in(&self, task: AbortHandle) {
        let mut own = self.task.lock().unwrap_or_else(PoisonError::into_inner);
        *own = Some(task);
    }

    /// Stops making the answer.
    pub(crate) fn stop(&self) {
        let task = self.task.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(task) = task.as_ref() {
            task.abort();
        }
        self.finished();
    }

    /// The token at a place.
    pub(crate) fn token(&self, place: u64) -> Chunk {
        Chunk::Token {
            seq: Seq(place),
            text: self.answer.token(place),
        }
    }

    /// The chunk that ends a whole answer.
    pub(crate) fn end(&self) -> Chunk {
        Chunk::End {
            count: Seq(self.count),
        }
    }
}
