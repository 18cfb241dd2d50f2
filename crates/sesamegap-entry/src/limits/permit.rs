//! The permit to send one request to an upstream.

use super::shared::SharedLimits;
use sesamegap_wire::Moment;

/// Permits one request to be sent. Dropping it unused gives the request back if this VM counted it.
#[derive(Debug)]
pub struct SendPermit {
    /// Until when it holds; always, if the upstream names no limit.
    until: Option<Moment>,
    counted: Option<Counted>,
}

/// A request that this VM counts at an upstream.
#[derive(Debug)]
struct Counted {
    limits: SharedLimits,
    life: u64,
}

impl SendPermit {
    /// For an upstream without a limit.
    pub(super) fn unlimited() -> Self {
        Self {
            until: None,
            counted: None,
        }
    }

    /// From a peer that counts. It is lost if it is not used, as the peer is not told.
    pub(super) fn granted_by_peer(until: Moment) -> Self {
        Self {
            until: Some(until),
            counted: None,
        }
    }

    /// From this VM, which counts.
    pub(super) fn granted_here(until: Moment, limits: SharedLimits, life: u64) -> Self {
        Self {
            until: Some(until),
            counted: Some(Counted { limits, life }),
        }
    }

    /// Whether a request may still be sent with it.
    pub fn is_valid(&self, now: Moment) -> bool {
        self.until.is_none_or(|until| now < until)
    }

    /// Uses it up: from here on the upstream may get the request.
    pub fn use_up(mut self) {
        self.counted = None;
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if let Some(counted) = &self.counted {
            counted.limits.lock().give_back(counted.life);
        }
    }
}
