//! A document as a set of entries.

use super::document::{Document, KvStore, Limits, Quota, Route, Service, Team};
use serde::{Deserialize, Serialize};
use sesamegap_policy::agreement::replication::EntryId;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A part of a document that changes as a whole.
#[derive(Debug, Clone)]
pub enum Entry {
    /// All that is neither a route nor a team.
    Common(Arc<Common>),
    /// A route.
    Route(Arc<Route>),
    /// A team.
    Team(Arc<Team>),
}

/// The parts of a document that every request needs.
#[derive(Debug, Clone)]
pub struct Common {
    /// Services.
    pub services: Vec<Service>,
    /// Kept-KV stores.
    pub kv_stores: Vec<KvStore>,
    /// Limits on callers' requests.
    pub limits: Limits,
}

/// The form of an entry in messages; also names what the types' own encodings omit.
#[derive(Debug, Serialize, Deserialize)]
enum Encoded {
    /// Services with the size of a token's KV cache in bytes, kept-KV stores and limits.
    Common(Vec<(Service, u64)>, Vec<KvStore>, Limits),
    Route(Arc<Route>),
    Team(Arc<Team>, Option<Quota>),
}

impl Entry {
    /// Encodes the entry; the same entry has the same encoding on each VM.
    ///
    /// # Panics
    /// Never: values of known length are always written to memory.
    pub fn encode(&self) -> Vec<u8> {
        let encoded = match self {
            Self::Common(common) => {
                let services = common.services.iter().cloned();
                let services = services.map(|service| {
                    let token_bytes = service.engine.as_ref().map(|engine| engine.token_bytes);
                    (service, token_bytes.unwrap_or_default())
                });
                Encoded::Common(services.collect(), common.kv_stores.clone(), common.limits)
            }
            Self::Route(route) => Encoded::Route(Arc::clone(route)),
            Self::Team(team) => Encoded::Team(Arc::clone(team), team.quota),
        };
        rmp_serde::to_vec(&encoded).expect("values of known length are always written to memory")
    }

    /// Decodes an entry.
    ///
    /// # Errors
    /// If it is malformed, or of a later release.
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        Ok(match rmp_serde::from_slice(bytes)? {
            Encoded::Common(services, kv_stores, limits) => {
                let services = services.into_iter().map(|(mut service, token_bytes)| {
                    if let Some(engine) = &mut service.engine {
                        engine.token_bytes = token_bytes;
                    }
                    service
                });
                Self::Common(Arc::new(Common {
                    services: services.collect(),
                    kv_stores,
                    limits,
                }))
            }
            Encoded::Route(route) => Self::Route(route),
            Encoded::Team(mut team, quota) => {
                Arc::make_mut(&mut team).quota = quota;
                Self::Team(team)
            }
        })
    }
}

impl Document {
    /// All that is neither a route nor a team.
    pub(super) fn common(&self) -> Common {
        Common {
            services: self.services.clone(),
            kv_stores: self.kv_stores.clone(),
            limits: self.limits,
        }
    }

    /// The entries of the document, with their ids.
    pub fn entries(&self) -> Vec<(EntryId, Entry)> {
        let common = Entry::Common(Arc::new(self.common()));
        let routes = self.routes.iter();
        let routes = routes.map(|route| Entry::Route(Arc::new(route.clone())));
        let teams = self.teams.iter();
        let teams = teams.map(|team| Entry::Team(Arc::new(team.clone())));
        let entries = [common].into_iter().chain(routes).chain(teams);
        let entries = entries.map(|entry| (EntryId::of(&entry.encode()), entry));
        entries.collect()
    }
}

impl PartialEq for Document {
    fn eq(&self, other: &Self) -> bool {
        let ids = |document: &Self| -> BTreeSet<EntryId> {
            let entries = document.entries().into_iter();
            entries.map(|(id, _)| id).collect()
        };
        self.revision == other.revision && ids(self) == ids(other)
    }
}
