//! The encoding of entries in answers about a document.

use super::entries::Entry;
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sesamegap_policy::agreement::replication::{self, Ask, Content, Encode, EntryId, Fetch};
use std::fmt;

/// An encoded entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryBytes(Vec<u8>);

impl Serialize for EntryBytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for EntryBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(EntryVisitor)
    }
}

struct EntryVisitor;

impl<'de> Visitor<'de> for EntryVisitor {
    type Value = EntryBytes;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the bytes of an entry")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<EntryBytes, E> {
        Ok(EntryBytes(bytes.to_vec()))
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<EntryBytes, E> {
        Ok(EntryBytes(bytes))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<EntryBytes, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = seq.next_element()? {
            bytes.push(byte);
        }
        Ok(EntryBytes(bytes))
    }
}

/// The answer to a question about a document.
pub type Answer = replication::Answer<EntryBytes>;

#[derive(Debug)]
struct Codec;

impl Encode<Entry> for Codec {
    type Encoded = EntryBytes;

    fn encode(&self, _id: EntryId, entry: &Entry) -> (EntryBytes, usize) {
        let bytes = entry.encode();
        let size = bytes.len();
        (EntryBytes(bytes), size)
    }
}

/// Answers a question, from the document in force and the one that is being fetched.
pub fn answer(
    own: &Content<Entry>,
    fetch: &Fetch<Entry>,
    ask: &Ask,
    is_budget_spent: bool,
) -> Answer {
    replication::answer(own, fetch, ask, is_budget_spent, &Codec)
}

/// Applies an answer to what is being fetched; returns whether it brought anything.
///
/// # Errors
/// If an entry cannot be decoded: it may be of a later release.
pub fn apply_answer(
    own: &Content<Entry>,
    fetch: &mut Fetch<Entry>,
    answer: Answer,
) -> Result<bool, rmp_serde::decode::Error> {
    replication::apply_answer(own, fetch, answer, |EntryBytes(bytes)| {
        Ok((EntryId::of(&bytes), Entry::decode(&bytes)?))
    })
}
