//! The teams of a catalogue, stored copy-on-write.
//!
//! A catalogue is cloned at each accepted change, because readers still hold the previous one. With
//! 35,000 teams nearly all are unchanged, so clones share them: a change of one team copies the
//! map of names but no other team.

use super::TeamSpec;
use serde::{Deserialize, Serialize};
use sesamegap_wire::TeamId;
use std::collections::BTreeMap;
use std::ops::Index;
use std::sync::Arc;

/// Teams sorted by name; clones share unmodified teams.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Teams(Arc<BTreeMap<TeamId, Arc<TeamSpec>>>);

impl Teams {
    /// The team with this name.
    pub fn get(&self, id: &TeamId) -> Option<&TeamSpec> {
        self.0.get(id).map(AsRef::as_ref)
    }

    /// Whether there is a team with this name.
    pub fn contains_key(&self, id: &TeamId) -> bool {
        self.0.contains_key(id)
    }

    /// Names in sorted order.
    pub fn keys(&self) -> impl Iterator<Item = &TeamId> {
        self.0.keys()
    }

    /// Names and teams, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&TeamId, &TeamSpec)> {
        self.0.iter().map(|(id, spec)| (id, spec.as_ref()))
    }

    /// Number of teams.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no teams.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds or replaces a team; returns the previous one.
    pub fn insert(&mut self, id: TeamId, spec: TeamSpec) -> Option<Arc<TeamSpec>> {
        Arc::make_mut(&mut self.0).insert(id, Arc::new(spec))
    }

    /// Removes a team and returns it.
    pub fn remove(&mut self, id: &TeamId) -> Option<Arc<TeamSpec>> {
        Arc::make_mut(&mut self.0).remove(id)
    }
}

impl FromIterator<(TeamId, TeamSpec)> for Teams {
    fn from_iter<I: IntoIterator<Item = (TeamId, TeamSpec)>>(teams: I) -> Self {
        let shared = teams.into_iter().map(|(id, spec)| (id, Arc::new(spec)));
        Self(Arc::new(shared.collect()))
    }
}

impl Index<&TeamId> for Teams {
    type Output = TeamSpec;

    /// The team with this name; panics if there is none.
    fn index(&self, id: &TeamId) -> &TeamSpec {
        &self.0[id]
    }
}
