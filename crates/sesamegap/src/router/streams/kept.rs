//! Running and finished answers, kept for callers whose connection broke.
//!
//! A reply can be lost after the work is done. The caller then asks again and must get the same
//! answer rather than a second execution. Finished answers are bounded in age and total bytes; the
//! oldest finished one is evicted first, and is then no longer found.

use super::answer::Answer;
use crate::router::lock;
use rustc_hash::FxHashMap;
use sesamegap_wire::RequestId;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Bytes counted for each answer in addition to its text, so that empty answers are bounded too.
const ENTRY_OVERHEAD: usize = 512;

/// Answers by request id.
#[derive(Debug)]
pub struct AnswerStore {
    max_age: Duration,
    max_bytes: usize,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    answers: FxHashMap<RequestId, Arc<Answer>>,
    finished: VecDeque<RequestId>,
    bytes: usize,
}

impl AnswerStore {
    /// Creates a store that keeps finished answers up to a maximum age and total size in bytes.
    pub fn new(max_age: Duration, max_bytes: usize) -> Self {
        Self {
            max_age,
            max_bytes,
            inner: Mutex::default(),
        }
    }

    /// Adds a running answer.
    pub fn open(&self, answer: Arc<Answer>) {
        let request = answer.head.request.clone();
        lock(&self.inner).answers.insert(request, answer);
    }

    /// Marks an answer as finished, then evicts answers beyond the limits.
    pub fn close(&self, request: &RequestId) {
        let mut inner = lock(&self.inner);
        if let Some(answer) = inner.answers.get(request) {
            inner.bytes += answer.bytes() + ENTRY_OVERHEAD;
            inner.finished.push_back(request.clone());
        }
        self.evict(&mut inner);
    }

    /// Returns the answer to a request, if it is kept.
    pub fn get(&self, request: &RequestId) -> Option<Arc<Answer>> {
        lock(&self.inner).answers.get(request).cloned()
    }

    /// Evicts answers beyond the limits.
    pub fn sweep(&self) {
        self.evict(&mut lock(&self.inner));
    }

    /// Returns the number of answers and the bytes of the finished ones.
    pub fn size(&self) -> (usize, usize) {
        let inner = lock(&self.inner);
        (inner.answers.len(), inner.bytes)
    }

    fn evict(&self, inner: &mut Inner) {
        while let Some(oldest) = inner.finished.front() {
            let answer = inner.answers.get(oldest).cloned();
            let ended = answer.as_ref().and_then(|answer| answer.ended());
            let expired = ended.is_none_or(|at| at.elapsed() > self.max_age);
            if !expired && inner.bytes <= self.max_bytes {
                break;
            }
            if let Some(request) = inner.finished.pop_front() {
                inner.answers.remove(&request);
            }
            let freed = answer.map_or(0, |answer| answer.bytes() + ENTRY_OVERHEAD);
            inner.bytes = inner.bytes.saturating_sub(freed);
        }
    }
}
