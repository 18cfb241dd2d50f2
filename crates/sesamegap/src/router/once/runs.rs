//! The keys that ran on this router.

use crate::router::callers::ApiError;
use crate::router::streams::{Answer, End};
use poem::http::StatusCode;
use rustc_hash::FxHashMap;
use sesamegap_policy::agreement::claims::{ClaimKey, ClaimRecord};
use sesamegap_upstream::Ran;
use sesamegap_wire::RequestId;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// For how many times the log's retention a key is remembered.
///
/// A claim stands for as long as the log keeps it, and a key that stands but is forgotten here
/// would run a second time; so this is longer, whatever the clocks say.
const REMEMBER: u32 = 2;

/// Claims without a run that are remembered; the oldest is never given back beyond that.
const UNUSED: usize = 4096;

/// Whether a request runs.
#[derive(Debug)]
pub enum Entry {
    /// It runs, and this is its answer in the making.
    Run(Arc<Answer>),
    /// It ran before or is running, with this answer.
    Known(Arc<Answer>),
}

#[derive(Debug)]
struct Run {
    request: RequestId,
    digest: blake3::Hash,
}

#[derive(Debug)]
pub(super) struct Runs {
    span: Duration,
    known: FxHashMap<ClaimKey, Run>,
    order: VecDeque<(Instant, ClaimKey)>,
    unused: VecDeque<(ClaimKey, ClaimRecord)>,
    closed: bool,
}

impl Runs {
    /// Starts with no key; claims stand for the log's retention.
    pub(super) fn new(retention: Duration) -> Self {
        Self {
            span: retention.saturating_mul(REMEMBER),
            known: FxHashMap::default(),
            order: VecDeque::new(),
            unused: VecDeque::new(),
            closed: false,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.known.len()
    }

    pub(super) fn knows(&self, key: &ClaimKey) -> bool {
        self.known.contains_key(key)
    }

    /// Remembers how to give back a claim under which nothing ran yet; `false` if it is too late.
    pub(super) fn unused(&mut self, key: ClaimKey, release: ClaimRecord) -> bool {
        if self.closed {
            return false;
        }
        if self.unused.len() >= UNUSED {
            let known = &self.known;
            self.unused.retain(|(key, _)| !known.contains_key(key));
        }
        if self.unused.len() >= UNUSED {
            self.unused.pop_front();
        }
        self.unused.push_back((key, release));
        true
    }

    /// Lets nothing in any longer and says how to give back what was never used.
    pub(super) fn close(&mut self) -> Vec<ClaimRecord> {
        self.closed = true;
        let unused = std::mem::take(&mut self.unused).into_iter();
        let unused = unused.filter(|(key, _)| !self.known.contains_key(key));
        unused.map(|(_, release)| release).collect()
    }

    pub(super) fn enter(
        &mut self,
        key: &ClaimKey,
        digest: blake3::Hash,
        find: impl FnOnce(&RequestId) -> Option<Arc<Answer>>,
        open: impl FnOnce() -> Result<Arc<Answer>, ApiError>,
    ) -> Result<Entry, ApiError> {
        self.forget();
        if let Some(run) = self.known.get(key) {
            if run.digest != digest {
                return Err(reused());
            }
            let answer = find(&run.request).ok_or_else(forgotten)?;
            if !never_ran(&answer) {
                return Ok(Entry::Known(answer));
            }
        }
        // After the claims were given back another router may run the key.
        if self.closed {
            return Err(ApiError::overload("this router is stopping"));
        }
        let answer = open()?;
        let run = Run {
            request: answer.head.request.clone(),
            digest,
        };
        if self.known.insert(key.clone(), run).is_none() {
            self.order.push_back((Instant::now(), key.clone()));
        }
        Ok(Entry::Run(answer))
    }

    fn forget(&mut self) {
        let span = self.span;
        while let Some((_, key)) = self.order.pop_front_if(|(since, _)| since.elapsed() > span) {
            self.known.remove(&key);
        }
    }
}

/// Whether an answer says for certain that nothing was run, so that the key may be used again.
fn never_ran(answer: &Answer) -> bool {
    matches!(answer.end(), Some(End::Failed(error)) if error.ran == Ran::No)
}

fn reused() -> ApiError {
    ApiError::not_run(
        StatusCode::UNPROCESSABLE_ENTITY,
        "key_reused",
        "the key belongs to a request with another body; this one was not run",
    )
}

fn forgotten() -> ApiError {
    ApiError::unknown(
        StatusCode::GONE,
        "answer_gone",
        "a request with this key was taken before and its answer is kept no longer",
    )
}
