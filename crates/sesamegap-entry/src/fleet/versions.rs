//! The software versions of upstreams, as far as streams depend on them.

use super::{Fleet, Selection, Upstream};
use crate::catalogue::KvStore;
use rustc_hash::FxHashMap;
use sesamegap_policy::resumption::{Origin, Testimony};
use sesamegap_policy::routing::Availability;
use sesamegap_wire::{Moment, ServiceId, SoftwareVersion, UpstreamId};
use std::collections::BTreeSet;
use std::time::Duration;

/// Part of an upstream's slots, as a divisor, that new streams leave free while several software versions serve: a stream
/// that breaks off has only the upstreams of its version to go to.
const RESERVED_PART: u32 = 8;

/// Longest time without word of the list in which no version comes and goes: an upstream that leaves is listed for longer.
const MAX_GAP: Duration = Duration::from_secs(1);

impl Selection<'_> {
    /// Whether the request is a prompt that may run at any software version.
    pub(super) fn begins_stream(&self) -> bool {
        self.shape.is_some() && self.software.is_none()
    }
}

impl Fleet {
    /// Records that the list of upstreams is known up to a moment.
    pub fn record_list(&mut self, as_of: Moment) {
        self.served.record_list(as_of);
        self.list_as_of = self.list_as_of.max(as_of);
    }

    /// Records that the list of upstreams is replaced as a whole.
    pub fn record_replacement(&mut self, now: Moment) {
        if self.list_as_of > Moment::default() && now.since(self.list_as_of) > MAX_GAP {
            self.served.record_gap(now);
        }
    }

    /// Whether versions may have come and gone unnoticed, of which the store may know.
    pub fn lacks_history(&self) -> bool {
        self.served.has_gap()
    }

    /// How long the list of upstreams has been followed; `None` if it was never read.
    pub fn list_followed_for(&self, now: Moment) -> Option<Duration> {
        self.served.followed_for(now)
    }

    /// The version of an upstream's software; an unstated one if it may have restarted since the list was last known.
    pub(super) fn software_of(&self, upstream: &Upstream) -> SoftwareVersion {
        if upstream.is_software_doubted(self.list_as_of) {
            SoftwareVersion::default()
        } else {
            upstream.entry.software.clone()
        }
    }

    /// Whether a stream that a version began may go on at an upstream.
    pub fn continues(&self, upstream: &Upstream, software: &SoftwareVersion) -> bool {
        let is_same = upstream.entry.software == *software;
        is_same
            && self.is_resumable(&upstream.entry.service, software)
            && !upstream.is_software_doubted(self.list_as_of)
    }

    /// Whether two upstreams of this version run the same software: two that are not known where others are known may run
    /// different ones.
    fn is_resumable(&self, service: &ServiceId, software: &SoftwareVersion) -> bool {
        software.is_stated() || !self.served.is_stated(service)
    }

    /// Whether a selection does not exclude an upstream.
    pub(super) fn accepts(&self, selection: &Selection<'_>, upstream: &Upstream) -> bool {
        let software = selection.software;
        let continues = software.is_none_or(|software| self.continues(upstream, software));
        continues && !selection.tried.contains(&upstream.id)
    }

    /// Records that a connection to an upstream broke, so that it may have restarted.
    pub fn record_broken(&mut self, id: &UpstreamId, life: u64, now: Moment) {
        let list_as_of = self.list_as_of;
        let upstream = self.in_life(id, life);
        let is_new = upstream.is_some_and(|upstream| {
            upstream.connection_broke_at = now;
            upstream.doubt_software(list_as_of, now)
        });
        if is_new {
            self.broken.push(life);
        }
    }

    /// Records that connections to these incarnations broke at another VM.
    pub(crate) fn record_broken_elsewhere(&mut self, lives: &[u64], now: Moment) {
        let list_as_of = self.list_as_of;
        let upstreams = self.upstreams.values_mut();
        for upstream in upstreams.filter(|upstream| lives.contains(&upstream.life)) {
            upstream.doubt_software(list_as_of, now);
        }
    }

    /// Takes the incarnations whose connections broke at this VM since the last call.
    pub(crate) fn take_broken(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.broken)
    }

    /// What this VM knows of the versions of some services that served within a time before now.
    pub fn testimony(
        &mut self,
        services: &[ServiceId],
        stores: &[KvStore],
        window: Duration,
        now: Moment,
    ) -> Testimony {
        let mut testimony = Testimony {
            origins: BTreeSet::new(),
            complete: services
                .iter()
                .all(|service| self.served.covers_service(service, window, now)),
            alone: BTreeSet::new(),
        };
        for service in services {
            let origin = |software| Origin {
                service: service.clone(),
                software,
            };
            let alone = self.served.alone_before(service, window, now).cloned();
            testimony.alone.extend(alone.map(origin));
            let versions = self.versions_within(service, stores, window, now);
            testimony.origins.extend(versions.into_iter().map(origin));
        }
        testimony
    }

    /// Records the versions of each service that can have begun streams, as the store says; `is_whole` if it keeps no others.
    pub fn record_history(
        &mut self,
        stored: &FxHashMap<ServiceId, BTreeSet<SoftwareVersion>>,
        is_whole: bool,
        now: Moment,
    ) {
        for (service, versions) in stored {
            self.served.record_history(service, versions, now);
        }
        if is_whole {
            self.served.record_no_other_history();
        }
        self.served.record_history_read();
    }

    /// The versions of a service that served within a time before now, as far as this VM knows.
    pub fn versions_within(
        &mut self,
        service: &ServiceId,
        stores: &[KvStore],
        window: Duration,
        now: Moment,
    ) -> BTreeSet<SoftwareVersion> {
        let index = self.index(service, stores, now);
        let past = self.served.within(service, window, now);
        let all: BTreeSet<&SoftwareVersion> = index.software.iter().chain(past).collect();
        stated(&all).cloned().collect()
    }

    /// Whether this VM knows all versions of a service that served within a time before now.
    pub fn covers_versions(&self, service: &ServiceId, window: Duration, now: Moment) -> bool {
        self.served.covers_service(service, window, now)
    }

    /// Whether no upstream of a version is left to go on at, not even a busy one, while others serve the service, or the
    /// version is not known.
    ///
    /// An upstream that is alone in its service may come back, and then as what it was.
    pub fn is_version_gone(
        &self,
        service: &ServiceId,
        software: &SoftwareVersion,
        except: &[UpstreamId],
        now: Moment,
    ) -> bool {
        if !self.is_resumable(service, software) {
            return true;
        }
        let mut others_serve = false;
        for upstream in self.of_service(service) {
            let is_left = !upstream.entry.leaving && !upstream.is_gone(now);
            if !is_left || except.contains(&upstream.id) {
                continue;
            }
            if upstream.entry.software == *software {
                return false;
            }
            others_serve = true;
        }
        others_serve
    }

    /// Keeps the versions of the upstreams that serve until now.
    pub(super) fn record_versions(
        &mut self,
        service: &ServiceId,
        software: &[SoftwareVersion],
        now: Moment,
    ) {
        for version in software {
            self.served.record(service, version, now);
        }
    }

    /// Drops upstreams whose last slots are left to streams that must go on at their software version, unless all are as
    /// full.
    pub(super) fn reserve_room(
        &self,
        open: &mut Vec<(&Upstream, bool)>,
        selection: &Selection<'_>,
        now: Moment,
    ) {
        let has_room = |upstream: &Upstream| {
            let slots = upstream.entry.slots;
            let reserved = (slots / RESERVED_PART).max(1);
            self.running(upstream, now) + reserved < slots
                && self.availability_for(upstream, selection.shape, now) == Availability::Open
        };
        let all = open.iter().copied();
        let roomy: Vec<(&Upstream, bool)> =
            all.filter(|(upstream, _)| has_room(upstream)).collect();
        if !roomy.is_empty() {
            *open = roomy;
        }
    }
}

/// The versions that can have begun streams.
///
/// An upstream whose version is not known yet stands among others for any of theirs. The streams that it begins are recorded
/// as its own, and do not go on elsewhere.
fn stated<'a>(
    versions: &BTreeSet<&'a SoftwareVersion>,
) -> impl Iterator<Item = &'a SoftwareVersion> {
    let is_alone = versions.len() == 1;
    let counted = versions
        .iter()
        .filter(move |software| is_alone || software.is_stated());
    counted.copied()
}
