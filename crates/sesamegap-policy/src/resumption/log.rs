//! Records of streams in the store, for the case that all VMs lose their memory at once.
//!
//! While several software versions of a service can have begun its streams, each record also goes to the store's log, before
//! the caller gets the first event. The log is divided into [`PARTITIONS`]; for each one VM, found by ranking all VMs,
//! collects the records of all others and appends them together, so that the number of calls does not depend on the number
//! of VMs or streams ([`Backlog`]).

use super::records::StreamKey;
use super::versions::Origin;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use sesamegap_wire::Moment;
use std::fmt;
use std::time::Duration;

/// Parts of the log. Each has a VM of its own that appends to it, so that one slow VM holds up a part of the records only.
pub const PARTITIONS: u32 = 2;

/// Minimum time between two appends to a partition.
///
/// A stream's first event waits for it at the longest. With [`PARTITIONS`] it bounds the calls of the whole fleet to 40 a
/// second, a tenth of what the smallest store accepts.
const APPEND_INTERVAL: Duration = Duration::from_millis(50);

/// Most submissions that wait for an append to a partition. While the store is away the oldest are dropped beyond it: their
/// callers' time ends first.
const MAX_PENDING: usize = 10_000;

/// Records in one append from which on no further submission is added. At 11 bytes each they take half of what a store
/// accepts in one record.
const MAX_APPENDED: usize = 10_000;

/// A part of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Partition(pub u32);

impl Partition {
    /// The partition that holds the record of a stream.
    pub fn of(stream: StreamKey) -> Self {
        // The low bits; VMs are ranked by the whole key.
        Self(u32::try_from(stream.0 % u64::from(PARTITIONS)).unwrap_or(0))
    }

    /// All partitions.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..PARTITIONS).map(Self)
    }
}

impl fmt::Display for Partition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Records of streams in one message or append.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamBatch {
    /// The origins that occur, each once.
    origins: Vec<Origin>,
    /// Streams with the indexes of their origins.
    streams: Vec<(u16, StreamKey)>,
}

impl StreamBatch {
    /// Adds a record; returns false if the batch holds as many origins as it can.
    pub fn push(&mut self, stream: StreamKey, origin: &Origin) -> bool {
        let known = self.origins.iter().position(|known| known == origin);
        let Ok(index) = u16::try_from(known.unwrap_or(self.origins.len())) else {
            return false;
        };
        if known.is_none() {
            self.origins.push(origin.clone());
        }
        self.streams.push((index, stream));
        true
    }

    /// The records, in the order in which they were added; those without an origin are left out.
    pub fn records(&self) -> impl Iterator<Item = (StreamKey, &Origin)> {
        let origin = |index: u16| self.origins.get(usize::from(index));
        let streams = self.streams.iter();
        streams.filter_map(move |(index, stream)| Some((*stream, origin(*index)?)))
    }

    /// Adds the records of another batch; returns false if not all found room.
    pub fn extend(&mut self, other: &Self) -> bool {
        other
            .records()
            .all(|(stream, origin)| self.push(stream, origin))
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}

impl FromIterator<(StreamKey, Origin)> for StreamBatch {
    fn from_iter<I: IntoIterator<Item = (StreamKey, Origin)>>(records: I) -> Self {
        let mut batch = Self::default();
        for (stream, origin) in records {
            if !batch.push(stream, &origin) {
                break;
            }
        }
        batch
    }
}

/// Records that are appended together, and who waits for that.
#[derive(Debug)]
pub struct Submission<W> {
    /// The records.
    pub batch: StreamBatch,
    /// Told once they are appended.
    pub waiter: Option<W>,
}

/// Records that wait to be appended to a partition, and when the next append may begin.
#[derive(Debug)]
pub struct Backlog<W> {
    pending: Vec<Submission<W>>,
    next_append: Moment,
}

impl<W> Default for Backlog<W> {
    fn default() -> Self {
        Self {
            pending: Vec::new(),
            next_append: Moment::default(),
        }
    }
}

impl<W> Backlog<W> {
    /// Adds records; returns false if the oldest ones had to be dropped for them.
    pub fn push(&mut self, submission: Submission<W>) -> bool {
        let is_full = self.pending.len() >= MAX_PENDING;
        if is_full {
            self.pending.drain(..MAX_PENDING / 10);
        }
        self.pending.push(submission);
        !is_full
    }

    /// Time until the next append may begin; `None` if no record waits.
    pub fn due_in(&self, now: Moment) -> Option<Duration> {
        (!self.pending.is_empty()).then(|| self.next_append.since(now))
    }

    /// Takes the records of an append that begins now.
    pub fn take(&mut self, now: Moment) -> Vec<Submission<W>> {
        self.next_append = now + APPEND_INTERVAL;
        let mut records = 0;
        let fits = |submission: &Submission<W>| {
            let has_room = records < MAX_APPENDED;
            records += submission.batch.len();
            has_room
        };
        let count = self
            .pending
            .iter()
            .map(fits)
            .take_while(|fits| *fits)
            .count();
        self.pending.drain(..count).collect()
    }

    /// Returns the records of an append that failed, and when the next one may begin.
    pub fn put_back(&mut self, mut submissions: Vec<Submission<W>>, not_before: Moment) {
        submissions.append(&mut self.pending);
        let excess = submissions.len().saturating_sub(MAX_PENDING);
        submissions.drain(..excess);
        self.pending = submissions;
        self.next_append = not_before;
    }

    /// Number of submissions that wait.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Streams of a partition that are kept in memory, in each of two generations; callers take up only the newest ones.
const MAX_KEPT: usize = 40_000;

/// The newest records that were read of a partition.
#[derive(Debug, Default)]
pub struct LoggedStreams {
    recent: FxHashMap<StreamKey, Origin>,
    older: FxHashMap<StreamKey, Origin>,
}

impl LoggedStreams {
    /// Adds the records of an append. A later record of a stream replaces an earlier one: its version was not known then, or
    /// has come into doubt.
    pub fn extend(&mut self, batch: &StreamBatch) {
        if self.recent.len() >= MAX_KEPT {
            self.older = std::mem::take(&mut self.recent);
        }
        let records = batch.records();
        self.recent
            .extend(records.map(|(stream, origin)| (stream, origin.clone())));
    }

    /// The version that began a stream.
    pub fn get(&self, stream: StreamKey) -> Option<&Origin> {
        let recent = self.recent.get(&stream);
        recent.or_else(|| self.older.get(&stream))
    }
}
