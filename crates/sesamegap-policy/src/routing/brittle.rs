//! Sends to upstreams that fall over when they have to reject too much.
//!
//! In an overload every VM sees a place at an upstream become free at about the same time and sends a request there; all
//! but one are rejected. What VMs know of each other's requests is older than a request of a plain service lasts, so no
//! rule that each follows by itself keeps rejections low without leaving places empty. So while the upstreams of a
//! service say that they are brittle, all requests for one of them pass one VM, the first in the ranking of the
//! upstream, which counts them exactly and turns away what the upstream has no room for.

use sesamegap_wire::Moment;
use std::time::Duration;

/// How long a service counts as brittle after its last answer that said so.
const MEMORY: Duration = Duration::from_secs(5);

/// Time without a rejection after which one more request is let through at the same time. Above the second over which
/// rejections count, so that an upstream that bears a single one stays up.
const RAISE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time without any answer from which an upstream counts as silent.
const MAX_PAUSE: Duration = Duration::from_millis(150);

/// How long a silent upstream may hold a request that its VM has given up: for as long as it may be silent.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Part of an upstream's slots with which the limit begins, as a divisor.
const FIRST_LIMIT_DIVISOR: u32 = 4;

/// Time for which a VM that begins to pass requests also counts those that it only hears of: they may have passed the
/// VM before it.
const WARM_UP: Duration = Duration::from_secs(1);

/// What this VM believes of the upstreams of one service, since one said that it is brittle.
#[derive(Debug, Clone, Copy)]
pub struct Brittleness {
    /// Rejections a second that an upstream bears.
    pub bound: u32,
    /// When an upstream last said so.
    pub said_at: Moment,
}

impl Brittleness {
    /// Whether the last answer that said so is recent.
    pub fn is_current(&self, now: Moment) -> bool {
        now.since(self.said_at) < MEMORY
    }
}

/// Requests that one VM lets through to a brittle upstream.
///
/// An upstream may have less room than slots, as an engine whose memory is full. So the limit begins low, rises with the
/// requests that are taken in, and after a rejection by one in each [`RAISE_INTERVAL`] only.
#[derive(Debug, Default)]
pub struct Gate {
    passing: u32,
    /// Until when requests that ended without an answer may still be there.
    unanswered: Vec<Moment>,
    /// Requests that may be there at the same time; zero before the first one.
    limit: u32,
    /// When the limit was last lowered, or raised after that.
    lowered_at: Option<Moment>,
    warm_from: Moment,
    passed_at: Moment,
}

impl Gate {
    /// Lets a request through if the upstream has room, until [`Gate::leave`]; `heard` is the number of requests there
    /// that this VM has heard of.
    #[must_use]
    pub fn try_pass(&mut self, slots: u32, heard: u32, now: Moment) -> bool {
        if now.since(self.passed_at) >= WARM_UP {
            self.warm_from = now + WARM_UP;
        }
        self.unanswered.retain(|until| now < *until);
        let unanswered = u32::try_from(self.unanswered.len()).unwrap_or(u32::MAX);
        let mut busy = self.passing.saturating_add(unanswered);
        if now < self.warm_from {
            busy = busy.max(heard);
        }
        if self.limit == 0 {
            self.limit = busy.max(slots / FIRST_LIMIT_DIVISOR).saturating_add(1);
        }
        self.raise(now);
        let has_room = busy < self.limit.min(slots);
        if has_room {
            self.passing += 1;
            self.passed_at = now;
        }
        has_room
    }

    /// Records that a request that was let through has ended.
    pub fn leave(&mut self) {
        self.passing = self.passing.saturating_sub(1);
    }

    /// Records that a request ended without an answer, from an upstream of which nothing has been heard for `silent`.
    ///
    /// An upstream that falls silent for a second and goes on finds all that was sent meanwhile, and would reject it.
    pub fn leave_unanswered(&mut self, silent: Duration, now: Moment) {
        self.leave();
        if silent >= MAX_PAUSE {
            self.unanswered.push(now + SILENCE);
        }
    }

    /// Records that the upstream took a request in.
    pub fn record_accepted(&mut self) {
        if self.lowered_at.is_none() && self.passing >= self.limit {
            self.limit = self.limit.saturating_add(1);
        }
    }

    /// Records that the upstream had no room for a request, which has not left yet.
    pub fn record_rejection(&mut self, now: Moment) {
        let others = self.passing.saturating_sub(1);
        self.limit = self.limit.min(others.max(1));
        self.lowered_at = Some(now);
    }

    fn raise(&mut self, now: Moment) {
        let Some(at) = self.lowered_at else {
            return;
        };
        // A limit that is not used says nothing of the room above it.
        if now.since(at) >= RAISE_INTERVAL && self.passing >= self.limit {
            self.limit = self.limit.saturating_add(1);
            self.lowered_at = Some(now);
        }
    }
}
