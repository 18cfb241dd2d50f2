//! Sending what waits to engines with room.

use super::flights::{Flight, Flights};
use super::outlook::Outlook;
use super::{Decider, Decision, RefusalCode, Work, ask};
use crate::load::Windows;
use crate::load::queue::{ANSWER_COST, Item, Offer, Rank};
use crate::placing::{Placement, PlacementOutcome, PlacementRequest, Placer};
use rand::rngs::ChaCha12Rng;
use sesamegap_settings::{Catalogue, ClassSpec};
use sesamegap_wire::{Moment, RequestId};
use std::time::Duration;

/// Part of the deadline after which a first token counts as late for the window: by then little
/// is left for a second attempt.
const LATE: f64 = 0.5;

/// Deviations above the mean after which a second attempt starts beside the first; about one
/// request in twenty is that late on a healthy engine, which the budget bears.
const HEDGE_AFTER: f64 = 4.0;

/// Bounds on when to look for room again that opens without news, as when a cap on cold
/// prefills lapses.
const RETRY: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(250));

/// Time beyond a class's last promise after which a lost attempt is taken for over.
const GRACE: Duration = Duration::from_mins(1);

/// The parts of a decider that sending needs while the queue is being served.
struct Sender<'a> {
    outlook: &'a Outlook,
    placer: &'a mut dyn Placer,
    windows: &'a mut Windows,
    flights: &'a mut Flights,
    catalogue: &'a Catalogue,
    rng: &'a mut ChaCha12Rng,
    ready: &'a mut Vec<Decision>,
    refused: Vec<(Item, RefusalCode)>,
    retry: Option<Moment>,
    highest: u8,
    now: Moment,
}

impl Sender<'_> {
    fn offer(&mut self, item: &Item, hedge: Option<Moment>) -> Offer {
        let catalogue = self.catalogue;
        let Some(class) = catalogue.classes.get(&item.work.class) else {
            return self.drop(item, RefusalCode::Unknown);
        };
        let ask = ask(&item.work, class);
        let highest = class.priority >= self.highest && !item.rank.excess;
        let room = self.windows.room(highest);
        let placed = self.placer.place(&ask, &room, self.now, self.rng);
        drop(room);
        match placed {
            PlacementOutcome::NoEngine => self.drop(item, RefusalCode::NoEngine),
            PlacementOutcome::Full(wait) => {
                let again = self.now + wait.clamp(RETRY.0, RETRY.1);
                self.retry = Some(self.retry.map_or(again, |at| at.min(again)));
                Offer::Full
            }
            PlacementOutcome::At(at) if self.comes_late(item, &at) => {
                self.drop(item, RefusalCode::Deadline)
            }
            PlacementOutcome::At(at) => {
                let hedge = hedge.filter(|_| class.hedge);
                self.book(&ask, item, &at, hedge);
                let missing = (item.work.chain.tokens - at.cached).0;
                self.ready.push(Decision::Send {
                    request: item.work.request.clone(),
                    at,
                    priority: item.rank.in_engine(),
                });
                Offer::Sent(missing + ANSWER_COST * item.work.answer.0)
            }
        }
    }

    /// Load: every engine with room has a long queue of other routers' work. Harm prevented: a
    /// prefill that is computed for an answer no one waits for. The expected wait is a guess, so
    /// an engine on which this router has nothing in flight is tried all the same: with no
    /// answers there would be nothing to correct the guess by.
    fn comes_late(&self, item: &Item, at: &Placement) -> bool {
        let wait = self.outlook.corrected(item.rank, at.wait);
        self.now + wait > item.deadline && self.windows.busy(&at.engine)
    }

    fn drop(&mut self, item: &Item, code: RefusalCode) -> Offer {
        self.refused.push((item.clone(), code));
        Offer::Dropped
    }

    fn book(
        &mut self,
        ask: &PlacementRequest<'_>,
        item: &Item,
        at: &Placement,
        hedge: Option<Moment>,
    ) {
        let (work, rank) = (&item.work, item.rank);
        self.placer.sent(ask, at, self.now);
        let missing = work.chain.tokens - at.cached;
        self.windows.take(ask.request, at, missing, self.now);
        let flight = flight(work, rank, at, ask.class, self.now);
        let hedge = hedge.map(|due| (due, Box::new(work.clone())));
        self.flights.start(ask.request, Flight { hedge, ..flight });
    }
}

/// An attempt that starts now.
fn flight(work: &Work, rank: Rank, at: &Placement, class: &ClassSpec, now: Moment) -> Flight {
    Flight {
        engine: at.engine.clone(),
        model: work.model.clone(),
        tokens: work.chain.tokens,
        cost: work.chain.tokens.0 + ANSWER_COST * work.answer.0,
        sent: now,
        rank,
        expected: at.wait,
        patience: class.deadline.mul_f64(LATE),
        first: false,
        end: now + class.total.max(class.deadline) + GRACE,
        hedge: None,
    }
}

impl Decider {
    /// Sends what has room, in the queue's order.
    pub(super) fn dispatch(&mut self, now: Moment) {
        let outlook = &self.outlook;
        let mut sender = Sender {
            outlook,
            placer: &mut *self.placer,
            windows: &mut self.windows,
            flights: &mut self.flights,
            catalogue: &self.catalogue,
            rng: &mut self.rng,
            ready: &mut self.ready,
            refused: Vec::new(),
            retry: self.retry,
            highest: self.highest,
            now,
        };
        self.queue.serve(|item| {
            let work = &item.work;
            let time = outlook.first_time(work, item.rank, now);
            let due = time.map(|time| now + time.with(HEDGE_AFTER));
            let hedge = due.filter(|_| work.repeatable && work.attempt == 0);
            sender.offer(item, hedge)
        });
        self.retry = sender.retry.filter(|_| !self.queue.is_empty());
        for (item, code) in sender.refused {
            let wait = self.outlook.wait(&self.queue, &item, item.cost, now);
            self.refuse(&item, code, wait, now);
        }
    }

    /// Starts second attempts beside late first ones.
    ///
    /// Load: one engine is slow or silent. Harm prevented: callers on it who miss their deadline
    /// while other engines are idle. The class must allow it and the request must be repeatable;
    /// the retry budget pays, so that slowness everywhere does not double the load; and it must
    /// find room at once, since a hedge that queues takes the place of first attempts.
    pub(super) fn hedge(&mut self, now: Moment) {
        while let Some((work, engine)) = self.flights.due_hedge(now) {
            let mut twin = *work;
            let request = twin.request.clone();
            twin.request.seq |= TWIN;
            twin.barred.push(engine);
            self.hedge_one(request, &twin, now);
        }
    }

    fn hedge_one(&mut self, request: RequestId, twin: &Work, now: Moment) {
        let Some(class) = self.catalogue.classes.get(&twin.class) else {
            return;
        };
        let deadline = twin.arrived + class.deadline;
        let rank = Rank::new(false, class.priority);
        let time = self.outlook.first_time(twin, rank, now);
        let late = time.is_some_and(|time| now + time.with(0.0) >= deadline);
        if !class.hedge || late || !self.budget.pay() {
            return;
        }
        let ask = ask(twin, class);
        let highest = class.priority >= self.highest;
        let room = self.windows.room(highest);
        let placed = self.placer.place(&ask, &room, now, &mut self.rng);
        drop(room);
        let PlacementOutcome::At(at) = placed else {
            self.budget.refund();
            return;
        };
        self.placer.sent(&ask, &at, now);
        let missing = twin.chain.tokens - at.cached;
        self.windows.take(&twin.request, &at, missing, now);
        let flight = flight(twin, rank, &at, class, now);
        self.flights.start(&twin.request, flight);
        self.ready.push(Decision::Hedge {
            request,
            twin: twin.request.clone(),
            at,
            priority: rank.in_engine(),
        });
    }
}

/// Marks a second attempt's id; routers count their requests from 0 and never get this far.
const TWIN: u64 = 1 << 63;
