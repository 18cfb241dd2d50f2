//! Hedging: a second attempt at a request, concurrent with a late first one.

use super::flight::RequestDriver;
use super::opening::{self, OpenError, Opened};
use crate::router::deciding::Hedge;
use crate::router::streams::booking::Booking;
use sesamegap_policy::Placement;
use sesamegap_upstream::Engine;
use sesamegap_wire::RequestId;
use std::sync::Arc;
use tokio::sync::oneshot;

/// A second attempt, concurrent with a late first one.
pub(super) struct HedgeAttempt {
    pub(super) id: RequestId,
    pub(super) at: Placement,
    pub(super) priority: u8,
    pub(super) engine: Arc<dyn Engine>,
    pub(super) booking: Booking,
}

impl RequestDriver {
    /// Waits for the first token of the first attempt or of a hedge that starts meanwhile.
    ///
    /// `hedged` records that a hedge was started: it may have run even if it produced nothing and
    /// the first attempt certainly did not run.
    pub(super) async fn race(
        &mut self,
        first: impl Future<Output = Result<Opened, OpenError>>,
        hedge: oneshot::Receiver<Hedge>,
    ) -> (Result<Opened, OpenError>, Option<HedgeAttempt>) {
        tokio::pin!(first);
        let hedge = tokio::select! {
            opened = &mut first => return (opened, None),
            Ok(hedge) = hedge => hedge,
        };
        let Some(hedge_attempt) = self.start_hedge(hedge) else {
            return (first.await, None);
        };
        let dispatch = self.dispatch(&hedge_attempt.id, &hedge_attempt.at, hedge_attempt.priority);
        self.hedged = true;
        let decider = self.core.decider.clone();
        let second = opening::open(
            Arc::clone(&hedge_attempt.engine),
            dispatch,
            self.timeouts(),
            decider,
        );
        tokio::pin!(second);
        tokio::select! {
            opened = &mut first => match opened {
                Ok(opened) => (Ok(opened), None),
                Err(failed) => match second.await {
                    Ok(opened) => (Ok(opened), Some(hedge_attempt)),
                    Err(_) => (Err(failed), None),
                },
            },
            opened = &mut second => match opened {
                Ok(opened) => (Ok(opened), Some(hedge_attempt)),
                Err(_) => (first.await, None),
            },
        }
    }

    pub(super) fn start_hedge(&self, hedge: Hedge) -> Option<HedgeAttempt> {
        let id = hedge.booking.transfer();
        let mut booking = Booking::new(&self.core, &id, self.attempt);
        let engine = self.core.fleet.engine(&hedge.at.engine)?;
        booking.sent(&engine);
        self.core.telemetry.hedged();
        Some(HedgeAttempt {
            id,
            at: hedge.at,
            priority: hedge.priority,
            engine,
            booking,
        })
    }
}
