//! The settings in force, with what callers' requests are checked against.

use sesamegap_settings::Catalogue;
use sesamegap_wire::TeamId;
use std::collections::HashMap;
use std::sync::Arc;

/// Bytes of a key's hash by which candidates are found; the rest is compared in constant time.
const BUCKET: usize = 8;

/// One revision of the settings, ready for use.
#[derive(Debug, Default)]
pub struct InForce {
    /// The settings.
    pub catalogue: Arc<Catalogue>,
    keys: HashMap<[u8; BUCKET], Vec<(blake3::Hash, TeamId)>>,
}

impl InForce {
    /// Indexes the teams' keys.
    pub fn new(catalogue: Arc<Catalogue>) -> Self {
        let mut keys: HashMap<_, Vec<_>> = HashMap::new();
        for (team, spec) in &catalogue.teams {
            let hashes = spec.key_hashes.iter();
            for hash in hashes.filter_map(|hex| blake3::Hash::from_hex(hex).ok()) {
                let entry = (hash, team.clone());
                keys.entry(bucket(&hash)).or_default().push(entry);
            }
        }
        Self { catalogue, keys }
    }

    /// The team that a key belongs to.
    ///
    /// What a caller could time is where the hash of its own guess lands, which it cannot steer
    /// towards the hash of a key that it does not know.
    pub fn team(&self, key: &str) -> Option<TeamId> {
        let hash = blake3::hash(key.as_bytes());
        let candidates = self.keys.get(&bucket(&hash))?;
        let found = candidates.iter().find(|(known, _)| *known == hash);
        found.map(|(_, team)| team.clone())
    }
}

fn bucket(hash: &blake3::Hash) -> [u8; BUCKET] {
    let mut start = [0; BUCKET];
    start.copy_from_slice(&hash.as_bytes()[..BUCKET]);
    start
}

/// Whether a secret has the given hash, in time that does not depend on where they differ.
pub fn is_secret(presented: &str, hash_hex: &str) -> bool {
    let hash = blake3::hash(presented.as_bytes());
    blake3::Hash::from_hex(hash_hex).is_ok_and(|known| known == hash)
}

/// Whether two secrets are the same, in time that does not depend on where they differ.
pub fn is_same(one: &[u8], other: &[u8]) -> bool {
    blake3::hash(one) == blake3::hash(other)
}
