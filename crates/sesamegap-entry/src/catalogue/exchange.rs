//! Questions of peers about a document, and their answers, each of bounded size.

use super::Entry;
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sesamegap_policy::agreement::replication::{
    Ask, Content, Delta, Digest, EntryId, Fetch, Version,
};
use std::fmt;

/// Encoded entries in one answer, in bytes: a link of 10 Mbit/s carries them in 13 ms.
const PIECE_BYTES: usize = 16 << 10;

/// Most ids in one answer, of nine bytes each.
const MAX_IDS: usize = 2_048;

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
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The peer sends as much as its link bears.
    Busy,
    /// The peer has no newer document.
    Current,
    /// What changed between two versions: ids that were removed and added, and some of the added entries.
    Changes(
        Version,
        Version,
        Vec<EntryId>,
        Vec<EntryId>,
        Vec<EntryBytes>,
    ),
    /// The digests of the buckets of a version.
    Outline(Version, Vec<Digest>),
    /// The ids in some buckets of the peer's version.
    Ids(Vec<(u8, Vec<EntryId>)>),
    /// Entries that were asked for, as far as the peer has them and they fit.
    Entries(Vec<EntryBytes>),
}

/// Most entries and ids in an answer that is sent although the link's budget is spent: a change of a few routes.
const SMALL_ANSWER: usize = 8;

/// Answers a question, from the document in force and the one that is being fetched. While the link's budget is spent,
/// only small answers are given.
pub fn answer(
    own: &Content<Entry>,
    fetch: &Fetch<Entry>,
    ask: &Ask,
    is_budget_spent: bool,
) -> Answer {
    let is_large = |count: usize| is_budget_spent && count > SMALL_ANSWER;
    match ask {
        Ask::Changes(base) if base.revision >= own.version().revision => Answer::Current,
        Ask::Changes(base) => match own.since(*base) {
            Some(delta) if is_large(delta.len()) => Answer::Busy,
            Some(delta) if delta.len() <= MAX_IDS => {
                let entries = encode_some(own, fetch, &delta.added);
                let Delta { removed, added } = delta;
                Answer::Changes(*base, own.version(), removed, added, entries)
            }
            _ if is_budget_spent => Answer::Busy,
            _ => Answer::Outline(own.version(), own.outline()),
        },
        Ask::Outline | Ask::Ids(_) if is_budget_spent => Answer::Busy,
        Ask::Outline => Answer::Outline(own.version(), own.outline()),
        Ask::Ids(buckets) => {
            let mut listed = Vec::new();
            let mut count = 0;
            for bucket in buckets {
                let ids = own.ids(*bucket);
                count += ids.len();
                if count > MAX_IDS && !listed.is_empty() {
                    break;
                }
                listed.push((*bucket, ids));
            }
            Answer::Ids(listed)
        }
        Ask::Entries(ids) if is_large(ids.len()) => Answer::Busy,
        Ask::Entries(ids) => Answer::Entries(encode_some(own, fetch, ids)),
    }
}

fn encode_some(own: &Content<Entry>, fetch: &Fetch<Entry>, ids: &[EntryId]) -> Vec<EntryBytes> {
    let mut encoded = Vec::new();
    let mut bytes = 0;
    for id in ids {
        if let Some(entry) = own.get(*id).or_else(|| fetch.get(*id)) {
            let entry = entry.encode();
            bytes += entry.len();
            encoded.push(EntryBytes(entry));
            if bytes >= PIECE_BYTES {
                break;
            }
        }
    }
    encoded
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
    match answer {
        Answer::Busy | Answer::Current => Ok(false),
        Answer::Changes(base, version, removed, added, entries) => {
            fetch.aim_by_delta(own, base, version, Delta { removed, added });
            add_entries(fetch, entries)?;
            Ok(true)
        }
        Answer::Outline(version, outline) => {
            fetch.aim_by_outline(own, version, &outline);
            Ok(true)
        }
        Answer::Ids(listed) => {
            let mut is_useful = false;
            for (bucket, ids) in listed {
                is_useful |= fetch.add_ids(own, bucket, ids);
            }
            Ok(is_useful)
        }
        Answer::Entries(entries) => add_entries(fetch, entries),
    }
}

fn add_entries(
    fetch: &mut Fetch<Entry>,
    entries: Vec<EntryBytes>,
) -> Result<bool, rmp_serde::decode::Error> {
    let mut is_useful = false;
    for EntryBytes(bytes) in entries {
        is_useful |= fetch.add_entry(EntryId::of(&bytes), Entry::decode(&bytes)?);
    }
    Ok(is_useful)
}
