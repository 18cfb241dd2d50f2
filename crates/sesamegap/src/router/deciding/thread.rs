//! The decider thread's loop.

use super::{Ended, Ends, Message, Messages, Verdict};
use crate::router::clock::Clock;
use crossbeam_channel::select;
use rustc_hash::FxHashMap;
use sesamegap_policy::{Decider, Decision, Observation};
use sesamegap_wire::{RequestId, UpstreamId};
use std::ops::ControlFlow;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Messages handled between two polls, so that a burst is decided on together but soon.
const BATCH: usize = 64;

/// Longest sleep; queued work is looked at again at least so often.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);

/// Shortest sleep while something is due, so that a decider that keeps it due cannot spin.
const SHORTEST_SLEEP: Duration = Duration::from_micros(200);

/// The rings that the thread reads.
#[derive(Debug)]
pub(super) struct Rings {
    pub messages: Messages,
    pub ended: Ends,
}

/// Owns the decider and the answers still owed.
#[derive(Debug)]
pub(super) struct Owner {
    decider: Decider,
    clock: Clock,
    lists: mpsc::Sender<UpstreamId>,
    owed: FxHashMap<RequestId, oneshot::Sender<Verdict>>,
}

impl Owner {
    pub(super) fn new(decider: Decider, clock: Clock, lists: mpsc::Sender<UpstreamId>) -> Self {
        Self {
            decider,
            clock,
            lists,
            owed: FxHashMap::default(),
        }
    }

    pub(super) fn run(&mut self, rings: &Rings) {
        while self.round(rings).is_continue() {
            self.carry_out();
        }
    }

    fn round(&mut self, rings: &Rings) -> ControlFlow<()> {
        select! {
            recv(rings.ended) -> ended => self.end(ended.unwrap_or(Ended::Stop))?,
            recv(rings.messages) -> message => match message {
                Ok(message) => self.take(message),
                Err(_) => return ControlFlow::Break(()),
            },
            default(self.sleep()) => {}
        }
        for _ in 0..BATCH {
            while let Ok(ended) = rings.ended.try_recv() {
                self.end(ended)?;
            }
            let Ok(message) = rings.messages.try_recv() else {
                break;
            };
            self.take(message);
        }
        ControlFlow::Continue(())
    }

    fn sleep(&self) -> Duration {
        let Some(wake) = self.decider.wake() else {
            return LONGEST_SLEEP;
        };
        let until = self.clock.until(wake);
        until.clamp(SHORTEST_SLEEP, LONGEST_SLEEP)
    }

    fn end(&mut self, ended: Ended) -> ControlFlow<()> {
        let now = self.clock.now();
        match ended {
            Ended::Finished(request, whole) => {
                let news = Observation::Finished(request, whole);
                self.decider.observe(news, now);
            }
            Ended::Cancelled(request) => {
                self.owed.remove(&request);
                self.decider.observe(Observation::Cancelled(request), now);
            }
            Ended::News(news) => self.decider.observe(*news, now),
            Ended::Stop => return ControlFlow::Break(()),
        }
        ControlFlow::Continue(())
    }

    fn take(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Submit(work, to) => {
                // A caller that left before its submission was read must not be decided on.
                if !to.is_closed() {
                    self.owed.insert(work.request.clone(), to);
                    self.decider.submit(*work, now);
                }
            }
            Message::Observe(news) => self.decider.observe(*news, now),
            Message::Digest(to) => drop(to.send(self.decider.digest(now))),
            Message::Warmth(to) => drop(to.send(self.decider.warmth(now))),
            Message::Dump(to) => drop(to.send(self.decider.dump(now))),
        }
    }

    fn carry_out(&mut self) {
        for decision in self.decider.poll(self.clock.now()) {
            match decision {
                Decision::Send {
                    request,
                    at,
                    priority,
                } => self.send(request, Verdict::Send(at, priority)),
                Decision::Refuse { request, refusal } => {
                    if let Some(to) = self.owed.remove(&request) {
                        drop(to.send(Verdict::Refuse(refusal)));
                    }
                }
                // Second attempts are not carried out yet, and are reported so at once.
                Decision::Hedge { twin, .. } => {
                    let news = Observation::Finished(twin, false);
                    self.decider.observe(news, self.clock.now());
                }
                Decision::List { engine } => drop(self.lists.try_send(engine)),
            }
        }
    }

    /// Hands out a booking, or ends it at once when nobody waits for it any longer.
    fn send(&mut self, request: RequestId, verdict: Verdict) {
        let to = self.owed.remove(&request);
        let taken = to.is_some_and(|to| to.send(verdict).is_ok());
        if !taken {
            let news = Observation::Finished(request, false);
            self.decider.observe(news, self.clock.now());
        }
    }
}
