//! Settings changes and their encoding as log records.
//!
//! The author chooses a change's id, so that an append retried after a lost response is recognised
//! as the same change. The base is the revision the author had read: if another change has since
//! modified one of the paths, the author's decision was based on outdated values.

use crate::error::SettingsError;
use crate::tree::TreePath;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;
use sesamegap_wire::{Offset, ParseError};
use smol_str::SmolStr;
use std::fmt;
use std::str::FromStr;

/// Maximum size of a change's record in bytes. The log of changes is not a file store.
pub const MAX_CHANGE: usize = 1 << 20;

/// Maximum number of edits in one change. Enough to create a thousand teams at once.
pub const MAX_EDITS: usize = 1024;

/// Maximum length of an author's name, in bytes.
pub const MAX_BY: usize = 64;

/// Maximum length of a note, in bytes.
pub const MAX_NOTE: usize = 512;

/// Record format version. A new version may be written only once all routers can read it.
const FORMAT: u8 = 1;

/// Type of a record, encoded as its second byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum RecordKind {
    Change = b'c',
    Snapshot = b's',
}

/// Encodes a record body: format version, record kind and content.
pub(crate) fn frame<T: Serialize>(kind: RecordKind, value: &T) -> Result<Vec<u8>, SettingsError> {
    let mut body = vec![FORMAT, kind as u8];
    rmp_serde::encode::write_named(&mut body, value)
        .map_err(|e| SettingsError::Malformed(e.to_string()))?;
    Ok(body)
}

/// Splits a record body into kind and content; `None` if its format is unknown.
pub(crate) fn unframe(body: &[u8]) -> Option<(RecordKind, &[u8])> {
    match body {
        [FORMAT, b'c', content @ ..] => Some((RecordKind::Change, content)),
        [FORMAT, b's', content @ ..] => Some((RecordKind::Snapshot, content)),
        _ => None,
    }
}

/// Decodes the content of a record, as returned by [`unframe`].
pub(crate) fn decode<T: DeserializeOwned>(content: &[u8]) -> Result<T, SettingsError> {
    rmp_serde::from_slice(content).map_err(|e| SettingsError::Malformed(e.to_string()))
}

/// Identifies a change across repeated appends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeId(pub u128);

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for ChangeId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let wrong = || {
            let shown: String = text.chars().take(40).collect();
            ParseError::new("change id", shown, "1 to 32 hexadecimal digits")
        };
        let digits = (1..=32).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !digits {
            return Err(wrong());
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| wrong())
    }
}

impl Serialize for ChangeId {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ChangeId {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = SmolStr::deserialize(from)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Sets or removes the value at one path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Path of the value.
    pub path: TreePath,
    /// The new value; `None` removes the current one, so that it is inherited again.
    #[serde(default)]
    pub value: Option<Value>,
}

/// A set of edits that is applied atomically.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Identifies the change.
    pub id: ChangeId,
    /// Revision its author had read; each path is checked for later modifications.
    pub base: Offset,
    /// Who published it.
    pub by: SmolStr,
    /// The author's note on why the change is made.
    pub note: String,
    /// Edits, applied in order.
    pub edits: Vec<Edit>,
}

impl Change {
    /// Encodes the change as the body of a log record.
    ///
    /// # Errors
    /// If the change has no edits, exceeds one of this module's limits or cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, SettingsError> {
        self.check_limits()?;
        let body = frame(RecordKind::Change, self)?;
        if body.len() > MAX_CHANGE {
            return Err(SettingsError::Oversized("bytes of a change", MAX_CHANGE));
        }
        Ok(body)
    }

    /// Decodes the body of a log record.
    ///
    /// # Errors
    /// If the body is not a change in a known format, has no edits or exceeds a limit.
    pub fn decode(body: &[u8]) -> Result<Self, SettingsError> {
        if body.len() > MAX_CHANGE {
            return Err(SettingsError::Oversized("bytes of a change", MAX_CHANGE));
        }
        let Some((RecordKind::Change, content)) = unframe(body) else {
            return Err(SettingsError::Malformed("not a change".to_owned()));
        };
        let change: Self = decode(content)?;
        change.check_limits()?;
        Ok(change)
    }

    fn check_limits(&self) -> Result<(), SettingsError> {
        if self.edits.is_empty() {
            return Err(SettingsError::Malformed(
                "a change without edits".to_owned(),
            ));
        }
        if self.edits.len() > MAX_EDITS {
            return Err(SettingsError::Oversized("edits of a change", MAX_EDITS));
        }
        if self.by.len() > MAX_BY {
            return Err(SettingsError::Oversized("bytes of `by`", MAX_BY));
        }
        if self.note.len() > MAX_NOTE {
            return Err(SettingsError::Oversized("bytes of `note`", MAX_NOTE));
        }
        Ok(())
    }
}
