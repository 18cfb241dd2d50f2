//! Whether a request is let in.
//!
//! A caller is best served by an early answer, also when that is a refusal: it can ask elsewhere
//! or later. So everything that can be known at arrival is decided at arrival, and what becomes
//! hopeless while it waits is refused at that moment and not at its deadline.

use super::{Decider, Decision, Refusal, RefusalCode, Work};
use crate::load::limits::{Claim, add_jitter};
use crate::load::queue::{MIN_WEIGHT, OUTPUT_TOKEN_COST, QueuedRequest, Rank};
use sesamegap_settings::{Catalogue, ClassSpec, TeamSpec};
use sesamegap_wire::Moment;
use std::sync::Arc;
use std::time::Duration;

/// Time after which to ask again when settings, budget or fleet are in the way: about what a
/// restart or a change of settings takes to show.
const SOON: Duration = Duration::from_secs(1);

/// Deviations on top of the mean first-token time that an admitted request must have time for
/// when it has to wait first: one in a hundred of the highest class may miss, no more.
const MARGIN: f64 = 2.0;

/// The same for other classes: with as much as the highest has, the lightest team was refused
/// half as often again, and no more answers came in time (docs/design/load.md).
const LOW_MARGIN: f64 = 0.5;

/// How far beyond its time queued work must be before it is given up; below that, the estimate
/// is no surer than the request.
const SURE: f64 = 1.25;

/// Why and until when a request is kept out.
#[derive(Debug)]
struct Barrier {
    code: RefusalCode,
    earliest: Duration,
}

impl Barrier {
    fn new(code: RefusalCode, earliest: Duration) -> Self {
        Self { code, earliest }
    }
}

/// What settings say of a request.
#[derive(Debug, Clone, Copy)]
struct Terms<'a> {
    team: &'a TeamSpec,
    class: &'a ClassSpec,
}

impl Terms<'_> {
    fn of<'a>(work: &Work, catalogue: &'a Catalogue) -> Option<Terms<'a>> {
        catalogue.models.get(&work.model)?;
        let team = catalogue.teams.get(&work.team)?;
        let class = catalogue.classes.get(&work.class)?;
        Some(Terms { team, class })
    }
}

impl Decider {
    /// Queues a request or refuses it.
    pub(super) fn arrive(&mut self, work: Work, now: Moment) {
        let catalogue = Arc::clone(&self.catalogue);
        let Some(terms) = Terms::of(&work, &catalogue) else {
            let after = add_jitter(SOON, &mut self.rng);
            self.refuse_after(&work, RefusalCode::Unknown, after);
            return;
        };
        let paid = match work.attempt {
            0 => self.check_team(&work, terms, now),
            _ => self.check_retry(&work, terms, now),
        };
        if let Err(barrier) = paid {
            let after = add_jitter(barrier.earliest, &mut self.rng);
            self.refuse_after(&work, barrier.code, after);
            return;
        }
        let item = self.item(work, terms, now);
        match self.admit(&item, terms.class, now) {
            Ok(()) => self.enter(item, now),
            Err(barrier) => {
                self.give_back(&item.work);
                self.refuse(&item, barrier.code, barrier.earliest, now);
            }
        }
    }

    /// Load: one team sends more than its rate. Harm prevented: its excess crowds out others.
    fn check_team(&mut self, work: &Work, terms: Terms<'_>, now: Moment) -> Result<(), Barrier> {
        let taken = self
            .teams
            .take(&work.team, terms.team, work.chain.tokens, now);
        taken.map_err(|wait| Barrier::new(RefusalCode::TeamLimit, wait))
    }

    /// Load: much fails at once and is tried again. Harm prevented: retries that double the load
    /// of engines already short, and retries that cannot be in time. The class bounds attempts,
    /// the budget their sum, the deadline their use.
    fn check_retry(&mut self, work: &Work, terms: Terms<'_>, now: Moment) -> Result<(), Barrier> {
        let left = (work.arrived + terms.class.deadline).since(now);
        let rank = Rank::new(false, terms.class.priority);
        let needed = self.outlook.first_time(work, rank, now);
        if needed.is_some_and(|time| time.mean_plus_deviations(0.0) > left) || left.is_zero() {
            return Err(Barrier::new(RefusalCode::Deadline, SOON));
        }
        if work.attempt > terms.class.retries || !self.budget.try_spend() {
            return Err(Barrier::new(RefusalCode::RetryBudget, SOON));
        }
        Ok(())
    }

    /// Gives back what a refused request had paid.
    fn give_back(&mut self, work: &Work) {
        if work.attempt == 0 {
            self.teams.refund(&work.team, work.chain.tokens);
        } else {
            self.budget.refund();
        }
    }

    fn item(&mut self, work: Work, terms: Terms<'_>, now: Moment) -> QueuedRequest {
        let cost = work.chain.tokens.0 + OUTPUT_TOKEN_COST * work.answer.0;
        let weight = terms.team.weight.max(MIN_WEIGHT);
        let claim = Claim {
            model: &work.model,
            team: &work.team,
            weight,
            priority: terms.class.priority,
            cost,
        };
        if work.attempt == 0 {
            self.shares.record_demand(&claim, now);
        }
        let rate = self.outlook.rate(&work.model);
        let excess = self.shares.exceeds(&claim, rate, now);
        let deadline = work.arrived + terms.class.deadline;
        let rank = Rank::new(excess, terms.class.priority);
        let first = self.outlook.first_time(&work, rank, now);
        // The quickest first token that is still likely.
        let least = first.map_or(Duration::ZERO, |time| time.mean_plus_deviations(-1.0));
        let left = deadline.since(now).saturating_sub(least);
        QueuedRequest {
            rank,
            deadline,
            expires_at: now + left,
            weight,
            cost,
            seq: 0,
            work,
        }
    }

    /// Load: saturation. Harm prevented: work that engines do for an answer that comes too late,
    /// and callers who wait for nothing. The estimate counts what is queued ahead at the learned
    /// rate, and the engines' own time with a margin once there is a queue at all; without one,
    /// the mean has to do, since an idle system must not refuse on a spread seen in a busy hour.
    fn admit(
        &mut self,
        item: &QueuedRequest,
        class: &ClassSpec,
        now: Moment,
    ) -> Result<(), Barrier> {
        let needed = self.needed(item, now);
        let left = item.deadline.since(now);
        if left.is_zero() || needed > left {
            let short = needed.saturating_sub(class.deadline);
            return Err(Barrier::new(RefusalCode::Deadline, short));
        }
        let Some(victims) = self.queue.make_room(item, class.queue) else {
            let drained = self.outlook.span(&item.work.model, class.queue.0 / 2);
            return Err(Barrier::new(RefusalCode::QueueFull, drained));
        };
        for victim in victims {
            let wait = self.outlook.wait(&self.queue, &victim, victim.cost, now);
            self.refuse(&victim, RefusalCode::QueueFull, wait, now);
        }
        Ok(())
    }

    /// Time to the first token, from now.
    fn needed(&self, item: &QueuedRequest, now: Moment) -> Duration {
        let wait = self.outlook.wait(&self.queue, item, item.cost, now);
        let margin = match wait.is_zero() {
            true => 0.0,
            false if item.rank.priority.0 >= self.highest => MARGIN,
            false => LOW_MARGIN,
        };
        let first = self.outlook.first_time(&item.work, item.rank, now);
        wait + first.map_or(Duration::ZERO, |time| time.mean_plus_deviations(margin))
    }

    fn enter(&mut self, item: QueuedRequest, now: Moment) {
        if item.work.attempt == 0 {
            self.budget.earn();
        }
        self.outlook.admitted(&item, now);
        self.queue.push(item);
    }

    /// Refuses what has become hopeless by the clock.
    pub(super) fn expire(&mut self, now: Moment) {
        while let Some(item) = self.queue.pop_expired(now) {
            let wait = self.outlook.wait(&self.queue, &item, item.cost, now);
            self.refuse(&item, RefusalCode::Deadline, wait, now);
        }
    }

    /// Refuses what has become hopeless by the estimate.
    ///
    /// Load: engines slow down, or higher classes surge, after work was admitted. Harm prevented:
    /// callers who are kept until their deadline for an answer that was lost long before.
    /// Only the last of a team in each lane is looked at, since all before it are better off,
    /// and another team each time, so that the cost does not grow with the queue.
    pub(super) fn sweep(&mut self, now: Moment) {
        for item in self.queue.latest_per_lane() {
            let wait = self.outlook.wait(&self.queue, &item, 0, now);
            if wait > item.deadline.since(now).mul_f64(SURE) {
                self.queue.remove(&item.work.request);
                self.refuse(&item, RefusalCode::Deadline, wait, now);
            }
        }
    }

    /// Refuses a request and reserves its return.
    pub(super) fn refuse(
        &mut self,
        item: &QueuedRequest,
        code: RefusalCode,
        earliest: Duration,
        now: Moment,
    ) {
        let step = self.outlook.span(&item.work.model, item.cost);
        let priority = item.rank.priority.0;
        let after = self
            .comebacks
            .reserve(priority, earliest, step, now, &mut self.rng);
        self.refuse_after(&item.work, code, after);
    }

    pub(super) fn refuse_after(&mut self, work: &Work, code: RefusalCode, after: Duration) {
        self.ready.push(Decision::Refuse {
            request: work.request.clone(),
            refusal: Refusal { code, after },
        });
    }
}
