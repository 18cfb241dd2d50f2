//! The thread that owns the decider.
//!
//! Everything that bears on a decision reaches this thread as a [`Message`] through a bounded
//! ring; no lock guards the decider. The ring is never waited on: a submission that finds it full
//! is overload and is refused as such. Ends of requests have a ring of their own, read first and
//! sized so that it cannot fill up, because a lost end would leave an engine's window booked for
//! good.

mod thread;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use sesamegap_policy::{Decider, Observation, Placement, Refusal, Work};
use sesamegap_wire::peer::{Digest, Warmth};
use sesamegap_wire::{RequestId, UpstreamId};
use std::io;
use std::thread::JoinHandle;
use tokio::sync::{mpsc, oneshot};

use super::clock::Clock;

/// What was decided on one submission.
#[derive(Debug)]
pub enum Verdict {
    /// Send it there, with this priority.
    Send(Placement, u8),
    /// Refuse it.
    Refuse(Refusal),
}

/// A second attempt that may start beside a late first one.
#[derive(Debug)]
pub struct Hedge {
    /// Its id at the engine and in the decider.
    pub twin: RequestId,
    /// Where to.
    pub at: Placement,
    /// Priority in the engine's own batch.
    pub priority: u8,
}

/// What comes back on one submission.
#[derive(Debug)]
pub struct Submitted {
    /// The decision.
    pub verdict: oneshot::Receiver<Verdict>,
    /// A second attempt, if the first one is late.
    pub hedge: oneshot::Receiver<Hedge>,
}

/// To whom a submission's decisions go.
#[derive(Debug)]
pub(super) struct Owed {
    pub verdict: oneshot::Sender<Verdict>,
    pub hedge: oneshot::Sender<Hedge>,
}

/// What the decider thread is told or asked.
#[derive(Debug)]
pub(super) enum Message {
    /// Decide on a request.
    Submit(Box<Work>, Owed),
    /// Take in news.
    Observe(Box<Observation>),
    /// Tell what peers should know.
    Digest(oneshot::Sender<Digest>),
    /// Tell what a starting peer should take over.
    Warmth(oneshot::Sender<Warmth>),
    /// Describe the state.
    Dump(oneshot::Sender<serde_json::Value>),
}

/// The end of a request's stay in the decider.
#[derive(Debug)]
pub(super) enum Ended {
    /// It left its engine, with a whole answer or not.
    Finished(RequestId, bool),
    /// Its caller left while it was queued.
    Cancelled(RequestId),
    /// News that must not be lost, whatever the load.
    News(Box<Observation>),
    /// No request at all: the thread is to stop.
    Stop,
}

/// The ring before the decider is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overload;

/// Sends messages to the decider thread.
#[derive(Debug, Clone)]
pub struct DeciderHandle {
    ring: Sender<Message>,
    ends: Sender<Ended>,
}

/// The decider thread itself, for its owner.
#[derive(Debug)]
pub struct DeciderThread {
    join: JoinHandle<()>,
}

impl DeciderThread {
    /// Waits until the thread has ended.
    pub fn join(self) {
        if self.join.join().is_err() {
            tracing::error!(
                event = crate::events::DECIDER_PANICKED.number,
                "decider panicked"
            );
        }
    }
}

/// How many ends may wait for each flight: its present one and that of a former attempt.
const ENDS_PER_FLIGHT: usize = 2;

/// Room for news that must not be lost; settings and fleet change at most some times a second.
const NEWS: usize = 64;

/// Starts the thread; engines whose cache must be listed are named on `lists`.
///
/// # Errors
/// If the operating system gives no thread.
pub fn start(
    decider: Decider,
    clock: Clock,
    bounds: &crate::config::Bounds,
    lists: mpsc::Sender<UpstreamId>,
) -> io::Result<(DeciderHandle, DeciderThread)> {
    let (ring, messages) = bounded(bounds.ring);
    let (ends, ended) = bounded(bounds.flights * ENDS_PER_FLIGHT + NEWS);
    let mut owner = thread::Owner::new(decider, clock, lists);
    let rings = thread::Rings { messages, ended };
    let join = std::thread::Builder::new()
        .name("decider".into())
        .spawn(move || owner.run(&rings))?;
    Ok((DeciderHandle { ring, ends }, DeciderThread { join }))
}

impl DeciderHandle {
    /// Submits a request; what is decided comes back.
    ///
    /// # Errors
    /// If the ring is full: nothing of the request was taken in.
    pub fn submit(&self, work: Work) -> Result<Submitted, Overload> {
        let (to_verdict, verdict) = oneshot::channel();
        let (to_hedge, hedge) = oneshot::channel();
        let owed = Owed {
            verdict: to_verdict,
            hedge: to_hedge,
        };
        let message = Message::Submit(Box::new(work), owed);
        self.ring.try_send(message).map_err(|_| Overload)?;
        Ok(Submitted { verdict, hedge })
    }

    /// Passes on news; under overload it is dropped, for newer news follows.
    pub fn observe(&self, news: Observation) {
        if self
            .ring
            .try_send(Message::Observe(Box::new(news)))
            .is_err()
        {
            tracing::debug!(
                event = crate::events::RING_FULL.number,
                "observation dropped"
            );
        }
    }

    /// Passes on news that no later news makes up for.
    pub fn tell(&self, news: Observation) {
        self.end(Ended::News(Box::new(news)));
    }

    /// Ends a booking.
    pub fn finished(&self, request: RequestId, whole: bool) {
        self.end(Ended::Finished(request, whole));
    }

    /// Withdraws a queued request.
    pub fn cancelled(&self, request: RequestId) {
        self.end(Ended::Cancelled(request));
    }

    /// Tells the thread to stop.
    pub fn stop(&self) {
        self.end(Ended::Stop);
    }

    /// Asks for the digest for peers.
    pub async fn digest(&self) -> Option<Digest> {
        self.ask(Message::Digest).await
    }

    /// Asks for what a starting peer should take over.
    pub async fn warmth(&self) -> Option<Warmth> {
        self.ask(Message::Warmth).await
    }

    /// Asks for a description of the state.
    pub async fn dump(&self) -> Option<serde_json::Value> {
        self.ask(Message::Dump).await
    }

    /// Messages waiting in the ring.
    pub fn waiting(&self) -> usize {
        self.ring.len()
    }

    async fn ask<T>(&self, make: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (to, from) = oneshot::channel();
        self.ring.try_send(make(to)).ok()?;
        from.await.ok()
    }

    fn end(&self, ended: Ended) {
        // A thread that has stopped needs to hear of no end.
        if let Err(TrySendError::Full(_)) = self.ends.try_send(ended) {
            tracing::error!(
                event = crate::events::END_LOST.number,
                "end of a request lost"
            );
        }
    }
}

pub(super) type Messages = Receiver<Message>;
pub(super) type Ends = Receiver<Ended>;
