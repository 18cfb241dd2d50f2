//! Whether the store of the fleet list is in reach.

use sesamegap_wire::Moment;
use std::time::Duration;

/// How long another VM's word shows that the store answers: with eight readers one comes several times
/// a second.
const TOLD: Duration = Duration::from_secs(1);

/// What is known of the store's reach.
///
/// A store that turns this VM away and serves others is not away: upstreams reach it too.
#[derive(Debug, Clone, Copy, Default)]
pub struct Contact {
    away: bool,
    back: Option<Moment>,
    told: Option<Moment>,
}

impl Contact {
    /// Notes whether the store answers this VM.
    pub fn store(&mut self, answers: bool, now: Moment) {
        let told = self.told.is_some_and(|at| now.since(at) < TOLD);
        if !answers {
            self.away |= !told;
        } else if std::mem::take(&mut self.away) {
            self.back = Some(now);
        }
    }

    /// Notes that the store was restored from a copy, which lacks the newest entries until they are written again.
    pub fn restored(&mut self, now: Moment) {
        self.away = false;
        self.back = Some(now);
    }

    /// Notes that the store answers another VM.
    pub fn told(&mut self, now: Moment) {
        self.told = Some(now);
        self.store(true, now);
    }

    /// Whether nobody reads the store.
    pub fn is_away(&self) -> bool {
        self.away
    }

    /// Whether entries that are missing may have lapsed for want of the store.
    pub(super) fn excuses(&self, lapse: Duration, now: Moment) -> bool {
        self.away || self.back.is_some_and(|at| now.since(at) < lapse)
    }

    /// Whether the store was in reach since a moment, and for at least this long.
    pub(super) fn lasted(&self, since: Moment, span: Duration, now: Moment) -> bool {
        let since = since.max(self.back.unwrap_or_default());
        !self.away && now.since(since) >= span
    }
}
