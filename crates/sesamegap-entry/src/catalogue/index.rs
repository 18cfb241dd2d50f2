//! An index of a document by host, key and service.

use super::document::{Document, Kind, KvStore, Limits, Revision, Route, Service, Team};
use super::entries::{Common, Entry};
use rustc_hash::{FxHashMap, FxHashSet};
use sesamegap_policy::agreement::replication::{Content, Delta, EntryId};
use sesamegap_policy::resumption;
use sesamegap_wire::ServiceId;
use smol_str::SmolStr;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// Error of a lookup that matches no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoute;

/// Routes of a host, the longest prefix first.
type HostRoutes = Arc<Vec<Arc<Route>>>;

/// A document with its indexes; parts that a newer one does not change are shared with it.
#[derive(Debug, Clone)]
pub struct Catalogue {
    content: Arc<Content<Entry>>,
    common: Arc<Common>,
    services: Arc<FxHashMap<ServiceId, Service>>,
    hosts: Arc<FxHashMap<SmolStr, HostRoutes>>,
    keys: Arc<FxHashMap<SmolStr, Arc<Team>>>,
    routes: usize,
    teams: usize,
    /// Teams that have a rate limit.
    limited: usize,
    /// Shortest objectives of each service by priority, computed on first use.
    objectives: OnceLock<FxHashMap<ServiceId, BTreeMap<u8, Duration>>>,
    /// Time within which callers take up streams of each service, computed on first use.
    windows: OnceLock<BTreeMap<ServiceId, Duration>>,
}

impl Catalogue {
    /// Indexes a document.
    pub fn new(document: &Document) -> Self {
        let entries = document.entries();
        let content = Content::default().changed(document.revision.0, Vec::new(), entries);
        Self::index(Arc::new(document.common()), content)
    }

    /// Indexes the entries of a document; `None` if the common part is missing.
    pub fn from_content(content: Content<Entry>) -> Option<Self> {
        let common = find_common(&content, content.entries().map(|(id, _)| id))?;
        Some(Self::index(common, content))
    }

    fn index(common: Arc<Common>, content: Content<Entry>) -> Self {
        let delta = Delta {
            removed: Vec::new(),
            added: content.entries().map(|(id, _)| id).collect(),
        };
        let mut catalogue = Self {
            services: Arc::new(index_services(&common)),
            common,
            content: Arc::default(),
            hosts: Arc::default(),
            keys: Arc::default(),
            routes: 0,
            teams: 0,
            limited: 0,
            objectives: OnceLock::new(),
            windows: OnceLock::new(),
        };
        catalogue.apply(content, &delta);
        catalogue
    }

    /// Returns the index of a newer document, whose entries were derived from this one's.
    pub fn updated(&self, content: Content<Entry>) -> Option<Self> {
        let Some(delta) = content.since(self.content.version()) else {
            return Self::from_content(content);
        };
        let mut next = self.clone();
        next.objectives = OnceLock::new();
        next.windows = OnceLock::new();
        if let Some(common) = find_common(&content, delta.added.iter().copied()) {
            next.services = Arc::new(index_services(&common));
            next.common = common;
        }
        next.apply(content, &delta);
        Some(next)
    }

    fn apply(&mut self, content: Content<Entry>, delta: &Delta) {
        let removed: Vec<Entry> = delta
            .removed
            .iter()
            .filter_map(|id| self.content.get(*id).cloned())
            .collect();
        for entry in &removed {
            match entry {
                Entry::Common(_) => {}
                Entry::Route(route) => self.remove_route(route),
                Entry::Team(team) => self.remove_team(team),
            }
        }
        let mut routes = Vec::new();
        for id in &delta.added {
            match content.get(*id) {
                Some(Entry::Route(route)) => routes.push(route),
                Some(Entry::Team(team)) => self.add_team(team),
                Some(Entry::Common(_)) | None => {}
            }
        }
        self.add_routes(&routes);
        self.content = Arc::new(content);
    }

    fn add_routes(&mut self, added: &[&Arc<Route>]) {
        if added.is_empty() {
            return;
        }
        let hosts = Arc::make_mut(&mut self.hosts);
        for route in added {
            let routes = Arc::make_mut(hosts.entry(route.host.clone()).or_default());
            routes.push(Arc::clone(route));
        }
        let changed: FxHashSet<&SmolStr> = added.iter().map(|route| &route.host).collect();
        for host in changed {
            if let Some(routes) = hosts.get_mut(host) {
                Arc::make_mut(routes).sort_by(|one, other| precedence(one).cmp(&precedence(other)));
            }
        }
        self.routes += added.len();
    }

    fn remove_route(&mut self, route: &Arc<Route>) {
        let hosts = Arc::make_mut(&mut self.hosts);
        if let Some(routes) = hosts.get_mut(&route.host) {
            Arc::make_mut(routes).retain(|other| other != route);
            if routes.is_empty() {
                hosts.remove(&route.host);
            }
        }
        self.routes -= 1;
    }

    fn add_team(&mut self, team: &Arc<Team>) {
        let keys = Arc::make_mut(&mut self.keys);
        for key in &team.keys {
            keys.insert(key.clone(), Arc::clone(team));
        }
        self.teams += 1;
        self.limited += usize::from(team.quota.is_some());
    }

    fn remove_team(&mut self, team: &Arc<Team>) {
        let keys = Arc::make_mut(&mut self.keys);
        for key in &team.keys {
            if keys.get(key).is_some_and(|holder| holder.name == team.name) {
                keys.remove(key);
            }
        }
        self.teams -= 1;
        self.limited -= usize::from(team.quota.is_some());
    }

    /// The entries of the document.
    pub fn content(&self) -> &Arc<Content<Entry>> {
        &self.content
    }

    /// The document itself.
    pub fn document(&self) -> Arc<Document> {
        let mut document = Document {
            revision: self.revision(),
            routes: Vec::with_capacity(self.routes),
            services: self.common.services.clone(),
            kv_stores: self.common.kv_stores.clone(),
            limits: self.common.limits,
            teams: Vec::with_capacity(self.teams),
        };
        for (_, entry) in self.content.entries() {
            match entry {
                Entry::Common(_) => {}
                Entry::Route(route) => document.routes.push(route.as_ref().clone()),
                Entry::Team(team) => document.teams.push(team.as_ref().clone()),
            }
        }
        Arc::new(document)
    }

    /// The document's revision.
    pub fn revision(&self) -> Revision {
        Revision(self.content.version().revision)
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes
    }

    /// Number of teams.
    pub fn team_count(&self) -> usize {
        self.teams
    }

    /// Limits on callers' requests.
    pub fn limits(&self) -> Limits {
        self.common.limits
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

    /// Shortest objective of the routes to a service that are more urgent than a priority.
    pub fn urgent_objective(&self, service: &ServiceId, priority: u8) -> Option<Duration> {
        let objectives = self.objectives.get_or_init(|| self.index_objectives());
        let of_service = objectives.get(service)?;
        of_service
            .range(..priority)
            .map(|(_, objective)| *objective)
            .min()
    }

    fn index_objectives(&self) -> FxHashMap<ServiceId, BTreeMap<u8, Duration>> {
        let mut objectives: FxHashMap<ServiceId, BTreeMap<u8, Duration>> = FxHashMap::default();
        for route in self.hosts.values().flat_map(|routes| routes.iter()) {
            for target in route.targets.iter().filter(|target| target.weight > 0) {
                let of_service = objectives.entry(target.service.clone()).or_default();
                let shortest = of_service.entry(route.priority).or_insert(route.objective);
                *shortest = route.objective.min(*shortest);
            }
        }
        objectives
    }

    /// The services whose streams callers may take up again, each with the longest time within which they do.
    pub fn resumption_windows(&self) -> &BTreeMap<ServiceId, Duration> {
        self.windows.get_or_init(|| self.index_windows())
    }

    fn index_windows(&self) -> BTreeMap<ServiceId, Duration> {
        let mut windows: BTreeMap<ServiceId, Duration> = BTreeMap::new();
        let routes = self.hosts.values().flat_map(|routes| routes.iter());
        for route in routes.filter(|route| route.kind == Kind::ResumableStream) {
            let window = resumption::window(route.timeout);
            for target in route.targets.iter().filter(|target| target.weight > 0) {
                let longest = windows.entry(target.service.clone()).or_default();
                *longest = window.max(*longest);
            }
        }
        windows
    }

    /// Whether callers must present a key.
    pub fn has_teams(&self) -> bool {
        self.teams > 0
    }

    /// Whether any team has a rate limit.
    pub fn has_quotas(&self) -> bool {
        self.limited > 0
    }

    /// The teams that have a rate limit.
    pub fn limited_teams(&self) -> impl Iterator<Item = &Arc<Team>> {
        let entries = self.content.entries();
        entries.filter_map(|(_, entry)| match entry {
            Entry::Team(team) if team.quota.is_some() => Some(team),
            _ => None,
        })
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
        &self.common.kv_stores
    }
}

/// Order of a host's routes: the longest prefix first; routes of one prefix in the same order on all VMs.
fn precedence(route: &Route) -> (Reverse<usize>, &str, &str) {
    (
        Reverse(route.prefix.len()),
        route.prefix.as_str(),
        route.name.as_str(),
    )
}

/// The common part, if it is among some entries.
fn find_common(
    content: &Content<Entry>,
    mut ids: impl Iterator<Item = EntryId>,
) -> Option<Arc<Common>> {
    ids.find_map(|id| match content.get(id) {
        Some(Entry::Common(common)) => Some(Arc::clone(common)),
        _ => None,
    })
}

fn index_services(common: &Common) -> FxHashMap<ServiceId, Service> {
    let services = common.services.iter();
    services
        .map(|service| (service.name.clone(), service.clone()))
        .collect()
}
