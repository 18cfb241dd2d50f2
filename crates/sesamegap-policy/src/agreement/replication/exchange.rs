//! Answers to the questions of a process that is behind, each of bounded size.

use super::{Ask, Content, Delta, Digest, EntryId, Fetch, Version};
use serde::{Deserialize, Serialize};

/// Encoded entries in one answer, in bytes: a link of 10 Mbit/s carries them in 13 ms.
const PIECE_BYTES: usize = 16 << 10;

/// Size of an encoded id.
const ID_BYTES: usize = 9;

/// Most ids in one answer, in bytes.
const MAX_ID_BYTES: usize = 18 << 10;

/// Most entries and ids in an answer that is given although the link's budget is spent: a change of a few entries.
const SMALL_ANSWER: usize = 8;

/// The answer to an [`Ask`]; `B` is an encoded entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer<B> {
    /// The peer sends as much as its link bears.
    Busy,
    /// The peer has nothing newer.
    Current,
    /// What changed between two versions: ids that were removed and added, and some of the added entries.
    Changes(Version, Version, Vec<EntryId>, Vec<EntryId>, Vec<B>),
    /// The digests of the buckets of a version.
    Outline(Version, Vec<Digest>),
    /// The ids in some buckets of the peer's version.
    Ids(Vec<(u8, Vec<EntryId>)>),
    /// Entries that were asked for, as far as the peer has them and they fit.
    Entries(Vec<B>),
}

/// Encodes an entry.
pub trait Encode<E> {
    /// An encoded entry.
    type Encoded;

    /// Encodes an entry; returns its size in bytes too.
    fn encode(&self, id: EntryId, entry: &E) -> (Self::Encoded, usize);
}

/// Answers a question, from the version in force and the one that is being fetched. While the link's budget is spent,
/// only small answers are given.
pub fn answer<E: Clone, C: Encode<E>>(
    own: &Content<E>,
    fetch: &Fetch<E>,
    ask: &Ask,
    is_budget_spent: bool,
    codec: &C,
) -> Answer<C::Encoded> {
    let is_large = |count: usize| is_budget_spent && count > SMALL_ANSWER;
    match ask {
        Ask::Changes(base, room, selector) => match newest_delta(own, fetch, *base) {
            Newest::Older => Answer::Current,
            Newest::Delta(_, delta) if is_large(delta.len()) => Answer::Busy,
            Newest::Delta(version, delta) if delta.len() * ID_BYTES <= *room.min(&MAX_ID_BYTES) => {
                let room = room
                    .min(&PIECE_BYTES)
                    .saturating_sub(delta.len() * ID_BYTES);
                let Delta { removed, mut added } = delta;
                // Each VM gets other entries first, so that they can send them to each other.
                let first = selector % added.len().max(1);
                added.rotate_left(first);
                let entries = encode_some(own, fetch, &added, room, codec);
                Answer::Changes(*base, version, removed, added, entries)
            }
            Newest::Delta(..) | Newest::Other if is_budget_spent => Answer::Busy,
            Newest::Delta(..) | Newest::Other => newest_outline(own, fetch),
        },
        Ask::Outline | Ask::Ids(_) if is_budget_spent => Answer::Busy,
        Ask::Outline => newest_outline(own, fetch),
        Ask::Ids(buckets) => Answer::Ids(list_some(own, fetch, buckets)),
        Ask::Entries(ids) if is_large(ids.len()) => Answer::Busy,
        Ask::Entries(ids) => Answer::Entries(encode_some(own, fetch, ids, PIECE_BYTES, codec)),
    }
}

/// The newest version that a process knows of, from the view of one that has another.
enum Newest {
    /// It is not newer.
    Older,
    /// The difference is known.
    Delta(Version, Delta),
    /// The difference is not known.
    Other,
}

/// What changed since a version. One that is still being fetched is told too: otherwise all processes would wait for the
/// few that have all of it.
fn newest_delta<E: Clone>(own: &Content<E>, fetch: &Fetch<E>, base: Version) -> Newest {
    let fetched = fetch.delta_from(base);
    let fetched = fetched.filter(|(version, _)| version.revision > own.version().revision);
    if let Some((version, delta)) = fetched {
        return Newest::Delta(version, delta);
    }
    if base.revision >= own.version().revision {
        let is_fetching = fetch
            .outline()
            .is_some_and(|(version, _)| version.revision > base.revision);
        return if is_fetching {
            Newest::Other
        } else {
            Newest::Older
        };
    }
    own.since(base)
        .map_or(Newest::Other, |delta| Newest::Delta(own.version(), delta))
}

fn newest_outline<E: Clone, B>(own: &Content<E>, fetch: &Fetch<E>) -> Answer<B> {
    match fetch.outline() {
        Some((version, outline)) if version.revision > own.version().revision => {
            Answer::Outline(version, outline.to_vec())
        }
        _ => Answer::Outline(own.version(), own.outline()),
    }
}

fn list_some<E: Clone>(
    own: &Content<E>,
    fetch: &Fetch<E>,
    buckets: &[(u8, Digest)],
) -> Vec<(u8, Vec<EntryId>)> {
    let mut listed = Vec::new();
    let mut count = 0;
    for (bucket, digest) in buckets {
        let ids = if own.digest(*bucket) == *digest {
            own.ids(*bucket)
        } else if let Some(ids) = fetch.ids(*bucket, *digest) {
            ids.to_vec()
        } else {
            continue;
        };
        count += ids.len();
        if count * ID_BYTES > MAX_ID_BYTES && !listed.is_empty() {
            break;
        }
        listed.push((*bucket, ids));
    }
    listed
}

fn encode_some<E: Clone, C: Encode<E>>(
    own: &Content<E>,
    fetch: &Fetch<E>,
    ids: &[EntryId],
    room: usize,
    codec: &C,
) -> Vec<C::Encoded> {
    let mut encoded = Vec::new();
    let mut bytes = 0;
    for id in ids {
        if bytes >= room {
            break;
        }
        if let Some(entry) = own.get(*id).or_else(|| fetch.get(*id)) {
            let (entry, size) = codec.encode(*id, entry);
            encoded.push(entry);
            bytes += size;
        }
    }
    encoded
}

/// Applies an answer to what is being fetched; returns whether it brought anything.
///
/// # Errors
/// If an entry cannot be decoded.
pub fn apply_answer<E: Clone, B, X>(
    own: &Content<E>,
    fetch: &mut Fetch<E>,
    answer: Answer<B>,
    decode: impl Fn(B) -> Result<(EntryId, E), X>,
) -> Result<bool, X> {
    let mut is_useful = false;
    let entries = match answer {
        Answer::Busy | Answer::Current => Vec::new(),
        Answer::Changes(base, version, removed, added, entries) => {
            is_useful = fetch.aim_by_delta(own, base, version, Delta { removed, added });
            entries
        }
        Answer::Outline(version, outline) => {
            is_useful = fetch.aim_by_outline(own, version, &outline);
            Vec::new()
        }
        Answer::Ids(listed) => {
            for (bucket, ids) in listed {
                is_useful |= fetch.add_ids(own, bucket, ids);
            }
            Vec::new()
        }
        Answer::Entries(entries) => entries,
    };
    for entry in entries {
        let (id, entry) = decode(entry)?;
        is_useful |= fetch.add_entry(id, entry);
    }
    Ok(is_useful)
}
