//! The decider thread's loop.

use super::{Ended, Ends, Hedge, Message, Messages, Owed, Verdict};
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
    owed: FxHashMap<RequestId, Owed>,
    hedges: FxHashMap<RequestId, oneshot::Sender<Hedge>>,
}

impl Owner {
    pub(super) fn new(decider: Decider, clock: Clock, lists: mpsc::Sender<UpstreamId>) -> Self {
        Self {
            decider,
            clock,
            lists,
            owed: FxHashMap::default(),
            hedges: FxHashMap::default(),
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
                self.hedges.remove(&request);
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
            Message::Submit(work, owed) => {
                // A caller that left before its submission was read must not be decided on.
                if !owed.verdict.is_closed() {
                    self.owed.insert(work.request.clone(), owed);
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
                    if let Some(owed) = self.owed.remove(&request) {
                        drop(owed.verdict.send(Verdict::Refuse(refusal)));
                    }
                }
                Decision::Hedge {
                    request,
                    hedge_id: twin,
                    at,
                    priority,
                } => self.hedge(&request, Hedge { twin, at, priority }),
                Decision::List { engine } => drop(self.lists.try_send(engine)),
            }
        }
    }

    /// Hands out a booking, or ends it at once when nobody waits for it any longer.
    fn send(&mut self, request: RequestId, verdict: Verdict) {
        let owed = self.owed.remove(&request);
        let taken = owed.is_some_and(|owed| {
            self.hedges.insert(request.clone(), owed.hedge);
            owed.verdict.send(verdict).is_ok()
        });
        if !taken {
            self.hedges.remove(&request);
            let news = Observation::Finished(request, false);
            self.decider.observe(news, self.clock.now());
        }
    }

    /// Hands out a second attempt, or ends it at once when the first one has its token.
    fn hedge(&mut self, request: &RequestId, hedge: Hedge) {
        let twin = hedge.twin.clone();
        let to = self.hedges.remove(request);
        if to.is_none_or(|to| to.send(hedge).is_err()) {
            let news = Observation::Finished(twin, false);
            self.decider.observe(news, self.clock.now());
        }
    }
}
