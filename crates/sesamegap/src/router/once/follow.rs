//! Follows the claims in the log.

use crate::router::follow_log::{self, Source};
use crate::router::lock;
use sesamegap_platform::Record;
use sesamegap_platform::log::streams;
use sesamegap_policy::agreement::claims::{ClaimRecord, Claimant, Claims, Step};
use sesamegap_wire::{Moment, Offset, codec};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// The fold of claims, shared with those who ask who holds a key.
#[derive(Debug, Clone)]
pub struct SharedClaims {
    fold: Arc<Mutex<Claims>>,
    moved: watch::Sender<Offset>,
}

impl SharedClaims {
    /// Starts before the oldest record that the log keeps.
    pub fn new(retention: Duration) -> Self {
        Self {
            fold: Arc::new(Mutex::new(Claims::new(retention))),
            moved: watch::Sender::new(Offset(0)),
        }
    }

    /// Tells when the fold moves from now on.
    pub fn subscribe(&self) -> watch::Receiver<Offset> {
        self.moved.subscribe()
    }

    /// Lets a claimant look at the fold.
    pub fn look(&self, claimant: &mut Claimant, now: Moment) -> Step {
        claimant.poll(&lock(&self.fold), now)
    }

    /// Looks at the fold.
    pub fn with<T>(&self, look: impl FnOnce(&Claims) -> T) -> T {
        look(&lock(&self.fold))
    }

    /// Number of keys held.
    pub fn len(&self) -> usize {
        self.with(Claims::len)
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn change(&self, change: impl FnOnce(&mut Claims)) {
        let next = {
            let mut fold = lock(&self.fold);
            change(&mut fold);
            fold.next()
        };
        self.moved.send_replace(next);
    }
}

impl follow_log::Reader for SharedClaims {
    fn take(&mut self, records: &[Record]) -> Option<Offset> {
        self.change(|fold| {
            for record in records {
                // A record that is no claim is no reason to stop: every router skips it alike.
                let claim = codec::decode::<ClaimRecord>(&record.body).ok();
                fold.apply(record.offset, record.time_ms, claim.as_ref());
            }
        });
        None
    }

    fn expired(&mut self, oldest: Offset) {
        self.change(|fold| fold.skip(oldest));
    }
}

/// Where claims are read.
pub fn source() -> Source {
    Source::new(streams::claims())
}
