//! Records of the versions that began streams.

use super::versions::Origin;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use sesamegap_wire::{Moment, ServiceId};

/// Most records that a VM keeps, which take about 4 MB.
const MAX_RECORDS: usize = 40_000;

/// Records that are dropped at once when there are too many, so that not each further one costs a search.
const DROPPED: usize = MAX_RECORDS / 10;

/// Identifies a stream over all attempts of its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(pub u64);

/// Domain separation string of the hash.
const KEY_CONTEXT: &str = "sesamegap stream key v1";

impl StreamKey {
    /// The key of the stream that an attempt of a caller began; `team` is `None` for a request without an API key.
    ///
    /// No caller can choose an attempt's id so that its stream is taken for another caller's.
    pub fn of(team: Option<&str>, attempt: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(KEY_CONTEXT);
        hasher.update(&[u8::from(team.is_some())]);
        let team = team.unwrap_or_default();
        hasher.update(&(team.len() as u64).to_le_bytes());
        hasher.update(team.as_bytes());
        hasher.update(attempt.as_bytes());
        let mut bytes = [0; size_of::<u64>()];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u64::from_le_bytes(bytes))
    }
}

/// The version that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Record {
    origin: Origin,
    /// When its caller's time is over.
    until: Moment,
    /// Whether this VM began the stream, or took it up.
    is_own: bool,
}

/// Records of streams that this VM began, and of those for which it is a holder.
#[derive(Debug, Default)]
pub struct Records {
    streams: FxHashMap<StreamKey, Record>,
}

impl Records {
    /// Keeps the record of a stream that another VM began until its caller's time is over.
    pub fn insert(&mut self, stream: StreamKey, origin: Origin, until: Moment) {
        self.put(stream, origin, until, false);
    }

    /// Keeps the record of a stream that this VM began or took up until its caller's time is over.
    pub fn insert_own(&mut self, stream: StreamKey, origin: Origin, until: Moment) {
        self.put(stream, origin, until, true);
    }

    fn put(&mut self, stream: StreamKey, origin: Origin, until: Moment, is_own: bool) {
        if self.streams.len() >= MAX_RECORDS {
            self.drop_first();
        }
        let record = Record {
            origin,
            until,
            is_own,
        };
        self.streams.insert(stream, record);
    }

    /// The records of the streams of a service that this VM began or took up.
    pub fn own_of(
        &self,
        service: &ServiceId,
        now: Moment,
    ) -> impl Iterator<Item = (StreamKey, &Origin)> {
        let records = self.streams.iter();
        let own = records.filter(move |(_, record)| record.is_own && now < record.until);
        let own = own.filter(move |(_, record)| record.origin.service == *service);
        own.map(|(stream, record)| (*stream, &record.origin))
    }

    /// Drops the records that end first.
    fn drop_first(&mut self) {
        let mut ends: Vec<Moment> = self.streams.values().map(|record| record.until).collect();
        let (_, end, _) = ends.select_nth_unstable(DROPPED);
        let end = *end;
        self.streams.retain(|_, record| record.until > end);
    }

    /// The version that began a stream, unless its caller's time is over.
    pub fn get(&self, stream: StreamKey, now: Moment) -> Option<&Origin> {
        let record = self.streams.get(&stream)?;
        (now < record.until).then_some(&record.origin)
    }

    /// Drops the records of streams whose callers' time is over.
    pub fn expire(&mut self, now: Moment) {
        self.streams.retain(|_, record| now < record.until);
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
