//! The software versions of upstreams, as far as streams depend on them.

use super::{Fleet, Selection, Upstream};
use crate::catalogue::KvStore;
use sesamegap_policy::resumption::{Origin, Testimony};
use sesamegap_policy::routing::Availability;
use sesamegap_wire::{Moment, ServiceId, SoftwareVersion, UpstreamId};
use std::collections::BTreeSet;
use std::time::Duration;

/// Part of an upstream's slots, as a divisor, that new streams leave free while several software versions serve: a stream
/// that breaks off has only the upstreams of its version to go to.
const RESERVED_PART: u32 = 8;

impl Upstream {
    /// Whether a stream that a version began may go on here.
    ///
    /// An upstream that failed since its newest entry may have restarted with another version under the same id.
    pub fn continues(&self, software: &SoftwareVersion) -> bool {
        self.entry.software == *software && !self.has_failed_since_listed()
    }
}

impl Selection<'_> {
    /// Whether an upstream is not excluded.
    pub(super) fn accepts(&self, upstream: &Upstream) -> bool {
        let continues = self
            .software
            .is_none_or(|software| upstream.continues(software));
        continues && !self.tried.contains(&upstream.id)
    }

    /// Whether the request is a prompt that may run at any software version.
    pub(super) fn begins_stream(&self) -> bool {
        self.shape.is_some() && self.software.is_none()
    }
}

impl Fleet {
    /// Records that the list of upstreams is known from now on.
    pub fn record_list(&mut self, now: Moment) {
        self.served.record_list(now);
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
            complete: self.served.covers(window, now),
        };
        for service in services {
            let index = self.index(service, stores, now);
            let past = self.served.within(service, window, now);
            let all: BTreeSet<&SoftwareVersion> = index.software.iter().chain(past).collect();
            // One whose version is not known yet stands among others for any of theirs. The streams that it begins are
            // recorded as its own, and do not go on elsewhere.
            let counted = all
                .iter()
                .filter(|software| software.is_stated() || all.len() == 1);
            testimony.origins.extend(counted.map(|software| Origin {
                service: service.clone(),
                software: SoftwareVersion::clone(software),
            }));
        }
        testimony
    }

    /// Whether no upstream of a version is left to go on at, not even a busy one, while others serve the service.
    ///
    /// An upstream that is alone in its service may come back, and then as what it was.
    pub fn is_version_gone(
        &self,
        service: &ServiceId,
        software: &SoftwareVersion,
        except: &[UpstreamId],
        now: Moment,
    ) -> bool {
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
        if open.iter().any(|(upstream, _)| has_room(upstream)) {
            open.retain(|(upstream, _)| has_room(upstream));
        }
    }
}
