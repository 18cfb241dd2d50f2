//! Applies the records of the fleet list, and what upstreams report about themselves.

use super::{Change, Entry, Fleet, Upstream};
use crate::ports::EngineReport;
use rustc_hash::FxHashSet;
use sesamegap_policy::routing::belief::{Belief, ListRecord, ListUpdate, Listing};
use sesamegap_wire::{Incarnation, LogPosition, Moment, SoftwareVersion, UpstreamId};

impl Fleet {
    /// Applies an entry at a position of the list's log.
    pub fn apply(&mut self, id: &UpstreamId, entry: Entry, at: LogPosition, now: Moment) -> Change {
        let update = ListUpdate {
            at,
            record: ListRecord::Listed(Listing {
                beat: entry.beat,
                born: entry.born,
                leaving: entry.leaving,
            }),
        };
        let unlisted = self.unlisted.remove(id);
        let known = self.upstreams.entry(id.clone()).or_insert_with(|| {
            let belief = unlisted.unwrap_or_else(|| Belief::new(now));
            Upstream::new(id.clone(), entry.clone(), belief)
        });
        let mut change =
            known
                .belief
                .apply(update, &self.rules.belief, &self.store_reachability, now);
        let is_other = known.is_other_software(&entry);
        if is_other {
            // The version that has served until now counts as one that served lately.
            let Entry {
                service, software, ..
            } = &known.entry;
            self.served.record(service, software, now);
        }
        match change {
            Change::Restarted => known.restart(entry),
            Change::New | Change::Leaving | Change::Returned | Change::Same if is_other => {
                change = Change::Restarted;
                known.restart(entry);
            }
            Change::New | Change::Leaving | Change::Returned | Change::Same => {
                change = known.update(entry, change);
            }
            // Without an incarnation, a delayed record of the previous process looks like one of the present process.
            Change::Late if is_other => known.forget_software(),
            _ => {}
        }
        if changes_presence(change) {
            self.generation += 1;
        }
        if known.belief.is_known() {
            let Entry {
                service, software, ..
            } = &known.entry;
            self.served.record(service, software, now);
        }
        change
    }

    /// Applies the removal of an entry at a position of the list's log.
    pub fn remove(&mut self, id: &UpstreamId, at: LogPosition, now: Moment) -> Change {
        self.unlist(id, at, ListRecord::Removed, now)
    }

    /// Applies a record that hides an upstream's entry; unlike a lapsed upstream, it gets no time to reappear.
    pub fn withdraw(&mut self, id: &UpstreamId, at: LogPosition, now: Moment) -> Change {
        self.unlist(id, at, ListRecord::Withdrawn, now)
    }

    fn unlist(
        &mut self,
        id: &UpstreamId,
        at: LogPosition,
        record: ListRecord,
        now: Moment,
    ) -> Change {
        let belief = match self.upstreams.get_mut(id) {
            Some(upstream) => {
                let Entry {
                    service, software, ..
                } = &upstream.entry;
                if upstream.belief.is_known() {
                    self.served.record(service, software, now);
                }
                &mut upstream.belief
            }
            None => self
                .unlisted
                .entry(id.clone())
                .or_insert_with(|| Belief::new(now)),
        };
        let update = ListUpdate { at, record };
        let change = belief.apply(update, &self.rules.belief, &self.store_reachability, now);
        if changes_presence(change) {
            self.generation += 1;
        }
        change
    }

    /// Applies the incarnation that an upstream, or a peer that asked it, reports.
    pub fn observe_incarnation(&mut self, id: &UpstreamId, born: Option<Incarnation>) -> Change {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return Change::Same;
        };
        let change = upstream.belief.observe_incarnation(born);
        if change == Change::Restarted {
            self.generation += 1;
            let entry = upstream.entry.clone();
            // The new process may run other software; its entry will tell.
            let software = SoftwareVersion::default();
            let entry = Entry {
                born,
                software,
                ..entry
            };
            upstream.restart(entry);
        }
        change
    }

    /// Applies an engine's report about itself.
    pub fn apply_report(&mut self, id: &UpstreamId, report: &EngineReport) -> Change {
        let change = self.observe_incarnation(id, report.born);
        if change == Change::Restarted
            && let Some(engine) = self.upstreams.get_mut(id)
        {
            for weights in &report.weights {
                engine.record_version(&weights.model, weights.version);
            }
        }
        change
    }

    /// Applies time limits to lapsed and doubted entries, and drops old tombstones; returns what changed.
    pub fn expire(&mut self, now: Moment) -> Vec<(UpstreamId, Change)> {
        let (rules, reachability) = (&self.rules.belief, &self.store_reachability);
        let mut changes = Vec::new();
        for upstream in self.upstreams.values_mut() {
            let change = upstream.belief.expire(rules, reachability, now);
            if change != Change::Same {
                changes.push((upstream.id.clone(), change));
            }
        }
        self.upstreams.retain(|_, up| !up.belief.is_forgotten(now));
        self.unlisted.retain(|_, belief| !belief.is_forgotten(now));
        self.namings.forget(now);
        if !changes.is_empty() {
            self.generation += 1;
        }
        changes
    }

    /// Removes the upstreams that are missing from the list as read up to position `next` of its log.
    ///
    /// Returns the missing upstreams and the effect of their removal.
    pub fn keep_only(
        &mut self,
        listed: &FxHashSet<UpstreamId>,
        next: LogPosition,
        now: Moment,
    ) -> Vec<(UpstreamId, Change)> {
        let Some(at) = next.previous() else {
            return Vec::new();
        };
        let known = self.upstreams().map(|up| &up.id);
        let missing: Vec<UpstreamId> = known.filter(|id| !listed.contains(id)).cloned().collect();
        missing
            .into_iter()
            .map(|id| {
                let change = self.remove(&id, at, now);
                (id, change)
            })
            .collect()
    }
}

/// Whether a change adds an upstream to those present, replaces it or removes it.
fn changes_presence(change: Change) -> bool {
    matches!(
        change,
        Change::New
            | Change::Restarted
            | Change::Gone
            | Change::Doubted
            | Change::Lapsed
            | Change::Returned
    )
}
