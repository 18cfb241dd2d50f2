//! Revisions that peers have told of.
//!
//! A VM that has heard of a newer document than its own fetches it. Until it has it, it may serve what its own document
//! says, but deny nothing for good by it; and once the newer one should be in force everywhere, it serves nothing by the
//! older one either. A claim that nobody repeats lapses: the VMs that had the newer document may all be gone for good.

use sesamegap_wire::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// Time after which a revision that no peer has claimed again is forgotten; several rounds of probes.
const CLAIM_TTL: Duration = Duration::from_secs(8);

/// Most revisions that are told apart; of more, the newest are told as one.
const MAX_HEARD: usize = 64;

/// Newer revisions than the own one of which peers have told.
#[derive(Debug, Default)]
pub struct NewestHeard {
    /// Each with the time at which it was first heard of, the oldest first.
    heard: VecDeque<(u64, Moment)>,
    /// When the newest was last claimed.
    last: Moment,
}

impl NewestHeard {
    /// Records a peer's revision; returns whether it is newer than the own one and was not known before.
    pub fn record(&mut self, revision: u64, own: u64, now: Moment) -> bool {
        self.settle(own, now);
        let newest = self.newest_known().unwrap_or(own);
        if revision <= own || revision < newest {
            return false;
        }
        self.last = now;
        if revision == newest {
            return false;
        }
        if self.heard.len() < MAX_HEARD {
            self.heard.push_back((revision, now));
        } else if let Some((last, _)) = self.heard.back_mut() {
            *last = revision;
        }
        true
    }

    /// For how long the oldest revision that is newer than the own one has been known to exist, if one is. A VM that puts
    /// each revision in force in time is never behind for long, however quickly they follow each other.
    pub fn behind_for(&mut self, own: u64, now: Moment) -> Option<Duration> {
        self.settle(own, now);
        self.heard.front().map(|(_, since)| now.since(*since))
    }

    /// The newest revision that is known to exist.
    pub fn newest(&mut self, own: u64, now: Moment) -> u64 {
        self.settle(own, now);
        self.newest_known().unwrap_or(own)
    }

    fn newest_known(&self) -> Option<u64> {
        self.heard.back().map(|(revision, _)| *revision)
    }

    fn settle(&mut self, own: u64, now: Moment) {
        while self
            .heard
            .front()
            .is_some_and(|(revision, _)| *revision <= own)
        {
            self.heard.pop_front();
        }
        if now.since(self.last) > CLAIM_TTL {
            self.heard.clear();
        }
    }
}
