//! The fold's state as a record, so that retention may drop all records before it.

use super::Fold;
use super::memory::Memory;
use crate::catalogue::resolve::resolve_all;
use crate::change::{RecordKind, decode, frame, unframe};
use crate::error::SettingsError;
use crate::findings::Findings;
use crate::tree::Tree;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sesamegap_wire::Offset;
use std::sync::Arc;

/// Largest snapshot, in bytes, several times that of 35,000 teams.
pub const MAX_SNAPSHOT: usize = 64 << 20;

/// A snapshot record: bytes of a state, and their hash.
#[derive(Debug, Serialize, Deserialize)]
struct Sealed {
    next: Offset,
    hash: [u8; 32],
    #[serde(with = "bytes")]
    state: Vec<u8>,
}

/// The state itself.
#[derive(Debug, Serialize, Deserialize)]
struct State<M> {
    next: Offset,
    revision: Offset,
    tree: Value,
    memory: M,
}

impl Fold {
    /// The state before [`Fold::next`] as a record body, with its hash.
    ///
    /// Folds that have taken in the same records make the same bytes.
    ///
    /// # Panics
    /// If the state cannot be encoded, which is a bug.
    pub fn snapshot(&self) -> Vec<u8> {
        let state = State {
            next: self.next,
            revision: self.revision(),
            tree: self.tree.to_value(),
            memory: &self.memory,
        };
        let state = rmp_serde::to_vec_named(&state).expect("the state can be encoded");
        let sealed = Sealed {
            next: self.next,
            hash: *blake3::hash(&state).as_bytes(),
            state,
        };
        frame(RecordKind::Snapshot, &sealed).expect("a snapshot can be encoded")
    }

    /// Takes over the state of a snapshot if it covers more; says whether it did.
    ///
    /// # Errors
    /// If the body is no snapshot, its hash does not match, or its tree is not valid. Nothing
    /// changes then.
    pub fn adopt(&mut self, body: &[u8]) -> Result<bool, SettingsError> {
        let sealed = unseal(body)?;
        if sealed.next <= self.next {
            return Ok(false);
        }
        // A snapshot damaged on its way, or cut short, would put wrong settings in force on one
        // router alone, and nobody would notice until callers complain.
        if blake3::hash(&sealed.state) != blake3::Hash::from_bytes(sealed.hash) {
            return Err(SettingsError::Mismatch);
        }
        let state: State<Memory> = decode(&sealed.state)?;
        if state.next != sealed.next || state.revision > state.next {
            return Err(SettingsError::Mismatch);
        }
        *self = restore(state)?;
        Ok(true)
    }
}

fn unseal(body: &[u8]) -> Result<Sealed, SettingsError> {
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

fn restore(state: State<Memory>) -> Result<Fold, SettingsError> {
    let mut findings = Findings::default();
    let tree = Tree::read(&state.tree, "", &mut findings);
    let (mut catalogue, homes) = resolve_all(&tree, &mut findings);
    if !findings.is_empty() {
        return Err(SettingsError::Invalid(findings));
    }
    let memory = state.memory.restored();
    let memory = memory.ok_or(SettingsError::Oversized(
        "memory of a snapshot",
        super::TOUCHED,
    ))?;
    catalogue.revision = state.revision;
    Ok(Fold {
        next: state.next,
        tree,
        catalogue: Arc::new(catalogue),
        homes,
        memory,
    })
}

/// Writes bytes as bytes, not as a list of numbers.
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
            Err(A::Error::custom("a list in place of bytes"))
        }
    }
}
