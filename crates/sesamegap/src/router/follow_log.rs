//! Follows one stream of the platform's log.
//!
//! The position only moves forward. Records that retention dropped before they were read are
//! skipped, and the reader is told. While the log is down the follower asks again with growing
//! pauses, spread at random, so that routers do not come back together.

use crate::events;
use rand::RngExt;
use sesamegap_platform::{Log, Reason, Record};
use sesamegap_wire::{Offset, StreamId};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::timeout;

/// How long one read waits for news.
const WAIT: Duration = Duration::from_secs(1);

/// First pause after a failed read.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Part of the limit on a call that is the longest pause: once the log is back, claims must be
/// read well before those who wait for them give up.
const LONGEST_PAUSE: u32 = 4;

/// Takes what the log gives.
pub trait Reader: Send {
    /// Takes records in order of offset; may say where to read on, if not after them.
    fn take(&mut self, records: &[Record]) -> Option<Offset>;

    /// Learns that all records there are were read.
    fn caught_up(&mut self) {}

    /// Learns that records before this offset were dropped before they were read.
    fn expired(&mut self, oldest: Offset) {
        let _ = oldest;
    }
}

/// A stream and how far it was read.
#[derive(Debug, Clone)]
pub struct Source {
    stream: StreamId,
    next: Arc<AtomicU64>,
    read_ms: Arc<AtomicU64>,
}

impl Source {
    /// Starts at the oldest record.
    pub fn new(stream: StreamId) -> Self {
        Self {
            stream,
            next: Arc::default(),
            read_ms: Arc::default(),
        }
    }

    /// Offset that is read next.
    pub fn next(&self) -> Offset {
        Offset(self.next.load(Ordering::Acquire))
    }

    /// Reads on from elsewhere, as when a snapshot covers what was not read, or was missed.
    pub fn seek(&self, next: Offset) {
        self.next.store(next.0, Ordering::Release);
    }

    /// Moves from where a read began, unless another thread has moved it meanwhile.
    fn advance(&self, from: Offset, next: Offset) {
        let _ = self
            .next
            .compare_exchange(from.0, next.0, Ordering::AcqRel, Ordering::Acquire);
    }

    /// Milliseconds since the log was last read with success.
    pub fn age_ms(&self) -> u64 {
        super::clock::unix_ms().saturating_sub(self.read_ms.load(Ordering::Relaxed))
    }
}

/// Follows until the task is dropped.
pub async fn follow(log: Arc<dyn Log>, source: Source, limit: Duration, mut reader: impl Reader) {
    let mut pause = FIRST_PAUSE;
    let mut down = false;
    loop {
        let from = source.next();
        match timeout(limit + WAIT, log.read(&source.stream, from, WAIT)).await {
            Ok(Ok(page)) => {
                if std::mem::take(&mut down) {
                    tracing::info!(event = events::LOG_BACK.number, stream = %source.stream, "log read again");
                }
                pause = FIRST_PAUSE;
                source
                    .read_ms
                    .store(super::clock::unix_ms(), Ordering::Relaxed);
                let elsewhere = reader.take(&page.records);
                source.advance(from, elsewhere.unwrap_or(page.next));
                if page.next >= page.end {
                    reader.caught_up();
                }
            }
            Ok(Err(error)) if let Reason::Expired(oldest) = error.reason() => {
                tracing::warn!(event = events::LOG_EXPIRED.number, stream = %source.stream, %oldest, "records expired");
                reader.expired(oldest);
                source.advance(from, oldest);
            }
            Ok(Err(_)) | Err(_) => {
                if !std::mem::replace(&mut down, true) {
                    tracing::warn!(event = events::LOG_LOST.number, stream = %source.stream, "log not read");
                }
                let spread = rand::rng().random_range(0.5..1.0);
                tokio::time::sleep(pause.mul_f64(spread)).await;
                pause = (pause * 2).min(limit / LONGEST_PAUSE);
            }
        }
    }
}
