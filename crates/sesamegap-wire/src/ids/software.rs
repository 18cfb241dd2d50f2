//! Software versions of upstreams.

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;

/// Longest version that is kept as it is written, in bytes.
const MAX_BYTES: usize = 64;

/// Bytes that are kept of a longer one, before a hash of the whole. The last character may exceed them by three.
const KEPT_BYTES: usize = 40;

/// Hexadecimal digits of that hash.
const HASH_DIGITS: usize = 16;

/// The version of an upstream's software, as the upstream states it; not of its weights.
///
/// Any text is valid: versions have no order, and are only compared for equality. The default is that of an upstream
/// that states none.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "SmolStr", into = "SmolStr")]
pub struct SoftwareVersion(SmolStr);

impl SoftwareVersion {
    /// Whether the upstream states a version.
    pub fn is_stated(&self) -> bool {
        !self.0.is_empty()
    }

    /// The version as text, empty if none is stated.
    pub fn as_str(&self) -> &str {
        self.0.as_str()
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.is_stated() {
            &self.0
        } else {
            "unstated"
        })
    }
}

impl FromStr for SoftwareVersion {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(SmolStr::new(text).into())
    }
}

impl From<SmolStr> for SoftwareVersion {
    fn from(text: SmolStr) -> Self {
        if text.len() <= MAX_BYTES {
            return Self(text);
        }
        // Messages between VMs have to fit into a datagram, and long versions often differ in their ends only.
        let kept = text.char_indices().take_while(|(at, _)| *at < KEPT_BYTES);
        let kept: String = kept.map(|(_, char)| char).collect();
        let hash = blake3::hash(text.as_bytes()).to_hex();
        Self(format_smolstr!("{kept}~{}", &hash[..HASH_DIGITS]))
    }
}

impl From<SoftwareVersion> for SmolStr {
    fn from(version: SoftwareVersion) -> Self {
        version.0
    }
}
