//! Fingerprints, which recognize a request that is sent again, and a part that prompts share.
//!
//! Ids, deadlines and other headers may differ between two sends of a request; its target, caller
//! and body do not. The hash resists second preimages, so that no caller can craft a request that
//! is taken for another caller's.

use crate::error::ParseError;
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

/// Domain separation string of the hash of a request.
const REQUEST_CONTEXT: &str = "sesamegap request fingerprint v1";

/// Domain separation string of the hash of a prompt part.
const PART_CONTEXT: &str = "sesamegap prompt part fingerprint v1";

/// Domain separation string of the hash of a prompt part as one team names it.
const TEAM_PART_CONTEXT: &str = "sesamegap team prompt part fingerprint v1";

/// Size of a fingerprint in bytes.
const FINGERPRINT_BYTES: usize = 16;

/// A hash of a request's target, caller and body, or of a prompt part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Hashes a request; `caller` is `None` for a request without a key.
    pub fn of(target: &str, caller: Option<&str>, body: &[u8]) -> Self {
        let mut hasher = hash_fields(REQUEST_CONTEXT, &[target, caller.unwrap_or_default()]);
        hasher.update(&[u8::from(caller.is_some())]);
        hasher.update(body);
        Self::finish(&hasher)
    }

    /// Hashes a prompt part by its name and the model that reads it.
    pub fn of_part(model: &str, name: &str) -> Self {
        Self::finish(&hash_fields(PART_CONTEXT, &[model, name]))
    }

    /// Hashes a prompt part as a team names it; `team` is `None` for a caller without a key.
    #[must_use]
    pub fn of_team(self, team: Option<&str>) -> Self {
        let mut hasher = hash_fields(TEAM_PART_CONTEXT, &[team.unwrap_or_default()]);
        hasher.update(&[u8::from(team.is_some())]);
        hasher.update(&self.0);
        Self::finish(&hasher)
    }

    fn finish(hasher: &blake3::Hasher) -> Self {
        let mut bytes = [0; FINGERPRINT_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }
}

/// Starts a hash with text fields.
fn hash_fields(context: &str, fields: &[&str]) -> blake3::Hasher {
    let mut hasher = blake3::Hasher::new_derive_key(context);
    // Length prefixes mark where each field ends, so that bytes cannot shift between fields.
    for field in fields {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field.as_bytes());
    }
    hasher
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Fingerprint {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let invalid = || {
            ParseError::new(
                "fingerprint",
                text.chars().take(64).collect::<String>(),
                "32 hexadecimal digits",
            )
        };
        if text.len() != 2 * FINGERPRINT_BYTES || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(invalid());
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| invalid())?;
        }
        Ok(Self(bytes))
    }
}

impl Serialize for Fingerprint {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        serializer.serialize_bytes(&self.0)
    }
}

struct FingerprintVisitor;

impl<'de> Visitor<'de> for FingerprintVisitor {
    type Value = Fingerprint;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "a fingerprint of {FINGERPRINT_BYTES} bytes or twice as many hexadecimal digits"
        )
    }

    fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> Result<Fingerprint, E> {
        let bytes = bytes.try_into();
        bytes
            .map(Fingerprint)
            .map_err(|_| E::custom("invalid fingerprint length"))
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Fingerprint, E> {
        text.parse().map_err(E::custom)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Fingerprint, A::Error> {
        let mut bytes = [0; FINGERPRINT_BYTES];
        for byte in &mut bytes {
            let next = seq.next_element()?;
            *byte = next.ok_or_else(|| serde::de::Error::custom("fingerprint is too short"))?;
        }
        Ok(Fingerprint(bytes))
    }
}

impl<'de> Deserialize<'de> for Fingerprint {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            return deserializer.deserialize_str(FingerprintVisitor);
        }
        deserializer.deserialize_bytes(FingerprintVisitor)
    }
}
