//! Buffers of answers that cannot be passed on yet, under one bound for the process.
//!
//! The buffers are charged by capacity, before they grow. [`AnswerMemory`] decides which of them give way; one that does is
//! freed at once, whatever its request waits for, and the request finds out when it next uses the buffer or waits for
//! [`HeldBytes::given_way`].

use super::body::{BrokenBody, Part, ResponseBody};
use crate::telemetry::events;
use bytes::Bytes;
use rustc_hash::FxHashMap;
use sesamegap_policy::routing::answer_memory::{AnswerId, AnswerMemory};
use sesamegap_wire::UpstreamId;
use std::fmt;
use std::mem;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use tracing::warn;

/// Step by which a large buffer grows; doubling would hold memory that is never used.
const GROWTH: usize = 16 << 10;

/// The memory of all buffers of a process.
#[derive(Debug)]
pub struct HeldAnswers {
    ledger: Mutex<Ledger>,
    next: AtomicU64,
}

#[derive(Debug)]
struct Ledger {
    memory: AnswerMemory,
    buffers: FxHashMap<AnswerId, Arc<Buffer>>,
}

/// A buffer that other answers may make give way.
#[derive(Debug)]
struct Buffer {
    bytes: Mutex<Option<Vec<u8>>>,
    changed: Notify,
}

/// The answer gave way to others, and its bytes are gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GaveWay;

impl fmt::Display for GaveWay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the incomplete answer gave way, as those of its upstream hold the most memory")
    }
}

impl std::error::Error for GaveWay {}

impl HeldAnswers {
    /// Buffers that hold at most `limit` bytes together.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            ledger: Mutex::new(Ledger {
                memory: AnswerMemory::new(limit),
                buffers: FxHashMap::default(),
            }),
            next: AtomicU64::new(0),
        })
    }

    /// Sets the bound.
    pub fn set_limit(&self, limit: usize) {
        self.lock().memory.set_limit(limit);
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.lock().memory.held()
    }

    /// Most bytes that were held at once.
    pub fn peak(&self) -> usize {
        self.lock().memory.peak()
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The bytes of one answer, released when they are taken or dropped.
#[derive(Debug)]
pub struct HeldBytes {
    answers: Arc<HeldAnswers>,
    id: AnswerId,
    upstream: UpstreamId,
    buffer: Arc<Buffer>,
}

impl HeldBytes {
    /// An empty buffer for an answer of an upstream.
    pub fn new(answers: &Arc<HeldAnswers>, upstream: UpstreamId) -> Self {
        let buffer = Buffer {
            bytes: Mutex::new(Some(Vec::new())),
            changed: Notify::new(),
        };
        Self {
            answers: Arc::clone(answers),
            id: AnswerId(answers.next.fetch_add(1, Ordering::Relaxed)),
            upstream,
            buffer: Arc::new(buffer),
        }
    }

    /// Number of bytes held.
    pub fn len(&self) -> usize {
        self.buffer.lock().as_ref().map_or(0, Vec::len)
    }

    /// Whether there are no bytes, and have been none that gave way.
    pub fn is_empty(&self) -> bool {
        self.buffer.lock().as_ref().is_some_and(Vec::is_empty)
    }

    /// Appends bytes, and returns the number held.
    ///
    /// # Errors
    /// If the answer gave way.
    pub fn extend(&mut self, more: &[u8]) -> Result<usize, GaveWay> {
        let needed = {
            let mut bytes = self.buffer.lock();
            let bytes = bytes.as_mut().ok_or(GaveWay)?;
            let needed = bytes.len() + more.len();
            if needed <= bytes.capacity() {
                bytes.extend_from_slice(more);
                return Ok(needed);
            }
            needed
        };
        let capacity = capacity_for(needed);
        self.grow(capacity);
        let mut bytes = self.buffer.lock();
        let bytes = bytes.as_mut().ok_or(GaveWay)?;
        bytes.reserve_exact(capacity - bytes.len());
        bytes.extend_from_slice(more);
        Ok(needed)
    }

    /// Takes the bytes out, and releases their memory here.
    ///
    /// # Errors
    /// If the answer gave way.
    pub fn take(&mut self) -> Result<Vec<u8>, GaveWay> {
        let bytes = self.buffer.lock().as_mut().map(mem::take);
        self.release();
        bytes.ok_or(GaveWay)
    }

    /// Looks for a position in the bytes.
    pub fn find(&self, position: impl FnOnce(&[u8]) -> Option<usize>) -> Option<usize> {
        position(self.buffer.lock().as_ref()?)
    }

    /// Ends when the answer has given way.
    pub async fn given_way(&self) {
        loop {
            // A notification is kept for a waiter that comes late.
            let changed = self.buffer.changed.notified();
            if self.buffer.lock().is_none() {
                return;
            }
            changed.await;
        }
    }

    fn grow(&self, capacity: usize) {
        let mut ledger = self.answers.lock();
        if self.buffer.lock().is_none() {
            return;
        }
        let known = ledger.buffers.entry(self.id);
        known.or_insert_with(|| Arc::clone(&self.buffer));
        for victim in ledger.memory.grow(self.id, &self.upstream, capacity) {
            if let Some(buffer) = ledger.buffers.remove(&victim.id) {
                *buffer.lock() = None;
                buffer.changed.notify_one();
            }
            warn!(event = events::GAVE_WAY, upstream = %victim.upstream, bytes = victim.bytes, held = ledger.memory.held(), "an incomplete answer gave way to others");
        }
    }

    fn release(&self) {
        let mut ledger = self.answers.lock();
        ledger.memory.release(self.id);
        ledger.buffers.remove(&self.id);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.release();
    }
}

impl Buffer {
    /// The bytes; `None` once they gave way.
    fn lock(&self) -> MutexGuard<'_, Option<Vec<u8>>> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why a body was not read to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadError {
    /// It is longer than allowed.
    TooLong,
    /// It gave way to other answers.
    GaveWay,
    /// It is incomplete.
    Broken(BrokenBody),
}

impl From<GaveWay> for ReadError {
    fn from(_: GaveWay) -> Self {
        Self::GaveWay
    }
}

/// Reads a body of at most `limit` bytes to its end.
///
/// # Errors
/// If the body is longer or incomplete, or gave way.
pub async fn collect(
    mut body: ResponseBody,
    limit: usize,
    mut held: HeldBytes,
) -> Result<Bytes, ReadError> {
    loop {
        let read = tokio::select! {
            biased;
            read = body.read() => read,
            () = held.given_way() => return Err(ReadError::GaveWay),
        };
        match read.map_err(ReadError::Broken)? {
            Part::Data(data) if held.extend(&data)? > limit => return Err(ReadError::TooLong),
            Part::Data(_) => {}
            Part::End(_) => return Ok(held.take()?.into()),
        }
    }
}

/// The capacity with which a buffer holds `bytes`.
fn capacity_for(bytes: usize) -> usize {
    if bytes < GROWTH {
        bytes.next_power_of_two()
    } else {
        bytes.next_multiple_of(GROWTH)
    }
}
