//! Admission of prompts under bursts, and when the deciding VM fails.

mod desk;
mod replay;
mod room;
mod world;

use sesamegap_policy::admission::{Ask, Backlog};
use sesamegap_wire::Moment;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(ms: u64) -> Moment {
    Moment(ms * 1_000)
}

/// A background prompt beside a class with an objective of 400 ms.
fn background(key: u64) -> Ask {
    Ask {
        key,
        priority: 2,
        tokens: 9_000,
        objective: ms(1_200),
        urgent_objective: Some(ms(400)),
        waited: Duration::ZERO,
        left: ms(5_000),
        excess: false,
        alone: false,
    }
}

/// A short prompt of the most urgent class.
fn urgent(key: u64) -> Ask {
    Ask {
        key,
        priority: 0,
        tokens: 800,
        objective: ms(400),
        urgent_objective: None,
        waited: Duration::ZERO,
        left: ms(15_000),
        excess: false,
        alone: false,
    }
}

/// An engine with this many unread tokens, of which `before` are at least as urgent as the asking prompt.
fn engine(unread: u64, before: u64) -> Backlog {
    Backlog {
        unread,
        before,
        own: 0,
        running: 0,
        urgent: 0,
        slots: 16,
        rate: 30.0,
    }
}
