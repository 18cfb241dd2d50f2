//! Dispatch of queued requests to engines with room, and hedging.

use super::attempts::{Attempt, AttemptTable};
use super::estimator::WaitEstimator;
use super::{Decider, Decision, RefusalCode, Work, placement_request};
use crate::load::Windows;
use crate::load::queue::{DispatchOutcome, OUTPUT_TOKEN_COST, QueuedRequest, Rank};
use crate::placing::{Placement, PlacementOutcome, PlacementRequest, Placer};
use rand::rngs::ChaCha12Rng;
use sesamegap_settings::{Catalogue, ClassSpec};
use sesamegap_wire::{Moment, RequestId};
use std::time::Duration;

/// Fraction of the deadline after which the window counts a first token as late: by then little
/// time is left for a second attempt.
const LATE_FRACTION: f64 = 0.5;

/// Deviations above the mean time to first token after which a hedge is sent. About one request in
/// twenty is that late on a healthy engine, which the retry budget can bear.
const HEDGE_AFTER: f64 = 4.0;

/// Bounds on the delay before room is checked again without an observation, for room that opens
/// by time alone, such as when a cap on cold prefills lapses.
const ROOM_CHECK_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(10), Duration::from_millis(250));

/// Time beyond the longest duration that a class allows after which an attempt is treated as lost
/// and finished.
const COMPLETION_GRACE: Duration = Duration::from_mins(1);

/// The parts of a decider that are borrowed while the queue is served.
struct Sender<'a> {
    estimator: &'a WaitEstimator,
    placer: &'a mut dyn Placer,
    windows: &'a mut Windows,
    attempts: &'a mut AttemptTable,
    catalogue: &'a Catalogue,
    rng: &'a mut ChaCha12Rng,
    decisions: &'a mut Vec<Decision>,
    refused: Vec<(QueuedRequest, RefusalCode)>,
    recheck_at: Option<Moment>,
    highest_priority: u8,
    now: Moment,
}

impl Sender<'_> {
    /// Sends a request if an engine has room for it; drops it, to be refused, if none can serve it in
    /// time.
    fn try_send(&mut self, item: &QueuedRequest, hedge: Option<Moment>) -> DispatchOutcome {
        let catalogue = self.catalogue;
        let Some(class) = catalogue.classes.get(&item.work.class) else {
            return self.drop_item(item, RefusalCode::Unknown);
        };
        let ask = placement_request(&item.work, class);
        let is_highest = class.priority >= self.highest_priority && !item.rank.excess;
        let room = self.windows.room(is_highest);
        let placed = self.placer.place(&ask, &room, self.now, self.rng);
        drop(room);
        match placed {
            PlacementOutcome::NoEngine => self.drop_item(item, RefusalCode::NoEngine),
            PlacementOutcome::Full(wait) => {
                let again = self.now + wait.clamp(ROOM_CHECK_BOUNDS.0, ROOM_CHECK_BOUNDS.1);
                self.recheck_at = Some(self.recheck_at.map_or(again, |at| at.min(again)));
                DispatchOutcome::Full
            }
            PlacementOutcome::At(at) if self.misses_deadline(item, &at) => {
                self.drop_item(item, RefusalCode::Deadline)
            }
            PlacementOutcome::At(at) => {
                let hedge = hedge.filter(|_| class.hedge);
                self.start_attempt(&ask, item, &at, hedge);
                let missing = (item.work.chain.tokens - at.cached).0;
                self.decisions.push(Decision::Send {
                    request: item.work.request.clone(),
                    at,
                    priority: item.rank.engine_priority(),
                });
                DispatchOutcome::Sent(missing + OUTPUT_TOKEN_COST * item.work.answer.0)
            }
        }
    }

    /// Whether a request is expected to miss its deadline at this placement.
    ///
    /// Every engine with room may have a long queue of other routers' requests; sending would then
    /// compute a prefill for an answer that nobody waits for. Since the expected wait is only an
    /// estimate, an engine on which this router has nothing in flight is used regardless: without
    /// answers from it, the estimate could never be corrected.
    fn misses_deadline(&self, item: &QueuedRequest, at: &Placement) -> bool {
        let wait = self.estimator.corrected(item.rank, at.wait);
        self.now + wait > item.deadline && self.windows.busy(&at.engine)
    }

    fn drop_item(&mut self, item: &QueuedRequest, code: RefusalCode) -> DispatchOutcome {
        self.refused.push((item.clone(), code));
        DispatchOutcome::Dropped
    }

    /// Records a sent request with the placer, the windows and the attempts in flight.
    fn start_attempt(
        &mut self,
        ask: &PlacementRequest<'_>,
        item: &QueuedRequest,
        at: &Placement,
        hedge: Option<Moment>,
    ) {
        let (work, rank) = (&item.work, item.rank);
        self.placer.sent(ask, at, self.now);
        let missing = work.chain.tokens - at.cached;
        self.windows.take(ask.request, at, missing, self.now);
        let attempt = new_attempt(work, rank, at, ask.class, self.now);
        let hedge = hedge.map(|due| (due, Box::new(work.clone())));
        self.attempts
            .insert(ask.request, Attempt { hedge, ..attempt });
    }
}

/// Creates the record of an attempt that starts now.
fn new_attempt(work: &Work, rank: Rank, at: &Placement, class: &ClassSpec, now: Moment) -> Attempt {
    Attempt {
        engine: at.engine.clone(),
        model: work.model.clone(),
        tokens: work.chain.tokens,
        cost: work.chain.tokens.0 + OUTPUT_TOKEN_COST * work.answer.0,
        sent_at: now,
        rank,
        expected_first_token: at.wait,
        late_after: class.deadline.mul_f64(LATE_FRACTION),
        first_token_seen: false,
        expires_at: now + class.total.max(class.deadline) + COMPLETION_GRACE,
        hedge: None,
    }
}

impl Decider {
    /// Sends queued requests in queue order, as far as engines have room.
    pub(super) fn dispatch(&mut self, now: Moment) {
        let estimator = &self.estimator;
        let mut sender = Sender {
            estimator,
            placer: &mut *self.placer,
            windows: &mut self.windows,
            attempts: &mut self.attempts,
            catalogue: &self.catalogue,
            rng: &mut self.rng,
            decisions: &mut self.decisions,
            refused: Vec::new(),
            recheck_at: self.recheck_at,
            highest_priority: self.highest_priority,
            now,
        };
        self.queue.serve(|item| {
            let work = &item.work;
            let time = estimator.ttft(work, item.rank, now);
            let due = time.map(|time| now + time.mean_plus_deviations(HEDGE_AFTER));
            let hedge = due.filter(|_| work.repeatable && work.attempt == 0);
            sender.try_send(item, hedge)
        });
        self.recheck_at = sender.recheck_at.filter(|_| !self.queue.is_empty());
        for (item, code) in sender.refused {
            let wait = self
                .estimator
                .queue_wait(&self.queue, &item, item.cost, now);
            self.refuse(&item, code, wait, now);
        }
    }

    /// Sends a second attempt for each request whose first token is late.
    ///
    /// If one engine is slow or silent, its requests would miss their deadline while other engines
    /// are idle. The class must allow hedging and the request must be repeatable. Hedges are
    /// charged to the retry budget, so that general slowness does not double the load, and are
    /// never queued, since a queued hedge would take the place of a first attempt.
    pub(super) fn send_due_hedges(&mut self, now: Moment) {
        while let Some((work, engine)) = self.attempts.take_due_hedge(now) {
            let mut hedge = *work;
            let request = hedge.request.clone();
            hedge.request.seq |= HEDGE_BIT;
            hedge.barred.push(engine);
            self.send_hedge(request, &hedge, now);
        }
    }

    fn send_hedge(&mut self, request: RequestId, hedge: &Work, now: Moment) {
        let Some(class) = self.catalogue.classes.get(&hedge.class) else {
            return;
        };
        let deadline = hedge.arrived + class.deadline;
        let rank = Rank::new(false, class.priority);
        let time = self.estimator.ttft(hedge, rank, now);
        let too_late = time.is_some_and(|time| now + time.mean_plus_deviations(0.0) >= deadline);
        if !class.hedge || too_late || !self.budget.try_spend() {
            return;
        }
        let ask = placement_request(hedge, class);
        let is_highest = class.priority >= self.highest_priority;
        let room = self.windows.room(is_highest);
        let placed = self.placer.place(&ask, &room, now, &mut self.rng);
        drop(room);
        let PlacementOutcome::At(at) = placed else {
            self.budget.refund();
            return;
        };
        self.placer.sent(&ask, &at, now);
        let missing = hedge.chain.tokens - at.cached;
        self.windows.take(&hedge.request, &at, missing, now);
        let attempt = new_attempt(hedge, rank, &at, class, now);
        self.attempts.insert(&hedge.request, attempt);
        self.decisions.push(Decision::Hedge {
            request,
            hedge_id: hedge.request.clone(),
            at,
            priority: rank.engine_priority(),
        });
    }
}

/// Bit that marks the id of a hedge. Routers number their requests from 0 and never reach it.
const HEDGE_BIT: u64 = 1 << 63;
