//! The thread that owns the decider, and the handle for talking to it.
//!
//! Every input to a decision is sent to this thread as a [`Message`] over a bounded queue, so the
//! decider needs no lock. Senders never block on the queue: a submission that finds it full is
//! rejected with [`Overload`]. The ends of requests go through a separate queue, which is read
//! first and sized so that it does not fill up, because losing one would leave capacity of an
//! engine's window booked forever.

mod thread;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use sesamegap_policy::{Decider, Observation, Placement, Refusal, Work};
use sesamegap_wire::peer::{Digest, Warmth};
use sesamegap_wire::{RequestId, UpstreamId};
use std::io;
use std::thread::JoinHandle;
use tokio::sync::{mpsc, oneshot};

use super::clock::Clock;

/// The decision on one submission.
#[derive(Debug)]
pub enum Verdict {
    /// Send the request to this placement with this priority.
    Send(Placement, u8),
    /// Refuse the request.
    Refuse(Refusal),
}

/// A second, concurrent attempt that may start when the first token of the first one is late.
///
/// The first attempt may answer, or the request may end, while the hedge is still in its channel. It is
/// then dropped there, and its booking releases itself.
#[derive(Debug)]
pub struct Hedge {
    /// Where to send the second attempt.
    pub at: Placement,
    /// Priority in the engine's batch.
    pub priority: u8,
    /// Its booking in the decider.
    pub booking: HedgeBooking,
}

/// The decider's booking of a hedge that was not started; dropping it releases the booking.
#[derive(Debug)]
pub struct HedgeBooking {
    /// Id of the second attempt at the engine and in the decider.
    id: RequestId,
    controls: Sender<ControlMessage>,
    transferred: bool,
}

impl HedgeBooking {
    /// Leaves the release of the booking to the caller; returns the id of the attempt.
    pub fn transfer(mut self) -> RequestId {
        self.transferred = true;
        self.id.clone()
    }
}

impl Drop for HedgeBooking {
    fn drop(&mut self) {
        if !self.transferred {
            let message = ControlMessage::Finished(self.id.clone(), false);
            send_control(&self.controls, message);
        }
    }
}

fn send_control(controls: &Sender<ControlMessage>, message: ControlMessage) {
    // A stopped thread no longer needs the message, so only a full queue is an error.
    if let Err(TrySendError::Full(_)) = controls.try_send(message) {
        tracing::error!(
            event = crate::events::END_LOST.number,
            "decider control queue is full; message lost"
        );
    }
}

/// Receivers for the results of one submission.
#[derive(Debug)]
pub struct Submitted {
    /// The decision.
    pub verdict: oneshot::Receiver<Verdict>,
    /// The hedge, if the first attempt is late.
    pub hedge: oneshot::Receiver<Hedge>,
}

/// Senders for the results of one submission.
#[derive(Debug)]
pub(super) struct ReplyChannels {
    pub verdict: oneshot::Sender<Verdict>,
    pub hedge: oneshot::Sender<Hedge>,
}

/// A message to the decider thread that may be rejected under overload.
#[derive(Debug)]
pub(super) enum Message {
    /// Decide on a request.
    Submit(Box<Work>, ReplyChannels),
    /// Update the decider's state.
    Observe(Box<Observation>),
    /// Return the digest to send to peers.
    Digest(oneshot::Sender<Digest>),
    /// Return the state that a starting peer takes over.
    Warmth(oneshot::Sender<Warmth>),
    /// Return a JSON description of the state.
    Dump(oneshot::Sender<serde_json::Value>),
}

/// A message to the decider thread that must not be lost, mostly the end of a request.
#[derive(Debug)]
pub(super) enum ControlMessage {
    /// The request left its engine; the flag says whether its answer is complete.
    Finished(RequestId, bool),
    /// The request's caller disconnected while it was queued.
    Cancelled(RequestId),
    /// An observation that must be delivered even under overload.
    Observe(Box<Observation>),
    /// Stop the thread.
    Stop,
}

/// The decider's message queue is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overload;

/// Sends messages to the decider thread.
#[derive(Debug, Clone)]
pub struct DeciderHandle {
    queue: Sender<Message>,
    controls: Sender<ControlMessage>,
}

/// Join handle of the decider thread.
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
                "decider thread panicked"
            );
        }
    }
}

/// Control messages that may be queued per request in flight: one for its current attempt and one
/// for an earlier attempt.
const CONTROLS_PER_REQUEST: usize = 2;

/// Extra queue capacity for observations that must not be lost. Settings and fleet change at most a
/// few times a second.
const EXTRA_CONTROLS: usize = 64;

/// Starts the decider thread. The ids of engines whose cache must be listed are sent on
/// `list_requests`.
///
/// # Errors
/// If the operating system cannot create the thread.
pub fn start(
    decider: Decider,
    clock: Clock,
    bounds: &crate::config::Bounds,
    list_requests: mpsc::Sender<UpstreamId>,
) -> io::Result<(DeciderHandle, DeciderThread)> {
    let (queue, messages) = bounded(bounds.ring);
    let (controls, control_receiver) =
        bounded(bounds.flights * CONTROLS_PER_REQUEST + EXTRA_CONTROLS);
    let mut decider_loop =
        thread::DeciderLoop::new(decider, clock, list_requests, controls.clone());
    let queues = thread::Queues {
        messages,
        controls: control_receiver,
    };
    let join = std::thread::Builder::new()
        .name("decider".into())
        .spawn(move || decider_loop.run(&queues))?;
    Ok((DeciderHandle { queue, controls }, DeciderThread { join }))
}

impl DeciderHandle {
    /// Submits a request and returns the receivers for its decisions.
    ///
    /// # Errors
    /// If the queue is full; the decider then keeps nothing of the request.
    pub fn submit(&self, work: Work) -> Result<Submitted, Overload> {
        let (to_verdict, verdict) = oneshot::channel();
        let (to_hedge, hedge) = oneshot::channel();
        let replies = ReplyChannels {
            verdict: to_verdict,
            hedge: to_hedge,
        };
        let message = Message::Submit(Box::new(work), replies);
        self.queue.try_send(message).map_err(|_| Overload)?;
        Ok(Submitted { verdict, hedge })
    }

    /// Sends an observation. It is dropped when the queue is full, because a newer one will follow.
    pub fn observe(&self, observation: Observation) {
        if self
            .queue
            .try_send(Message::Observe(Box::new(observation)))
            .is_err()
        {
            tracing::debug!(
                event = crate::events::RING_FULL.number,
                "decider queue is full or closed; observation dropped"
            );
        }
    }

    /// Sends an observation that must not be dropped because no later one supersedes it.
    pub fn observe_reliably(&self, observation: Observation) {
        send_control(
            &self.controls,
            ControlMessage::Observe(Box::new(observation)),
        );
    }

    /// Releases the request's booking; `whole` says whether its answer is complete.
    pub fn finished(&self, request: RequestId, whole: bool) {
        send_control(&self.controls, ControlMessage::Finished(request, whole));
    }

    /// Removes a queued request.
    pub fn cancelled(&self, request: RequestId) {
        send_control(&self.controls, ControlMessage::Cancelled(request));
    }

    /// Stops the decider thread.
    pub fn stop(&self) {
        send_control(&self.controls, ControlMessage::Stop);
    }

    /// Returns the digest to send to peers, or `None` if the thread is overloaded or stopped.
    pub async fn digest(&self) -> Option<Digest> {
        self.ask(Message::Digest).await
    }

    /// Returns the state that a starting peer takes over, or `None` as for [`Self::digest`].
    pub async fn warmth(&self) -> Option<Warmth> {
        self.ask(Message::Warmth).await
    }

    /// Returns a JSON description of the state, or `None` as for [`Self::digest`].
    pub async fn dump(&self) -> Option<serde_json::Value> {
        self.ask(Message::Dump).await
    }

    /// Number of messages in the queue.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    async fn ask<T>(&self, make: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (to, from) = oneshot::channel();
        self.queue.try_send(make(to)).ok()?;
        from.await.ok()
    }
}

pub(super) type Messages = Receiver<Message>;
pub(super) type Controls = Receiver<ControlMessage>;
