//! The software versions of each service that served lately.

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use sesamegap_wire::{Moment, ServiceId, SoftwareVersion};
use std::collections::BTreeSet;
use std::time::Duration;

/// How long a version is remembered after its last upstream has gone; longer than callers take streams up again.
const RETENTION: Duration = Duration::from_mins(10);

/// A service and the version of its software that began a stream.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The service.
    pub service: ServiceId,
    /// The version of its software.
    pub software: SoftwareVersion,
}

/// What a VM knows of the versions that can have begun a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Testimony {
    /// Versions that served in the time in question.
    pub origins: BTreeSet<Origin>,
    /// Whether no other version served in that time.
    pub complete: bool,
    /// Versions that were alone in their services when this VM started, if streams from before may still go on: those
    /// without a record began there.
    #[serde(default)]
    pub alone: BTreeSet<Origin>,
}

/// When each version of a service was last known to serve.
#[derive(Debug, Default)]
pub struct ServedVersions {
    services: FxHashMap<ServiceId, Vec<(SoftwareVersion, Moment)>>,
    /// Since when the fleet list has been followed.
    followed_since: Option<Moment>,
    /// Services whose versions before that are known from the store.
    informed: FxHashSet<ServiceId>,
    /// The versions that the store named as the only ones of their services, and when.
    alone: FxHashMap<ServiceId, (SoftwareVersion, Moment)>,
    /// Whether the store was read, and named the versions of all services that it keeps any of.
    all_informed: bool,
    /// Whether the list was not heard of for a time, and the store was not read since.
    has_gap: bool,
}

impl ServedVersions {
    /// Records that the fleet list is known from now on.
    pub fn record_list(&mut self, now: Moment) {
        self.followed_since.get_or_insert(now);
    }

    /// Records that the list was replaced as a whole after it had not been heard of for a time: versions that came and went
    /// in that time are not known.
    pub fn record_gap(&mut self, now: Moment) {
        self.followed_since = Some(now);
        self.informed.clear();
        self.all_informed = false;
        self.has_gap = true;
    }

    /// Whether the store was not read since the last gap.
    pub fn has_gap(&self) -> bool {
        self.has_gap
    }

    /// Records the versions of a service that, as the store says, can have begun streams that still go on.
    pub fn record_history<'a>(
        &mut self,
        service: &ServiceId,
        versions: impl IntoIterator<Item = &'a SoftwareVersion>,
        now: Moment,
    ) {
        let mut versions = versions.into_iter().peekable();
        if let Some(first) = versions.next() {
            self.record(service, first, now);
            // After a gap, another version may have appeared that nobody has written to the store yet.
            if versions.peek().is_none() && first.is_stated() && !self.has_gap {
                self.alone.insert(service.clone(), (first.clone(), now));
            }
        }
        for software in versions {
            self.record(service, software, now);
        }
        self.informed.insert(service.clone());
    }

    /// Records that all that the store tells of the past has been read.
    pub fn record_history_read(&mut self) {
        self.has_gap = false;
    }

    /// The version that was alone in a service when the store was read, if streams that began before then may still go on.
    ///
    /// While a version is alone its streams are not recorded in the store, so that those without a record are its.
    pub fn alone_before(
        &self,
        service: &ServiceId,
        window: Duration,
        now: Moment,
    ) -> Option<&SoftwareVersion> {
        let (software, read_at) = self.alone.get(service)?;
        (now.since(*read_at) < window).then_some(software)
    }

    /// Records that the store keeps the versions of no other service: no VM has known one of theirs.
    pub fn record_no_other_history(&mut self) {
        self.all_informed = true;
    }

    /// Records that an upstream of a version serves or served until now.
    pub fn record(&mut self, service: &ServiceId, software: &SoftwareVersion, now: Moment) {
        let Some(versions) = self.services.get_mut(service) else {
            let versions = vec![(software.clone(), now)];
            self.services.insert(service.clone(), versions);
            return;
        };
        match versions.iter_mut().find(|(known, _)| known == software) {
            Some((_, served)) => *served = now.max(*served),
            None => versions.push((software.clone(), now)),
        }
        versions.retain(|(_, served)| now.since(*served) < RETENTION);
    }

    /// The versions of a service that served within a time before now.
    pub fn within(
        &self,
        service: &ServiceId,
        window: Duration,
        now: Moment,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        let versions = self.services.get(service).into_iter().flatten();
        let recent = versions.filter(move |(_, served)| now.since(*served) <= window);
        recent.map(|(software, _)| software)
    }

    /// Whether any upstream of a service has stated its version lately.
    pub fn is_stated(&self, service: &ServiceId) -> bool {
        let mut versions = self.services.get(service).into_iter().flatten();
        versions.any(|(software, _)| software.is_stated())
    }

    /// How long the list has been followed; `None` if it was never read.
    pub fn followed_for(&self, now: Moment) -> Option<Duration> {
        self.followed_since.map(|since| now.since(since))
    }

    /// Whether all versions of a service are known that served within a time before now: the list has been followed for
    /// that long, or since the store told which ones can have served before.
    pub fn covers_service(&self, service: &ServiceId, window: Duration, now: Moment) -> bool {
        let is_informed = self.all_informed || self.informed.contains(service);
        (is_informed && self.followed_since.is_some()) || self.covers(window, now)
    }

    /// Whether the list has been followed for this long.
    pub fn covers(&self, window: Duration, now: Moment) -> bool {
        let followed = self.followed_for(now);
        followed.is_some_and(|time| time >= window)
    }
}
