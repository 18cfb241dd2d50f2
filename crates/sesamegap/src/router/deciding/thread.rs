//! Main loop of the decider thread.

use super::{
    ControlMessage, Controls, Hedge, HedgeBooking, Message, Messages, ReplyChannels, Verdict,
};
use crate::router::clock::Clock;
use crossbeam_channel::{Sender, select};
use rustc_hash::FxHashMap;
use sesamegap_policy::{Decider, Decision, Observation};
use sesamegap_wire::{RequestId, UpstreamId};
use std::ops::ControlFlow;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Maximum messages handled between two polls of the decider. Batching lets a burst be decided
/// together; the limit bounds the delay.
const BATCH: usize = 64;

/// Maximum sleep between polls, so that queued work is reconsidered at least this often.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);

/// Minimum sleep, so that a decider whose wake time is always in the past does not busy-loop.
const SHORTEST_SLEEP: Duration = Duration::from_micros(200);

/// Queues read by the decider thread.
#[derive(Debug)]
pub(super) struct Queues {
    pub messages: Messages,
    pub controls: Controls,
}

/// State of the decider thread: the decider and the channels of pending submissions.
#[derive(Debug)]
pub(super) struct DeciderLoop {
    decider: Decider,
    clock: Clock,
    list_requests: mpsc::Sender<UpstreamId>,
    /// Sends to this loop; hedges that are dropped report their end through it.
    controls: Sender<ControlMessage>,
    pending: FxHashMap<RequestId, ReplyChannels>,
    hedges: FxHashMap<RequestId, oneshot::Sender<Hedge>>,
}

impl DeciderLoop {
    pub(super) fn new(
        decider: Decider,
        clock: Clock,
        list_requests: mpsc::Sender<UpstreamId>,
        controls: Sender<ControlMessage>,
    ) -> Self {
        Self {
            decider,
            clock,
            list_requests,
            controls,
            pending: FxHashMap::default(),
            hedges: FxHashMap::default(),
        }
    }

    pub(super) fn run(&mut self, queues: &Queues) {
        while self.run_once(queues).is_continue() {
            self.deliver_decisions();
        }
    }

    fn run_once(&mut self, queues: &Queues) -> ControlFlow<()> {
        select! {
            recv(queues.controls) -> control => {
                self.handle_control(control.unwrap_or(ControlMessage::Stop))?;
            }
            recv(queues.messages) -> message => match message {
                Ok(message) => self.handle_message(message),
                Err(_) => return ControlFlow::Break(()),
            },
            default(self.sleep_time()) => {}
        }
        for _ in 0..BATCH {
            while let Ok(control) = queues.controls.try_recv() {
                self.handle_control(control)?;
            }
            let Ok(message) = queues.messages.try_recv() else {
                break;
            };
            self.handle_message(message);
        }
        ControlFlow::Continue(())
    }

    fn sleep_time(&self) -> Duration {
        let Some(wake) = self.decider.wake() else {
            return LONGEST_SLEEP;
        };
        let until = self.clock.until(wake);
        until.clamp(SHORTEST_SLEEP, LONGEST_SLEEP)
    }

    fn handle_control(&mut self, control: ControlMessage) -> ControlFlow<()> {
        let now = self.clock.now();
        match control {
            ControlMessage::Finished(request, whole) => {
                self.hedges.remove(&request);
                let observation = Observation::Finished(request, whole);
                self.decider.observe(observation, now);
            }
            ControlMessage::Cancelled(request) => {
                self.pending.remove(&request);
                self.decider.observe(Observation::Cancelled(request), now);
            }
            ControlMessage::Observe(observation) => self.decider.observe(*observation, now),
            ControlMessage::Stop => return ControlFlow::Break(()),
        }
        ControlFlow::Continue(())
    }

    fn handle_message(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Submit(work, replies) => {
                // Skip the submission if its caller disconnected while it was in the queue.
                if !replies.verdict.is_closed() {
                    self.pending.insert(work.request.clone(), replies);
                    self.decider.submit(*work, now);
                }
            }
            Message::Observe(observation) => self.decider.observe(*observation, now),
            Message::Digest(to) => drop(to.send(self.decider.digest(now))),
            Message::Warmth(to) => drop(to.send(self.decider.warmth(now))),
            Message::Dump(to) => drop(to.send(self.decider.dump(now))),
        }
    }

    fn deliver_decisions(&mut self) {
        for decision in self.decider.poll(self.clock.now()) {
            match decision {
                Decision::Send {
                    request,
                    at,
                    priority,
                } => self.deliver_placement(request, Verdict::Send(at, priority)),
                Decision::Refuse { request, refusal } => {
                    if let Some(replies) = self.pending.remove(&request) {
                        drop(replies.verdict.send(Verdict::Refuse(refusal)));
                    }
                }
                Decision::Hedge {
                    request,
                    hedge_id,
                    at,
                    priority,
                } => {
                    let booking = HedgeBooking {
                        id: hedge_id,
                        controls: self.controls.clone(),
                        transferred: false,
                    };
                    self.deliver_hedge(
                        &request,
                        Hedge {
                            at,
                            priority,
                            booking,
                        },
                    );
                }
                Decision::List { engine } => drop(self.list_requests.try_send(engine)),
            }
        }
    }

    /// Delivers a placement, or releases its booking at once if the receiver is gone.
    fn deliver_placement(&mut self, request: RequestId, verdict: Verdict) {
        let replies = self.pending.remove(&request);
        let delivered = replies.is_some_and(|replies| {
            self.hedges.insert(request.clone(), replies.hedge);
            replies.verdict.send(verdict).is_ok()
        });
        if !delivered {
            self.hedges.remove(&request);
            let observation = Observation::Finished(request, false);
            self.decider.observe(observation, self.clock.now());
        }
    }

    /// Delivers a hedge. If the receiver is gone, for example because the first attempt already has a
    /// token, dropping the hedge releases its booking.
    fn deliver_hedge(&mut self, request: &RequestId, hedge: Hedge) {
        if let Some(to) = self.hedges.remove(request) {
            drop(to.send(hedge));
        }
    }
}
