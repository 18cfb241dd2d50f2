//! What a VM knows of an upstream's limit.

use super::LimitNews;
use sesamegap_wire::{Moment, RequestRate};
use std::time::Duration;

/// Part by which a limit has to change for peers to be told. Limits drift with each answer; the allowance for faults covers
/// what peers do not know.
const NOTABLE_CHANGE: f64 = 0.1;

/// What an answer said of its upstream's limit.
///
/// It was given at some time between the two moments.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Statement {
    /// The limit; `None` if the answer named none.
    pub rate: Option<RequestRate>,
    /// When the request was sent.
    pub sent: Moment,
    /// When the head of the answer arrived.
    pub received: Moment,
}

/// How a statement changed what is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The upstream names a limit, or names one again.
    Named(RequestRate),
    /// The limit differs notably from the one that peers were told.
    Changed(RequestRate),
    /// The upstream names none any more.
    Ended,
}

/// What is known of a limit that was named.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownLimit {
    newest: Statement,
    /// The limit of which peers were told last.
    told: Option<RequestRate>,
    /// When an answer first named a limit, or named one again after an end.
    named_at: Moment,
}

impl KnownLimit {
    /// The first statement that names a limit.
    pub(super) fn new(first: Statement) -> Self {
        Self {
            newest: first,
            told: first.rate,
            named_at: first.received,
        }
    }

    /// The limit, if it has not ended.
    pub(super) fn rate(&self) -> Option<RequestRate> {
        self.newest.rate
    }

    /// When the limit was named first.
    pub(super) fn named_at(&self) -> Moment {
        self.named_at
    }

    /// Applies a statement; returns the change that peers have to know.
    ///
    /// Answers overtake each other. A late one must neither bring an earlier limit back nor end one: an end counts only if
    /// its request was sent after the last answer that named the limit had arrived. What remains in doubt keeps the limit.
    pub(super) fn apply(&mut self, statement: Statement) -> Option<LimitChange> {
        match (self.newest.rate, statement.rate) {
            (Some(_), Some(rate)) => self.update(rate, statement),
            (Some(_), None) if statement.sent >= self.newest.received => {
                self.newest = statement;
                self.told = None;
                Some(LimitChange::Ended)
            }
            (None, Some(rate)) if statement.sent >= self.newest.sent => {
                self.newest = statement;
                self.told = Some(rate);
                self.named_at = statement.received;
                Some(LimitChange::Named(rate))
            }
            _ => None,
        }
    }

    fn update(&mut self, rate: RequestRate, statement: Statement) -> Option<LimitChange> {
        if statement.sent < self.newest.sent {
            return None;
        }
        let received = self.newest.received.max(statement.received);
        self.newest = Statement {
            received,
            ..statement
        };
        let told = self.told.map_or(0.0, RequestRate::per_second);
        let difference = (rate.per_second() - told).abs();
        if difference <= told * NOTABLE_CHANGE {
            return None;
        }
        self.told = Some(rate);
        Some(LimitChange::Changed(rate))
    }

    /// The newest statement, for a peer.
    pub(super) fn news(&self, life: u64, now: Moment) -> LimitNews {
        LimitNews::new(life, self.newest, now)
    }

    /// Whether nothing was heard for a time.
    pub(super) fn is_older_than(&self, age: Duration, now: Moment) -> bool {
        now.since(self.newest.received) >= age
    }
}
