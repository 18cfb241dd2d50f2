//! Keeps to the limits on requests that upstreams name.
//!
//! An upstream in need says in its answers how many requests a second it takes from all VMs together. The limit belongs to
//! an incarnation, differs between upstreams, drifts, and ends with the first answer that does not name it.
//!
//! - **Counting.** One VM counts the requests at an upstream, the first in the upstream's ranking that is alive
//!   ([`counter`]). Every other VM asks it for a permit before each request, and sends the request itself. KEEP-905 checks
//!   capacity before each dispatch against one shared counter; here the counter is a VM, and what a store would guarantee
//!   is bounded by shares: VMs whose views of the membership differ may count at the same time, each in another place, with
//!   a smaller share. A VM that gets no permit does not send.
//! - **Knowledge.** [`UpstreamLimits`] orders statements by when they were given. A VM tells all others when a limit begins,
//!   ends or changes notably. One that missed this finds out when it is used: an answer names the limit, or the VM that
//!   counts knows that it has ended.
//! - **Placement.** An upstream without permits is passed over until the time at which the VM may ask again.
//!
//! Load: a failure domain in need, whose engines take half of what they got. What they do not take goes to others at once.

mod counting;
mod known;
mod message;

pub use counting::{ABSENCE, Counter, Place, Standing, counter};
pub use known::{LimitChange, Statement};
pub use message::{LimitNews, Message, Verdict};

use counting::Bucket;
use known::KnownLimit;
use rustc_hash::{FxHashMap, FxHashSet};
use sesamegap_wire::{Moment, RequestRate};
use std::time::Duration;

/// How long a permit holds, from before it was asked for. A request must not arrive when the upstream's limit has been used
/// up by others.
pub const PERMIT_TTL: Duration = Duration::from_millis(300);

/// How long an upstream is passed over whose counting VM did not answer: membership takes as long to find another.
pub const NO_ANSWER_PAUSE: Duration = Duration::from_millis(250);

/// How long a limit is remembered after the last word on it, if it has ended or its upstream is not listed. Late answers
/// arrive within that time.
const MEMORY: Duration = Duration::from_mins(1);

/// Incarnations with an unreadable limit that are remembered, so that each is logged once.
const MAX_UNREADABLE: usize = 1_024;

#[derive(Debug)]
struct Limit {
    known: KnownLimit,
    bucket: Option<Bucket>,
    /// Until when this VM sends nothing there.
    closed_until: Moment,
}

/// Limits of upstreams, by incarnation. Empty unless an upstream names one.
#[derive(Debug, Default)]
pub struct UpstreamLimits {
    limits: FxHashMap<u64, Limit>,
    unreadable: FxHashSet<u64>,
}

impl UpstreamLimits {
    /// Applies what an answer said; returns the change that peers have to know.
    pub fn observe(&mut self, life: u64, statement: Statement) -> Option<LimitChange> {
        if let Some(limit) = self.limits.get_mut(&life) {
            let change = limit.known.apply(statement);
            if matches!(change, Some(LimitChange::Named(_) | LimitChange::Ended)) {
                limit.bucket = None;
            }
            return change;
        }
        let rate = statement.rate?;
        let limit = Limit {
            known: KnownLimit::new(statement),
            bucket: None,
            closed_until: Moment::default(),
        };
        self.limits.insert(life, limit);
        Some(LimitChange::Named(rate))
    }

    /// Applies what a peer knows; returns the change.
    pub fn learn(&mut self, news: &LimitNews, now: Moment) -> Option<LimitChange> {
        self.observe(news.life, news.statement(now))
    }

    /// Records that an answer names a limit that cannot be read; returns whether that is new.
    pub fn record_unreadable(&mut self, life: u64) -> bool {
        if self.unreadable.len() >= MAX_UNREADABLE {
            self.unreadable.clear();
        }
        self.unreadable.insert(life)
    }

    /// The limit of an upstream, if it names one.
    pub fn rate(&self, life: u64) -> Option<RequestRate> {
        self.limits.get(&life)?.known.rate()
    }

    /// All limits that are in force, for a peer.
    pub fn all_news(&self, now: Moment) -> Vec<LimitNews> {
        let lives = self.limits.keys();
        lives
            .filter_map(|life| self.news_in_force(*life, now))
            .collect()
    }

    /// What is known of a limit that is in force.
    pub fn news_in_force(&self, life: u64, now: Moment) -> Option<LimitNews> {
        self.news(life, now).filter(|news| news.rate.is_some())
    }

    /// Whether no limit is known, not even one that has ended.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Number of upstreams that name a limit.
    pub fn count(&self) -> usize {
        let limits = self.limits.values();
        limits.filter(|limit| limit.known.rate().is_some()).count()
    }

    /// What is known of a limit, for a peer.
    pub fn news(&self, life: u64, now: Moment) -> Option<LimitNews> {
        let limit = self.limits.get(&life)?;
        Some(limit.known.news(life, now))
    }

    /// Grants one request, if this VM counts in this place.
    pub fn try_grant(&mut self, life: u64, place: Place, now: Moment) -> Verdict {
        let Some(limit) = self.limits.get_mut(&life) else {
            return Verdict::NotCounting;
        };
        let Some(rate) = limit.known.rate() else {
            return Verdict::Ended(limit.known.news(life, now));
        };
        let named_at = limit.known.named_at();
        let new = || Bucket::new(rate, named_at, now);
        let bucket = limit.bucket.get_or_insert_with(new);
        match bucket.try_take(rate, place, now) {
            Ok(()) => Verdict::Granted,
            Err(wait) => Verdict::Closed(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)),
        }
    }

    /// Gives back a request that this VM granted and that was not sent.
    pub fn give_back(&mut self, life: u64) {
        let limit = self.limits.get_mut(&life);
        if let Some(bucket) = limit.and_then(|limit| limit.bucket.as_mut()) {
            bucket.give_back();
        }
    }

    /// Passes an upstream over until a moment.
    pub fn close(&mut self, life: u64, until: Moment) {
        if let Some(limit) = self.limits.get_mut(&life) {
            limit.closed_until = until;
        }
    }

    /// Until when an upstream is passed over for its limit; `None` if it is not.
    pub fn closed_until(&self, life: u64, now: Moment) -> Option<Moment> {
        let limit = self.limits.get(&life)?;
        let is_closed = limit.known.rate().is_some() && now < limit.closed_until;
        is_closed.then_some(limit.closed_until)
    }

    /// Forgets limits on which nothing was heard for long, of incarnations that are not listed or name none.
    pub fn expire(&mut self, is_listed: impl Fn(u64) -> bool, now: Moment) {
        self.limits.retain(|life, limit| {
            let is_kept = limit.known.rate().is_some() && is_listed(*life);
            is_kept || !limit.known.is_older_than(MEMORY, now)
        });
    }
}
