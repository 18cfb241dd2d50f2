//! An index of a document by host, key and service.

use super::{Document, KvStore, Limits, Revision, Route, Service, Team};
use rustc_hash::FxHashMap;
use sesamegap_wire::ServiceId;
use smol_str::SmolStr;
use std::sync::Arc;

/// Error of a lookup that matches no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoute;

/// A document with its indexes.
#[derive(Debug)]
pub struct Catalogue {
    document: Arc<Document>,
    hosts: FxHashMap<SmolStr, Vec<Arc<Route>>>,
    keys: FxHashMap<SmolStr, Arc<Team>>,
    services: FxHashMap<ServiceId, Service>,
    has_quotas: bool,
}

impl Catalogue {
    /// Indexes a document.
    pub fn new(document: Arc<Document>) -> Self {
        let mut hosts: FxHashMap<SmolStr, Vec<Arc<Route>>> = FxHashMap::default();
        for route in &document.routes {
            let routes = hosts.entry(route.host.clone()).or_default();
            routes.push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut keys = FxHashMap::default();
        for team in &document.teams {
            let shared = Arc::new(team.clone());
            for key in &team.keys {
                keys.insert(key.clone(), Arc::clone(&shared));
            }
        }
        let services = document.services.iter();
        let services = services.map(|service| (service.name.clone(), service.clone()));
        Self {
            services: services.collect(),
            has_quotas: document.teams.iter().any(|team| team.quota.is_some()),
            hosts,
            keys,
            document,
        }
    }

    /// The document itself.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// The document's revision.
    pub fn revision(&self) -> Revision {
        self.document.revision
    }

    /// Limits on callers' requests.
    pub fn limits(&self) -> Limits {
        self.document.limits
    }

    /// The route of a host whose prefix is the longest that matches a path.
    ///
    /// # Errors
    /// If the host is unknown or none of its prefixes matches the path.
    pub fn route(&self, host: &str, path: &str) -> Result<Arc<Route>, NoRoute> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name).or_else(|| {
            let lower = name.to_ascii_lowercase();
            self.hosts.get(lower.as_str())
        });
        let routes = routes.ok_or(NoRoute)?;
        let found = routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()));
        found.cloned().ok_or(NoRoute)
    }

    /// Whether callers must present a key.
    pub fn has_teams(&self) -> bool {
        !self.document.teams.is_empty()
    }

    /// Whether any team has a rate limit.
    pub fn has_quotas(&self) -> bool {
        self.has_quotas
    }

    /// The team to which a key belongs.
    pub fn team(&self, key: &str) -> Option<&Arc<Team>> {
        self.keys.get(key)
    }

    /// The service with this name.
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        self.services.get(name)
    }

    /// The kept-KV stores.
    pub fn kv_stores(&self) -> &[KvStore] {
        &self.document.kv_stores
    }
}
