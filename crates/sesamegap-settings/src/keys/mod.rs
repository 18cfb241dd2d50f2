//! API keys of teams and operators, stored only as hashes.
//!
//! A key is looked up by the BLAKE3 hash of what the caller sent. The lookup in the sorted hashes
//! is not constant-time, but a caller cannot choose the hash of a key it does not know, so the
//! timing reveals nothing useful. The final comparison is constant-time.

use crate::catalogue::TeamSpec;
use blake3::Hash;
use serde::{Deserialize, Serialize};
use sesamegap_wire::TeamId;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The BLAKE3 hash of a key in hexadecimal, as written in settings.
pub fn key_hash(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Whether a key has this hash, compared in constant time. A malformed hash never matches.
pub fn matches(key: &str, hash: &str) -> bool {
    match Hash::from_hex(hash) {
        Ok(wanted) => blake3::hash(key.as_bytes()) == wanted,
        Err(_) => false,
    }
}

/// Maps key hashes to teams. Clones share one table until one of them is modified.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Keys(Arc<BTreeMap<[u8; 32], TeamId>>);

impl Keys {
    /// The team that a key belongs to.
    pub fn team(&self, key: &str) -> Option<&TeamId> {
        let sent = blake3::hash(key.as_bytes());
        let (kept, team) = self.0.get_key_value(sent.as_bytes())?;
        (Hash::from_bytes(*kept) == sent).then_some(team)
    }

    /// The team that a key hash belongs to.
    pub fn holder(&self, hash: &str) -> Option<&TeamId> {
        let hash = Hash::from_hex(hash).ok()?;
        self.0.get(hash.as_bytes())
    }

    /// Adds a team's key hash. A malformed one is ignored, since no key can match it.
    pub fn add(&mut self, hash: &str, team: &TeamId) {
        if let Ok(hash) = Hash::from_hex(hash) {
            Arc::make_mut(&mut self.0).insert(*hash.as_bytes(), team.clone());
        }
    }

    /// Removes a key hash.
    pub fn remove(&mut self, hash: &str) {
        if let Ok(hash) = Hash::from_hex(hash) {
            Arc::make_mut(&mut self.0).remove(hash.as_bytes());
        }
    }
}

impl<'a> FromIterator<&'a (TeamId, TeamSpec)> for Keys {
    /// Collects the key hashes of teams. Malformed ones are ignored, since no key can match them.
    fn from_iter<I: IntoIterator<Item = &'a (TeamId, TeamSpec)>>(teams: I) -> Self {
        let hashes = |(id, team): &'a (TeamId, TeamSpec)| {
            let parse = |hash: &String| Hash::from_hex(hash).ok();
            let hashes = team.key_hashes.iter().filter_map(parse);
            hashes.map(move |hash| (*hash.as_bytes(), id.clone()))
        };
        Self(Arc::new(teams.into_iter().flat_map(hashes).collect()))
    }
}
