//! Answers in the making and finished ones, kept for callers whose connection broke.
//!
//! A reply can be lost after the work is done; the caller then asks again and must get the answer
//! rather than a second execution. Kept answers are bounded by time and by bytes: beyond that the
//! oldest finished one goes first, and asking for it is answered with the truth.

use super::answer::Answer;
use crate::router::lock;
use rustc_hash::FxHashMap;
use sesamegap_wire::RequestId;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Bytes counted for an answer besides its text, so that empty ones are bounded too.
const OVERHEAD: usize = 512;

/// Answers by request.
#[derive(Debug)]
pub struct Kept {
    span: Duration,
    limit: usize,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    answers: FxHashMap<RequestId, Arc<Answer>>,
    finished: VecDeque<RequestId>,
    bytes: usize,
}

impl Kept {
    /// Keeps finished answers for a span of time and up to a number of bytes.
    pub fn new(span: Duration, limit: usize) -> Self {
        Self {
            span,
            limit,
            inner: Mutex::default(),
        }
    }

    /// Takes in an answer in the making.
    pub fn open(&self, answer: Arc<Answer>) {
        let request = answer.head.request.clone();
        lock(&self.inner).answers.insert(request, answer);
    }

    /// Counts an answer as finished, and lets go of what is too old or too much.
    pub fn close(&self, request: &RequestId) {
        let mut inner = lock(&self.inner);
        if let Some(answer) = inner.answers.get(request) {
            inner.bytes += answer.bytes() + OVERHEAD;
            inner.finished.push_back(request.clone());
        }
        self.trim(&mut inner);
    }

    /// Finds an answer.
    pub fn get(&self, request: &RequestId) -> Option<Arc<Answer>> {
        lock(&self.inner).answers.get(request).cloned()
    }

    /// Lets go of what is too old.
    pub fn sweep(&self) {
        self.trim(&mut lock(&self.inner));
    }

    /// Number of answers, and bytes of the finished ones.
    pub fn size(&self) -> (usize, usize) {
        let inner = lock(&self.inner);
        (inner.answers.len(), inner.bytes)
    }

    fn trim(&self, inner: &mut Inner) {
        while let Some(oldest) = inner.finished.front() {
            let answer = inner.answers.get(oldest).cloned();
            let ended = answer.as_ref().and_then(|answer| answer.ended());
            let old = ended.is_none_or(|at| at.elapsed() > self.span);
            if !old && inner.bytes <= self.limit {
                break;
            }
            if let Some(request) = inner.finished.pop_front() {
                inner.answers.remove(&request);
            }
            let freed = answer.map_or(0, |answer| answer.bytes() + OVERHEAD);
            inner.bytes = inner.bytes.saturating_sub(freed);
        }
    }
}
