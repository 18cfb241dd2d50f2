//! What routers say to each other.

use serde::{Deserialize, Serialize};
use sesamegap_policy::agreement::membership::MemberUpdate;
use sesamegap_wire::peer::Digest;
use sesamegap_wire::{ClassId, Incarnation, Offset, RequestId, TeamId, VmId};
use smol_str::SmolStr;
use std::net::SocketAddr;

/// A keyed request for the router that holds its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// The life of the holder that is meant; another one must not run it.
    pub incarnation: Incarnation,
    /// Team that asks, as the relaying router found it.
    pub team: TeamId,
    /// Class it names.
    pub class: Option<ClassId>,
    /// What it says of running twice.
    pub repeatable: Option<bool>,
    /// Its idempotency key.
    pub key: SmolStr,
    /// Path, or for a plain service method, path and content type.
    pub target: String,
    /// Its body.
    #[serde(with = "serde_bytes_vec")]
    pub body: Vec<u8>,
}

/// A caller that comes back for its answer, or cancels it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The request.
    pub request: RequestId,
    /// Team that asks.
    pub team: TeamId,
    /// Place of the first token wanted.
    pub from: u64,
    /// Whether as server-sent events.
    pub events: bool,
}

/// What a router says of itself and its traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Its VM.
    pub vm: VmId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Offset of the settings that it reads next.
    pub settings: Offset,
    /// Its traffic.
    pub digest: Digest,
}

/// A probe, or the answer to one: what a router says of itself, and news of others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probed {
    /// What the sender says of itself.
    pub from: MemberUpdate,
    /// What it believes of others.
    pub news: Vec<MemberUpdate>,
}

/// Asks a router to probe another in the asker's place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeFor {
    /// Whom to probe.
    pub target: SocketAddr,
    /// What to send.
    pub probe: Probed,
}

/// Asks for settings that the asker does not have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantSettings {
    /// Offset that the asker reads next.
    pub next: Offset,
}

/// Settings for a peer that is behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HaveSettings {
    /// A snapshot to adopt, if the sender is ahead.
    #[serde(with = "serde_bytes_vec")]
    pub snapshot: Vec<u8>,
}

/// Bytes as bytes, not as a list of numbers, which would take twice the room.
mod serde_bytes_vec {
    use serde::de::{Error, Visitor};
    use serde::{Deserializer, Serializer};
    use std::fmt;

    pub fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(bytes)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        from.deserialize_byte_buf(Bytes)
    }

    struct Bytes;

    impl Visitor<'_> for Bytes {
        type Value = Vec<u8>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("bytes")
        }

        fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
            Ok(bytes.to_vec())
        }

        fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
            Ok(bytes)
        }
    }
}
