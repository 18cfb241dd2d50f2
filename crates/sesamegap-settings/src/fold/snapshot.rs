//! Snapshots of the fold's state as log records.
//!
//! After a snapshot, retention may drop all earlier records.

use super::Fold;
use super::history::ChangeHistory;
use crate::catalogue::resolve::resolve_all;
use crate::change::{RecordKind, decode, frame, unframe};
use crate::error::SettingsError;
use crate::findings::Findings;
use crate::tree::Tree;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sesamegap_wire::Offset;
use std::sync::Arc;

/// Maximum snapshot size in bytes, several times the size with 35,000 teams.
pub const MAX_SNAPSHOT: usize = 64 << 20;

/// Content of a snapshot record: the encoded state and its hash.
#[derive(Debug, Serialize, Deserialize)]
struct SnapshotRecord {
    next: Offset,
    hash: [u8; 32],
    #[serde(with = "bytes")]
    state: Vec<u8>,
}

/// The fold's state as stored in a snapshot.
#[derive(Debug, Serialize, Deserialize)]
struct State<M> {
    next: Offset,
    revision: Offset,
    tree: Value,
    memory: M,
}

impl Fold {
    /// Encodes the state before [`Fold::next`] as a record body, with its hash.
    ///
    /// Folds that have applied the same records produce identical bytes.
    ///
    /// # Panics
    /// If the state cannot be encoded, which is a bug.
    pub fn snapshot(&self) -> Vec<u8> {
        let state = State {
            next: self.next,
            revision: self.revision(),
            tree: self.tree.to_value(),
            memory: &self.history,
        };
        let state = rmp_serde::to_vec_named(&state).expect("the state can be encoded");
        let record = SnapshotRecord {
            next: self.next,
            hash: *blake3::hash(&state).as_bytes(),
            state,
        };
        frame(RecordKind::Snapshot, &record).expect("a snapshot can be encoded")
    }

    /// Replaces the state with a snapshot's if that is newer; returns whether it was.
    ///
    /// # Errors
    /// If the body is not a snapshot, its hash does not match, or its tree is invalid. The fold is
    /// unchanged in that case.
    pub fn adopt(&mut self, body: &[u8]) -> Result<bool, SettingsError> {
        let record = decode_record(body)?;
        if record.next <= self.next {
            return Ok(false);
        }
        // A snapshot corrupted or truncated in transit would put wrong settings into effect on a
        // single router, unnoticed until callers complain.
        if blake3::hash(&record.state) != blake3::Hash::from_bytes(record.hash) {
            return Err(SettingsError::SnapshotMismatch);
        }
        let state: State<ChangeHistory> = decode(&record.state)?;
        if state.next != record.next || state.revision > state.next {
            return Err(SettingsError::SnapshotMismatch);
        }
        *self = restore(state)?;
        Ok(true)
    }
}

fn decode_record(body: &[u8]) -> Result<SnapshotRecord, SettingsError> {
    if body.len() > MAX_SNAPSHOT {
        return Err(SettingsError::Oversized(
            "bytes of a snapshot",
            MAX_SNAPSHOT,
        ));
    }
    match unframe(body) {
        Some((RecordKind::Snapshot, content)) => decode(content),
        _ => Err(SettingsError::Malformed("not a snapshot".to_owned())),
    }
}

fn restore(state: State<ChangeHistory>) -> Result<Fold, SettingsError> {
    let mut findings = Findings::default();
    let tree = Tree::read(&state.tree, "", &mut findings);
    let (mut catalogue, group_index) = resolve_all(&tree, &mut findings);
    if !findings.is_empty() {
        return Err(SettingsError::Invalid(findings));
    }
    let history = state.memory.with_id_index();
    let history = history.ok_or(SettingsError::Oversized(
        "change history of a snapshot",
        super::MAX_TRACKED_PATHS,
    ))?;
    catalogue.revision = state.revision;
    Ok(Fold {
        next: state.next,
        tree,
        catalogue: Arc::new(catalogue),
        group_index,
        history,
    })
}

/// Serializes a byte vector as a byte string instead of a sequence of integers.
mod bytes {
    use serde::de::{Error, SeqAccess, Visitor};
    use serde::{Deserializer, Serializer};
    use std::fmt;

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        from.deserialize_byte_buf(Bytes)
    }

    struct Bytes;

    impl<'de> Visitor<'de> for Bytes {
        type Value = Vec<u8>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("bytes")
        }

        fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
            Ok(bytes.to_vec())
        }

        fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Self::Value, E> {
            Ok(bytes)
        }

        fn visit_seq<A: SeqAccess<'de>>(self, _: A) -> Result<Self::Value, A::Error> {
            Err(A::Error::custom("expected bytes, found a sequence"))
        }
    }
}
