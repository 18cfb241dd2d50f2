//! An entry VM's view of an upstream: whether it is present, which incarnation of it runs, and whether it is
//! draining.
//!
//! The fleet list is the source for presence, read by this VM or relayed by a peer; the upstream itself reports
//! its incarnation. Updates may be duplicated, reordered and delayed. The list is written only when more than
//! the heartbeat changes, so a healthy upstream that is wrongly considered gone sends nothing further by
//! itself: every rule that removes an upstream must also be able to restore it. Updates are ordered by the
//! first of these rules that decides:
//!
//! 1. **Incarnations.** A newer incarnation discards everything known about the previous one; updates from a
//!    previous incarnation are ignored.
//! 2. **Positions.** Each update carries its position in the list's log, whoever relays it. An update at or
//!    before the newest position applied is a repeat. Updates may therefore arrive in any order and any number
//!    of times. Restoring the store from a backup starts a new timeline, whose positions follow all earlier ones.
//! 3. **Heartbeats.** A write that was delayed is newer in the log but holds older data. A record whose
//!    heartbeat is no newer than the known one of the same incarnation changes nothing for an upstream that is
//!    listed, and only puts one that is gone into the doubted state.
//!
//! Time bounds: an entry that lapsed while the store was unreachable has [`Rules::lapse`] from the store's
//! return to reappear. Doubt ends with the next newer record, or once the entry has remained for
//! [`Rules::confirmation`] while the store was reachable, which no entry does without heartbeats. An upstream that
//! announced that it leaves and is gone stays gone for this incarnation. Whether an upstream answers requests is
//! tracked separately ([`super::silence`]): one that leaves without announcing it answers for as long as it may
//! be asked, so its answers do not contradict the list.

mod reachability;

pub use reachability::StoreReachability;

use sesamegap_wire::{Incarnation, LogPosition, Moment};
use std::time::Duration;

/// Time within which a live upstream is listed again after the store's return, as the user documentation states.
pub const LAPSE: Duration = Duration::from_secs(2);

/// Time for which a leaving upstream still accepts requests: the default of the `drainMs` setting. The list is
/// read more often than that.
pub const DRAIN: Duration = Duration::from_secs(2);

/// Time between heartbeats: the default of the `heartbeatMs` setting.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Missed heartbeats after which the list drops an entry, as the user documentation states.
const MISSED_HEARTBEATS: u32 = 3;

/// How long a removed upstream is remembered, so that a delayed update does not restore it; ten times as long
/// as writes are delayed.
pub const TOMBSTONE: Duration = Duration::from_mins(1);

/// Time limits that decide between presence and absence.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// How long an entry that lapsed while the store was unreachable may take to reappear.
    pub lapse: Duration,
    /// How long an entry must remain in the list to prove that its upstream is alive.
    pub confirmation: Duration,
}

impl Rules {
    /// Rules for a list with this heartbeat interval and drain time.
    pub fn new(lapse: Duration, heartbeat: Duration, drain: Duration) -> Self {
        Self {
            lapse,
            confirmation: heartbeat * MISSED_HEARTBEATS + drain,
        }
    }
}

impl Default for Rules {
    fn default() -> Self {
        Self::new(LAPSE, HEARTBEAT, DRAIN)
    }
}

/// Content of an upstream's entry in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listing {
    /// Heartbeat number.
    pub beat: u64,
    /// Incarnation that wrote the entry, if it states one.
    pub born: Option<Incarnation>,
    /// Whether the upstream announces that it is leaving.
    pub leaving: bool,
}

/// State of an upstream according to a record of the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListRecord {
    /// The upstream is listed.
    Listed(Listing),
    /// Its entry was removed.
    Removed,
    /// Another writer's record hides its entry, so what runs at its address is unknown.
    Withdrawn,
}

/// An update of the list, read from the store or relayed by a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListUpdate {
    /// Position in the list's log.
    pub at: LogPosition,
    /// State that it reports.
    pub record: ListRecord,
}

/// Effect of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The upstream was unknown or gone, and is now listed.
    New,
    /// The upstream restarted: everything known about its previous incarnation is discarded.
    Restarted,
    /// The upstream announced that it is leaving.
    Leaving,
    /// The upstream holds newer weights than were known.
    Reloaded,
    /// The upstream is gone.
    Gone,
    /// The entry was removed, but may reappear.
    Lapsed,
    /// The entry had lapsed and was written again.
    Returned,
    /// The upstream was gone and a record of unknown age lists it; it is not used until that entry has remained
    /// for [`Rules::confirmation`].
    Doubted,
    /// A newer record without new information.
    Same,
    /// An update that was applied before.
    Repeat,
    /// A record with older data than known; ignored.
    Late,
    /// An update from or about a previous incarnation; ignored.
    Former,
}

impl Change {
    /// Whether the update was discarded.
    pub fn is_discarded(self) -> bool {
        matches!(self, Self::Late | Self::Former)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Listed,
    /// Removed while the store was unreachable; holds the time at which a delayed record listed it again, if any.
    Lapsed(Option<Moment>),
    Gone(Moment),
    /// Listed by a delayed record since this time.
    Doubted(Moment),
}

/// The view of one upstream.
#[derive(Debug, Clone)]
pub struct Belief {
    at: Option<LogPosition>,
    born: Option<Incarnation>,
    beat: Option<u64>,
    leaving: bool,
    state: State,
}

impl Belief {
    /// Creates the view of an upstream for which no update has arrived.
    pub fn new(now: Moment) -> Self {
        Self {
            at: None,
            born: None,
            beat: None,
            leaving: false,
            state: State::Gone(now),
        }
    }

    /// The newest known incarnation.
    pub fn born(&self) -> Option<Incarnation> {
        self.born
    }

    /// The newest heartbeat known.
    pub fn beat(&self) -> Option<u64> {
        self.beat
    }

    /// Whether the upstream announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the upstream is listed, or has lapsed and may be listed again.
    pub fn is_known(&self) -> bool {
        matches!(self.state, State::Listed | State::Lapsed(_))
    }

    /// Position of the newest record that was applied.
    pub fn position(&self) -> Option<LogPosition> {
        self.at
    }

    /// Whether it is listed by a delayed record that has not been confirmed.
    pub fn is_doubted(&self) -> bool {
        matches!(self.state, State::Doubted(_))
    }

    /// Whether the entry was removed while the store was unreachable.
    pub fn is_lapsed(&self) -> bool {
        matches!(self.state, State::Lapsed(_))
    }

    /// Whether the entry lapsed and did not reappear within [`Rules::lapse`] of the store's return. A live
    /// upstream writes again as soon as it can.
    pub fn is_overdue(&self, rules: &Rules, reachability: &StoreReachability, now: Moment) -> bool {
        self.is_lapsed() && reachability.reachable_for(Moment(0), rules.lapse, now)
    }

    /// Whether a tombstone is old enough to be forgotten.
    pub fn is_forgotten(&self, now: Moment) -> bool {
        matches!(self.state, State::Gone(since) if now.since(since) >= TOMBSTONE)
    }

    /// Applies an update of the list.
    pub fn apply(
        &mut self,
        update: ListUpdate,
        rules: &Rules,
        reachability: &StoreReachability,
        now: Moment,
    ) -> Change {
        let repeat = self.at.is_some_and(|at| update.at <= at);
        let restored = self.at.is_some_and(|at| update.at.timeline > at.timeline);
        self.at = self.at.max(Some(update.at));
        match update.record {
            // Later updates that were already applied may belong to the previous incarnation.
            ListRecord::Listed(listing) if self.is_newer(listing.born) => {
                self.restart(listing, repeat)
            }
            ListRecord::Listed(listing) if repeat => self.repeat(listing),
            ListRecord::Removed | ListRecord::Withdrawn if repeat => Change::Repeat,
            ListRecord::Listed(listing) if self.is_former(listing.born) => Change::Former,
            ListRecord::Listed(listing) => self.list(listing, now),
            ListRecord::Removed => {
                if restored {
                    self.accept_rewrite();
                }
                let may_reappear =
                    reachability.may_explain_expiry(rules.lapse, now) && !self.leaving;
                self.remove(may_reappear, now)
            }
            ListRecord::Withdrawn => self.withdraw(now),
        }
    }

    /// Applies the incarnation that the upstream itself, or a peer that asked it, reports.
    pub fn observe_incarnation(&mut self, born: Option<Incarnation>) -> Change {
        if self.is_newer(born) {
            self.reset_to(born);
            Change::Restarted
        } else if self.is_former(born) {
            Change::Former
        } else {
            Change::Same
        }
    }

    /// Applies time limits: ends overdue lapses, and lists doubted upstreams whose entry has remained long enough.
    pub fn expire(
        &mut self,
        rules: &Rules,
        reachability: &StoreReachability,
        now: Moment,
    ) -> Change {
        match self.state {
            State::Lapsed(again) if self.is_overdue(rules, reachability, now) => {
                self.state = again.map_or(State::Gone(now), State::Doubted);
                Change::Gone
            }
            State::Doubted(since) if reachability.reachable_for(since, rules.confirmation, now) => {
                self.state = State::Listed;
                Change::New
            }
            _ => Change::Same,
        }
    }

    /// An unstated incarnation may be any, so it is neither newer nor former.
    fn is_newer(&self, born: Option<Incarnation>) -> bool {
        born.is_some() && born > self.born
    }

    fn is_former(&self, born: Option<Incarnation>) -> bool {
        born.is_some() && born < self.born
    }

    fn reset_to(&mut self, born: Option<Incarnation>) {
        self.born = born;
        self.beat = None;
        self.leaving = false;
    }

    fn restart(&mut self, listing: Listing, repeat: bool) -> Change {
        let first = self.born.is_none() && self.beat.is_none();
        self.reset_to(listing.born);
        self.beat = Some(listing.beat);
        self.leaving = listing.leaving;
        // A removal that comes later in the log and was already applied concerns this incarnation too.
        if !repeat {
            self.state = State::Listed;
        }
        match (first, repeat) {
            (false, _) => Change::Restarted,
            (true, false) => Change::New,
            (true, true) => Change::Repeat,
        }
    }

    /// Handles an entry that is hidden by another writer's. The upstream has not left and may write the same entry
    /// once more, after which no update follows while nothing changes. So from now on only records with older
    /// heartbeats count as late.
    fn withdraw(&mut self, now: Moment) -> Change {
        self.accept_rewrite();
        self.remove(false, now)
    }

    /// Makes the known entry count as newer when it is written once more.
    fn accept_rewrite(&mut self) {
        if self.is_known() {
            self.beat = self.beat.and_then(|beat| beat.checked_sub(1));
        }
    }

    /// An upstream never revokes its leaving, so the announcement counts however late it arrives.
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
                let returns = self.is_lapsed();
                self.state = State::Listed;
                if leaves {
                    Change::Leaving
                } else if returns {
                    Change::Returned
                } else {
                    Change::Same
                }
            }
        }
    }

    fn remove(&mut self, may_reappear: bool, now: Moment) -> Change {
        match self.state {
            State::Gone(_) => Change::Same,
            State::Listed | State::Lapsed(_) if may_reappear => {
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
