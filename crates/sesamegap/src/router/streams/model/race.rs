//! Two attempts at one request beside each other.

use super::flight::Flight;
use super::opening::{self, Opened, Unopened};
use crate::router::deciding::Hedge;
use crate::router::streams::booking::Booking;
use sesamegap_policy::Placement;
use sesamegap_upstream::Engine;
use sesamegap_wire::RequestId;
use std::sync::Arc;
use tokio::sync::oneshot;

/// A second attempt beside a late first one.
pub(super) struct Twin {
    pub(super) id: RequestId,
    pub(super) at: Placement,
    pub(super) priority: u8,
    pub(super) engine: Arc<dyn Engine>,
    pub(super) booking: Booking,
}

impl Flight {
    /// Waits for the first token of the first attempt, or of a second one that starts meanwhile.
    ///
    /// A second attempt may have run, also if it gave nothing and the first one certainly did not.
    pub(super) async fn race(
        &mut self,
        first: impl Future<Output = Result<Opened, Unopened>>,
        hedge: oneshot::Receiver<Hedge>,
    ) -> (Result<Opened, Unopened>, Option<Twin>) {
        tokio::pin!(first);
        let hedge = tokio::select! {
            opened = &mut first => return (opened, None),
            Ok(hedge) = hedge => hedge,
        };
        let Some(twin) = self.twin(hedge) else {
            return (first.await, None);
        };
        let dispatch = self.dispatch(&twin.id, &twin.at, twin.priority);
        self.hedged = true;
        let decider = self.core.decider.clone();
        let second = opening::open(Arc::clone(&twin.engine), dispatch, self.limits(), decider);
        tokio::pin!(second);
        tokio::select! {
            opened = &mut first => match opened {
                Ok(opened) => (Ok(opened), None),
                Err(failed) => match second.await {
                    Ok(opened) => (Ok(opened), Some(twin)),
                    Err(_) => (Err(failed), None),
                },
            },
            opened = &mut second => match opened {
                Ok(opened) => (Ok(opened), Some(twin)),
                Err(_) => (first.await, None),
            },
        }
    }

    pub(super) fn twin(&self, hedge: Hedge) -> Option<Twin> {
        let mut booking = Booking::new(&self.core, &hedge.id, self.attempt);
        let engine = self.core.fleet.engine(&hedge.at.engine)?;
        booking.sent(&engine);
        self.core.telemetry.hedged();
        Some(Twin {
            id: hedge.id,
            at: hedge.at,
            priority: hedge.priority,
            engine,
            booking,
        })
    }
}
