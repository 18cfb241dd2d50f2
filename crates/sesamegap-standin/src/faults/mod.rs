//! The failures that a stand-in can be told to bring about.
//!
//! A fault is switched on for the next occasion only, which suits tests, or for a span of time,
//! which suits a demonstration and a soak. A stand-in asks its switches at
//! each occasion.

mod kind;

pub use kind::{Fault, FaultError};

use sesamegap_wire::Seq;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// For how long a fault is on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Span {
    /// For the next occasion only.
    Once,
    /// For a time.
    For(Duration),
}

/// A fault to bring about.
#[derive(Debug, Clone, Copy)]
pub struct Hit {
    /// What goes wrong.
    pub fault: Fault,
    /// For how long.
    pub span: Span,
    /// At which token of an answer, for faults of streams; without it, at a place that follows
    /// from the request.
    pub at: Option<Seq>,
}

impl Hit {
    /// A fault on the next occasion.
    pub fn once(fault: Fault) -> Self {
        let span = Span::Once;
        Self {
            fault,
            span,
            at: None,
        }
    }

    /// A fault for a time.
    pub fn lasting(fault: Fault, time: Duration) -> Self {
        let span = Span::For(time);
        Self {
            fault,
            span,
            at: None,
        }
    }

    /// The same fault at a certain token.
    #[must_use]
    pub fn at(mut self, seq: u64) -> Self {
        self.at = Some(Seq(seq));
        self
    }
}

#[derive(Debug, Clone, Copy)]
struct On {
    hit: Hit,
    since: Instant,
}

/// The faults that are on at one stand-in.
#[derive(Debug, Default)]
pub(crate) struct Switches(Mutex<HashMap<Fault, On>>);

impl Switches {
    /// Switches a fault on.
    pub(crate) fn set(&self, hit: Hit) {
        let since = Instant::now();
        let mut on = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        on.insert(hit.fault, On { hit, since });
    }

    /// Asks whether this occasion is hit, and uses up a fault that was on for once.
    pub(crate) fn take(&self, fault: Fault) -> Option<Hit> {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let on = *all.get(&fault)?;
        let lasts = match on.hit.span {
            Span::Once => false,
            Span::For(time) => on.since.elapsed() < time,
        };
        if !lasts {
            all.remove(&fault);
        }
        (lasts || on.hit.span == Span::Once).then_some(on.hit)
    }
}
