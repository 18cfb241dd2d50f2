//! Appends claims to the log, many at a time.
//!
//! The log takes several hundred appends a second from all routers together, so records that come
//! within a moment of each other share one append. Whether a claim holds is learnt by reading the
//! log, never from the append's answer: that answer can be lost after the append took effect.

use crate::events;
use crate::router::callers::ApiError;
use bytes::Bytes;
use sesamegap_platform::Log;
use sesamegap_platform::log::streams;
use sesamegap_policy::agreement::claims::{Appended, ClaimRecord};
use sesamegap_wire::codec;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Records that may wait for an append; beyond that the router is overloaded.
const RING: usize = 1024;

/// Records in one append.
const BATCH: usize = 64;

/// Time in which records gather for one append; short beside the append itself.
const GATHER: Duration = Duration::from_millis(2);

/// A record on its way to the log.
#[derive(Debug)]
pub struct Pending {
    record: ClaimRecord,
    done: oneshot::Sender<Appended>,
}

/// Hands records to the task that appends them.
#[derive(Debug, Clone)]
pub struct Appender(mpsc::Sender<Pending>);

impl Appender {
    /// Makes the ring; the receiver goes to [`append`].
    pub fn new() -> (Self, mpsc::Receiver<Pending>) {
        let (ring, records) = mpsc::channel(RING);
        (Self(ring), records)
    }

    /// Appends a record.
    ///
    /// # Errors
    /// If the ring is full; nothing was appended.
    pub async fn append(&self, record: ClaimRecord) -> Result<Appended, ApiError> {
        let (done, appended) = oneshot::channel();
        let pending = Pending { record, done };
        self.0
            .try_send(pending)
            .map_err(|_| ApiError::overload("too many keys wait to be claimed"))?;
        Ok(appended.await.unwrap_or(Appended::Unknown))
    }
}

/// Appends records until the ring is closed.
pub async fn append(log: Arc<dyn Log>, mut records: mpsc::Receiver<Pending>, limit: Duration) {
    let stream = streams::claims();
    while let Some(first) = records.recv().await {
        let mut batch = vec![first];
        tokio::time::sleep(GATHER).await;
        while batch.len() < BATCH
            && let Ok(pending) = records.try_recv()
        {
            batch.push(pending);
        }
        batch.retain(|pending| !pending.done.is_closed());
        let encoded = batch.iter().map(|pending| codec::encode(&pending.record));
        let Ok(bodies) = encoded.collect::<Result<Vec<_>, _>>() else {
            continue;
        };
        if bodies.is_empty() {
            continue;
        }
        let bodies = bodies.into_iter().map(Bytes::from).collect();
        let appended = match timeout(limit, log.append(&stream, bodies)).await {
            Ok(Ok(first)) => Appended::At(first),
            Ok(Err(error)) if !error.is_unknown() => Appended::Failed,
            Ok(Err(_)) | Err(_) => {
                tracing::warn!(event = events::CLAIM_LOST.number, "answer of the log lost");
                Appended::Unknown
            }
        };
        for pending in batch {
            // Who no longer waits has given up.
            let _ = pending.done.send(appended);
        }
    }
}
