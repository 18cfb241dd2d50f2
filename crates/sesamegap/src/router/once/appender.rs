//! Appends claims to the log, many at a time.
//!
//! The log takes several hundred appends a second from all routers together, so claims that come
//! within a moment of each other share one append. Whether a claim holds is learnt by reading the
//! log, never from the append's answer: that answer can be lost after the append took effect.

use super::{ClaimRecord, Holder};
use crate::events;
use crate::router::callers::ApiError;
use crate::router::lock;
use bytes::Bytes;
use rustc_hash::FxHashMap;
use sesamegap_platform::Log;
use sesamegap_platform::log::streams;
use sesamegap_wire::{RequestId, codec};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Claims that may wait for an append; beyond that the router is overloaded.
const RING: usize = 1024;

/// Claims in one append.
const BATCH: usize = 64;

/// Time in which claims gather for one append; short beside the append itself.
const GATHER: Duration = Duration::from_millis(2);

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claimed {
    /// This router life holds the key.
    By(Holder),
    /// The claim was not appended.
    Failed,
}

type Waiting = Arc<Mutex<FxHashMap<RequestId, oneshot::Sender<Claimed>>>>;

/// Hands claims to the task that appends them.
#[derive(Debug, Clone)]
pub struct Appender {
    ring: mpsc::Sender<ClaimRecord>,
    waiting: Waiting,
}

/// A claim under way; dropping it forgets the waiter, not the claim.
#[derive(Debug)]
pub struct Pending {
    id: RequestId,
    waiting: Waiting,
    answer: oneshot::Receiver<Claimed>,
}

impl Drop for Pending {
    fn drop(&mut self) {
        lock(&self.waiting).remove(&self.id);
    }
}

impl Pending {
    /// Waits until the log says who holds the key.
    pub async fn done(mut self) -> Claimed {
        (&mut self.answer).await.unwrap_or(Claimed::Failed)
    }
}

impl Appender {
    /// Makes the ring; the receiver goes to [`append`].
    pub fn new() -> (Self, mpsc::Receiver<ClaimRecord>) {
        let (ring, records) = mpsc::channel(RING);
        let waiting = Waiting::default();
        (Self { ring, waiting }, records)
    }

    /// Sends a claim on its way.
    pub fn claim(&self, record: ClaimRecord) -> Result<Pending, ApiError> {
        let (to, answer) = oneshot::channel();
        let id = record.id.clone();
        lock(&self.waiting).insert(id.clone(), to);
        let pending = Pending {
            id,
            waiting: Arc::clone(&self.waiting),
            answer,
        };
        self.ring
            .try_send(record)
            .map_err(|_| ApiError::overload("too many keys wait to be claimed"))?;
        Ok(pending)
    }

    /// Tells a waiter what the log says of its claim.
    pub fn resolve(&self, id: &RequestId, claimed: Claimed) {
        if let Some(to) = lock(&self.waiting).remove(id) {
            drop(to.send(claimed));
        }
    }
}

/// Appends claims until the ring is closed.
pub async fn append(
    log: Arc<dyn Log>,
    appender: Appender,
    mut records: mpsc::Receiver<ClaimRecord>,
    limit: Duration,
) {
    let stream = streams::claims();
    while let Some(first) = records.recv().await {
        let mut batch = vec![first];
        tokio::time::sleep(GATHER).await;
        while batch.len() < BATCH
            && let Ok(record) = records.try_recv()
        {
            batch.push(record);
        }
        let bodies = batch.iter().filter_map(|record| codec::encode(record).ok());
        let bodies: Vec<Bytes> = bodies.map(Bytes::from).collect();
        match timeout(limit, log.append(&stream, bodies)).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) if !error.is_unknown() => {
                for record in &batch {
                    appender.resolve(&record.id, Claimed::Failed);
                }
            }
            // It may have taken effect: the reader of the log will tell, or the waiter gives up.
            Ok(Err(_)) | Err(_) => {
                tracing::warn!(event = events::CLAIM_LOST.number, "answer of the log lost");
            }
        }
    }
}
