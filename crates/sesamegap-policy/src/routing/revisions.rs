//! Revisions that peers have told of.
//!
//! A VM that has heard of a newer document than its own fetches it. Until it has it, it may serve what its own document
//! says, but deny nothing for good by it; and once the newer one should be in force everywhere, it serves nothing by the
//! older one either. A claim that nobody repeats lapses: the VMs that had the newer document may all be gone for good.

use sesamegap_wire::Moment;
use std::time::Duration;

/// Time after which a revision that no peer has claimed again is forgotten; several rounds of probes.
const CLAIM_TTL: Duration = Duration::from_secs(8);

/// The newest revision that a peer has told of.
#[derive(Debug, Default)]
pub struct NewestHeard {
    revision: u64,
    /// Since when a newer revision than the own one is known to exist.
    behind_since: Option<Moment>,
    last: Moment,
}

impl NewestHeard {
    /// Records a peer's revision; returns whether it is newer than the own one and was not known before.
    pub fn record(&mut self, revision: u64, own: u64, now: Moment) -> bool {
        self.settle(own, now);
        if revision < self.revision || revision <= own {
            return false;
        }
        let is_new = revision > self.revision;
        self.revision = revision;
        self.last = now;
        self.behind_since.get_or_insert(now);
        is_new
    }

    /// For how long a newer revision than the own one has been known to exist, if one is.
    pub fn behind_for(&mut self, own: u64, now: Moment) -> Option<Duration> {
        self.settle(own, now);
        self.behind_since.map(|since| now.since(since))
    }

    /// The newest revision that is known to exist.
    pub fn newest(&mut self, own: u64, now: Moment) -> u64 {
        self.settle(own, now);
        self.revision.max(own)
    }

    fn settle(&mut self, own: u64, now: Moment) {
        if self.revision <= own {
            self.behind_since = None;
        } else if now.since(self.last) > CLAIM_TTL {
            *self = Self::default();
        }
    }
}
