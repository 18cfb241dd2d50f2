//! What an entry VM believes of an upstream: whether it is there, which life of it, and whether it leaves.
//!
//! The fleet list says so, read by this VM or by a peer for it; the upstream says itself which life it is.
//! Words come doubled, in the wrong order and late. The list is written only when more than a heartbeat
//! changes, so a sound upstream that is believed gone says nothing more by itself: whatever takes one out
//! must also bring it back. Words are ordered so, the first rule that decides counts:
//!
//! 1. **Lives.** A newer life drops all that is known of the former one; a former life's word says nothing.
//! 2. **Positions.** Each word of the list has a position in its log, whoever tells it. One at or before the
//!    newest that was taken in is a repeat. So words may come in any order, and as often as they like. When the
//!    store is restored from a copy, its positions begin a new timeline, whose words come after all of the former.
//! 3. **Heartbeats.** A record that was done late is newer in the log and older in truth. One that is no
//!    newer than what is known of the same life changes nothing about an upstream that is listed, and lists one
//!    that is gone only in doubt.
//!
//! Bounds: an entry that lapsed with the store away has [`Rules::lapse`] from the store's return. A doubt ends
//! with the next newer record, or when the entry has stood for [`Rules::stands`] while the store was in
//! reach, which nobody's does without heartbeats. An upstream that said that it leaves, and is gone, stays
//! gone for this life. Whether an upstream answers is another question ([`super::silence`]): one that leaves
//! without a word answers for as long as it may be asked, so its answers do not contradict the list.

mod contact;

pub use contact::Contact;

use sesamegap_wire::{Incarnation, LogPosition, Moment};
use std::time::Duration;

/// Time in which an upstream that lives is listed again after the store's return; the users' pages.
pub const LAPSE: Duration = Duration::from_secs(2);

/// Time for which an upstream that leaves still takes requests, the users' `drainMs` where they set none;
/// the list is read more often than that.
pub const DRAIN: Duration = Duration::from_secs(2);

/// Time between heartbeats, the users' `heartbeatMs` where they set none.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Heartbeats without which the list drops an entry; the users' pages.
const SILENT: u32 = 3;

/// How long a gone upstream is remembered, so that a late word does not bring it back; ten times as long as
/// writes are held up.
pub const TOMBSTONE: Duration = Duration::from_mins(1);

/// Spans that decide.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// How long an entry that lapsed with the store away may take to come back.
    pub lapse: Duration,
    /// How long an entry must stand in the list to prove that its upstream lives.
    pub stands: Duration,
}

impl Rules {
    /// Rules for a list whose entries are renewed and read at these paces.
    pub fn new(lapse: Duration, heartbeat: Duration, drain: Duration) -> Self {
        Self {
            lapse,
            stands: heartbeat * SILENT + drain,
        }
    }
}

impl Default for Rules {
    fn default() -> Self {
        Self::new(LAPSE, HEARTBEAT, DRAIN)
    }
}

/// What an entry of the list says of its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listing {
    /// Number of the heartbeat.
    pub beat: u64,
    /// The life that wrote it; unset if it does not say.
    pub born: Option<Incarnation>,
    /// Whether it says that it leaves.
    pub leaving: bool,
}

/// What a record of the list says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Said {
    /// The upstream is listed.
    Listed(Listing),
    /// Its entry was removed.
    Removed,
    /// Another writer's record lies over it, and nobody knows what is at its address.
    Withdrawn,
}

/// A word of the list, read or told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Word {
    /// Its position in the list's log.
    pub at: LogPosition,
    /// What it says.
    pub said: Said,
}

/// What a word did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// An upstream that was not known, or is back.
    New,
    /// It started again: all that was known of its former life is void.
    Restarted,
    /// It is leaving.
    Leaving,
    /// It holds newer weights than was known.
    Reloaded,
    /// It is gone.
    Gone,
    /// Its entry is gone, but may come back.
    Lapsed,
    /// It was gone, and a record of unknown age lists it; it is not used until that has stood.
    Doubted,
    /// A newer record that says nothing new.
    Same,
    /// A word that was taken in before.
    Repeat,
    /// A record that is older than what is known, and says nothing.
    Late,
    /// A word of or about a former life, which says nothing.
    Former,
}

impl Change {
    /// Whether the word was discarded.
    pub fn is_discarded(self) -> bool {
        matches!(self, Self::Late | Self::Former)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Listed,
    /// Removed while the store was away; listed again by a late record since.
    Lapsed(Option<Moment>),
    Gone(Moment),
    /// Listed by a late record since.
    Doubted(Moment),
}

/// What is believed of one upstream.
#[derive(Debug, Clone)]
pub struct Belief {
    at: Option<LogPosition>,
    born: Option<Incarnation>,
    beat: Option<u64>,
    leaving: bool,
    state: State,
}

impl Belief {
    /// Nothing was heard yet.
    pub fn new(now: Moment) -> Self {
        Self {
            at: None,
            born: None,
            beat: None,
            leaving: false,
            state: State::Gone(now),
        }
    }

    /// The life that it is believed to be in.
    pub fn born(&self) -> Option<Incarnation> {
        self.born
    }

    /// The newest heartbeat known.
    pub fn beat(&self) -> Option<u64> {
        self.beat
    }

    /// Whether it has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether it is listed, or may well be listed again.
    pub fn is_known(&self) -> bool {
        matches!(self.state, State::Listed | State::Lapsed(_))
    }

    /// Whether its entry lapsed.
    pub fn is_lapsed(&self) -> bool {
        matches!(self.state, State::Lapsed(_))
    }

    /// Whether it lapsed and did not come back in time, which counts from the store's return: one that lives
    /// writes again as soon as it can.
    pub fn is_overdue(&self, rules: &Rules, contact: &Contact, now: Moment) -> bool {
        self.is_lapsed() && contact.lasted(Moment(0), rules.lapse, now)
    }

    /// Whether a tombstone is old enough to be forgotten.
    pub fn is_forgotten(&self, now: Moment) -> bool {
        matches!(self.state, State::Gone(since) if now.since(since) >= TOMBSTONE)
    }

    /// Takes in a word of the list.
    pub fn hear(&mut self, word: Word, rules: &Rules, contact: &Contact, now: Moment) -> Change {
        let repeat = self.at.is_some_and(|at| word.at <= at);
        let restored = self.at.is_some_and(|at| word.at.timeline > at.timeline);
        self.at = self.at.max(Some(word.at));
        match word.said {
            // What was heard after it may have been of the former life.
            Said::Listed(listing) if self.is_newer(listing.born) => self.restart(listing, repeat),
            Said::Listed(listing) if repeat => self.repeat(listing),
            Said::Removed | Said::Withdrawn if repeat => Change::Repeat,
            Said::Listed(listing) if self.is_former(listing.born) => Change::Former,
            Said::Listed(listing) => self.list(listing, now),
            Said::Removed => {
                if restored {
                    self.expect_again();
                }
                let excused = contact.excuses(rules.lapse, now) && !self.leaving;
                self.remove(excused, now)
            }
            Said::Withdrawn => self.withdraw(now),
        }
    }

    /// Takes in which life the upstream itself, or a peer that asked it, says that it is.
    pub fn meet(&mut self, born: Option<Incarnation>) -> Change {
        if self.is_newer(born) {
            self.begin(born);
            Change::Restarted
        } else if self.is_former(born) {
            Change::Former
        } else {
            Change::Same
        }
    }

    /// Lets time decide: lapses that are overdue, doubts that have stood.
    pub fn expire(&mut self, rules: &Rules, contact: &Contact, now: Moment) -> Change {
        match self.state {
            State::Lapsed(again) if self.is_overdue(rules, contact, now) => {
                self.state = again.map_or(State::Gone(now), State::Doubted);
                Change::Gone
            }
            State::Doubted(since) if contact.lasted(since, rules.stands, now) => {
                self.state = State::Listed;
                Change::New
            }
            _ => Change::Same,
        }
    }

    /// One that does not say which life it is may be of any.
    fn is_newer(&self, born: Option<Incarnation>) -> bool {
        born.is_some() && born > self.born
    }

    fn is_former(&self, born: Option<Incarnation>) -> bool {
        born.is_some() && born < self.born
    }

    fn begin(&mut self, born: Option<Incarnation>) {
        self.born = born;
        self.beat = None;
        self.leaving = false;
    }

    fn restart(&mut self, listing: Listing, repeat: bool) -> Change {
        let first = self.born.is_none() && self.beat.is_none();
        self.begin(listing.born);
        self.beat = Some(listing.beat);
        self.leaving = listing.leaving;
        // A removal that was heard after it was of this life too.
        if !repeat {
            self.state = State::Listed;
        }
        match (first, repeat) {
            (false, _) => Change::Restarted,
            (true, false) => Change::New,
            (true, true) => Change::Repeat,
        }
    }

    /// Its own entry lies under another writer's. It has not left, and may write the entry that it had once more,
    /// after which nothing comes while nothing changes: only older heartbeats are late from now on.
    fn withdraw(&mut self, now: Moment) -> Change {
        self.expect_again();
        self.remove(false, now)
    }

    /// Lets the entry that is known count as newer when it is written once more.
    fn expect_again(&mut self) {
        if self.is_known() {
            self.beat = self.beat.and_then(|beat| beat.checked_sub(1));
        }
    }

    /// An upstream never takes back that it leaves, so that counts however late it is heard.
    fn repeat(&mut self, listing: Listing) -> Change {
        let leaves = listing.leaving && !self.leaving && !self.is_former(listing.born);
        if !leaves {
            return Change::Repeat;
        }
        self.leaving = true;
        Change::Leaving
    }

    fn list(&mut self, listing: Listing, now: Moment) -> Change {
        let left = !self.is_known() && self.leaving;
        let late = match self.state {
            State::Listed => self.beat.is_some_and(|known| listing.beat < known),
            _ => self.beat.is_some_and(|known| listing.beat <= known),
        };
        let leaves = listing.leaving && !self.leaving;
        self.leaving |= listing.leaving;
        self.born = self.born.max(listing.born);
        self.beat = self.beat.max(Some(listing.beat));
        if left {
            return Change::Late;
        }
        match self.state {
            State::Listed if late && !leaves => Change::Late,
            State::Lapsed(again) if late => {
                self.state = State::Lapsed(again.or(Some(now)));
                Change::Late
            }
            State::Doubted(_) if late => Change::Late,
            State::Gone(_) if late => {
                self.state = State::Doubted(now);
                Change::Doubted
            }
            State::Gone(_) | State::Doubted(_) => {
                self.state = State::Listed;
                Change::New
            }
            State::Listed | State::Lapsed(_) => {
                self.state = State::Listed;
                if leaves {
                    Change::Leaving
                } else {
                    Change::Same
                }
            }
        }
    }

    fn remove(&mut self, excused: bool, now: Moment) -> Change {
        match self.state {
            State::Gone(_) => Change::Same,
            State::Listed | State::Lapsed(_) if excused => {
                self.state = State::Lapsed(None);
                Change::Lapsed
            }
            State::Listed | State::Lapsed(_) | State::Doubted(_) => {
                self.state = State::Gone(now);
                Change::Gone
            }
        }
    }
}
