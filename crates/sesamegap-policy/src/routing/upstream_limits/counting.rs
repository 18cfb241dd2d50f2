//! Which VM counts the requests at a limited upstream, and how many it grants.

use sesamegap_wire::{Moment, RequestRate};
use std::time::Duration;

/// Part of a limit that a VM grants, by its place.
///
/// Views of the membership differ for seconds, so VMs in different places may count at the same time. The sum stays below
/// the one and a half times the limit that upstreams bear, with the time that a permit lasts added to any span of 4 s.
const SHARES: [f64; PLACES] = [1.0, 0.25, 0.1];

/// Requests that may come at once, by place; below the 5 that upstreams bear beyond the rate.
const BURSTS: [f64; PLACES] = [2.0, 1.0, 1.0];

/// Number of places in which a VM counts. A VM with more absent VMs before it is likely cut off itself.
const PLACES: usize = 3;

/// How long a VM that is dead keeps its place: it may be cut off and count on.
pub const ABSENCE: Duration = Duration::from_secs(10);

/// Time after a limit is named for which the upstream gets nothing. What VMs sent before they knew counts, too: with requests
/// that take a second, most of what is allowed for a span that begins before.
const DEBT: Duration = Duration::from_secs(2);

/// Largest such debt, in requests: more than an upstream gets in that time. A limit far above what it gets closes nothing.
const MAX_DEBT: f64 = 100.0;

/// Time after which an upstream that takes fewer requests gets one all the same. Only its answers tell that the limit has
/// ended.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);

/// Longest time until a VM that got no permit asks again.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Whether a VM may count, as another VM sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It is alive, or presumed so.
    Alive,
    /// It did not answer, and may count nevertheless.
    Absent,
    /// It does not count: it stops, or is dead for long.
    Gone,
}

/// The place of a VM among those that may count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place(usize);

impl Place {
    /// The place of a VM that is first in the ranking.
    pub const FIRST: Self = Self(0);

    /// The place behind a number of others; `None` if a VM in it does not count.
    pub fn behind(others: usize) -> Option<Self> {
        (others < PLACES).then_some(Self(others))
    }

    fn share(self) -> f64 {
        SHARES[self.0]
    }

    fn burst(self) -> f64 {
        BURSTS[self.0]
    }
}

/// The VM that counts, as one VM sees it; `A` is the address of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Counter<A> {
    /// This VM, in this place.
    Here(Place),
    /// A peer.
    At(A),
    /// No VM that this one can ask.
    Nobody,
}

/// The VM that counts the requests at an upstream: the first in the ranking of those that are alive. This VM is among them,
/// with its own rank, if it `counts`.
pub fn counter<A>(
    own_rank: u64,
    counts: bool,
    peers: impl Iterator<Item = (u64, Standing, A)>,
) -> Counter<A> {
    let mut absent = 0;
    let mut first: Option<(u64, A)> = None;
    for (rank, standing, addr) in peers {
        let is_behind = counts && rank < own_rank;
        let is_first = first.as_ref().is_none_or(|(best, _)| rank > *best);
        match standing {
            Standing::Absent if !is_behind => absent += 1,
            Standing::Alive if !is_behind && is_first => first = Some((rank, addr)),
            _ => {}
        }
    }
    match first {
        Some((_, addr)) => Counter::At(addr),
        None if counts => Place::behind(absent).map_or(Counter::Nobody, Counter::Here),
        None => Counter::Nobody,
    }
}

/// Requests that one VM grants for an upstream.
///
/// The count begins with nothing, or with a debt if the limit is new: what others sent before is not known.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    level: f64,
    filled_at: Moment,
    granted_at: Moment,
    /// When the last VM that got nothing may ask again.
    next_return: Moment,
}

impl Bucket {
    /// A bucket for a limit that was named at `named_at`.
    pub(super) fn new(rate: RequestRate, named_at: Moment, now: Moment) -> Self {
        let owed = DEBT.saturating_sub(now.since(named_at));
        let debt = (rate.per_second() * owed.as_secs_f64()).min(MAX_DEBT);
        Self {
            level: -debt,
            filled_at: now,
            granted_at: now,
            next_return: now,
        }
    }

    /// Takes one request out.
    ///
    /// # Errors
    /// Returns the time after which to ask again; each that asks gets a later one, so that they do not return together.
    pub(super) fn try_take(
        &mut self,
        rate: RequestRate,
        place: Place,
        now: Moment,
    ) -> Result<(), Duration> {
        let rate = rate.per_second() * place.share();
        let gained = now.since(self.filled_at).as_secs_f64() * rate;
        self.level = (self.level + gained).min(place.burst());
        self.filled_at = now;
        let is_trial_due = place == Place::FIRST && now.since(self.granted_at) >= TRIAL_INTERVAL;
        if self.level >= 1.0 || is_trial_due {
            self.level = (self.level - 1.0).max(0.0);
            self.granted_at = now;
            return Ok(());
        }
        let at =
            (now + seconds((1.0 - self.level) / rate)).max(self.next_return + seconds(1.0 / rate));
        self.next_return = at.min(now + MAX_WAIT);
        Err(self.next_return.since(now))
    }

    /// Puts a request back that was not sent.
    pub(super) fn give_back(&mut self) {
        self.level += 1.0;
    }
}

fn seconds(secs: f64) -> Duration {
    Duration::try_from_secs_f64(secs).map_or(MAX_WAIT, |time| time.min(MAX_WAIT))
}
