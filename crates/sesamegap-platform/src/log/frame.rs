//! Messages between a log client and the log service, encoded as `MessagePack`.
//!
//! `POST /streams/{name}` takes an [`Append`] and returns an [`Appended`]; the append is atomic.
//! `GET /streams/{name}?from=OFFSET&wait=MILLISECONDS` returns a [`PageFrame`], or status 410 with
//! an [`Expired`] if retention has dropped the requested offset. Any other 4xx status means that
//! the call had no effect; after a 5xx status it may have taken effect.

use super::{Page, Record};
use bytes::Bytes;
use serde::de::{self, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sesamegap_wire::Offset;
use std::fmt;

/// A record's body, encoded as a byte string.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Body(pub Bytes);

impl Serialize for Body {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(&self.0)
    }
}

struct BodyVisitor;

impl<'de> Visitor<'de> for BodyVisitor {
    type Value = Body;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Body, E> {
        Ok(Body(Bytes::copy_from_slice(bytes)))
    }

    fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<Body, E> {
        Ok(Body(bytes.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Body, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = seq.next_element()? {
            bytes.push(byte);
        }
        Ok(Body(bytes.into()))
    }
}

impl<'de> Deserialize<'de> for Body {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_byte_buf(BodyVisitor)
    }
}

/// Records to append atomically.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Append {
    /// The records' bodies.
    pub records: Vec<Body>,
}

/// Confirmation of an append.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the first record.
    pub offset: Offset,
}

/// Rejection of a read at an offset that retention has dropped.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Expired {
    /// Oldest offset kept.
    pub oldest: Offset,
}

/// One record of a page.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordFrame {
    /// Its offset.
    pub offset: Offset,
    /// When the log accepted it, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Its body.
    pub body: Body,
}

/// Consecutive records as encoded on the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PageFrame {
    /// The records.
    pub records: Vec<RecordFrame>,
    /// Offset at which to continue reading.
    pub next: Offset,
    /// Offset that the next append will get.
    pub end: Offset,
}

impl From<PageFrame> for Page {
    fn from(frame: PageFrame) -> Self {
        let record = |record: RecordFrame| Record {
            offset: record.offset,
            time_ms: record.time_ms,
            body: record.body.0,
        };
        Self {
            records: frame.records.into_iter().map(record).collect(),
            next: frame.next,
            end: frame.end,
        }
    }
}

impl From<Page> for PageFrame {
    fn from(page: Page) -> Self {
        let frame = |record: Record| RecordFrame {
            offset: record.offset,
            time_ms: record.time_ms,
            body: Body(record.body),
        };
        Self {
            records: page.records.into_iter().map(frame).collect(),
            next: page.next,
            end: page.end,
        }
    }
}
