//! Admission control.
//!
//! An early answer serves the caller best even if it is a refusal, because the caller can then
//! try elsewhere or later. So whatever can be decided on arrival is decided on arrival, and a
//! queued request that can no longer meet its deadline is refused at once and not when the
//! deadline passes.

use super::{Decider, Decision, Refusal, RefusalCode, Work};
use crate::load::limits::{Claim, add_jitter};
use crate::load::queue::{MIN_WEIGHT, OUTPUT_TOKEN_COST, QueuedRequest, Rank};
use sesamegap_settings::{Catalogue, ClassSpec, TeamSpec};
use sesamegap_wire::Moment;
use std::sync::Arc;
use std::time::Duration;

/// Retry delay for refusals due to settings, the retry budget or missing engines: about the time
/// that a restart or a settings change takes to become visible.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Deviations above the mean time to first token that a request of the highest class must have
/// time for if it has to queue: at most one in a hundred of that class may miss its deadline.
const HIGHEST_CLASS_MARGIN: f64 = 2.0;

/// The same margin for other classes: with the margin of the highest class, the lightest team
/// was refused 50% more often, and no more answers met their deadline (docs/design/load.md).
const OTHER_CLASSES_MARGIN: f64 = 0.5;

/// Factor by which the estimated wait of a queued request must exceed its remaining time before
/// it is refused; below that, the estimate is not certain enough to refuse on.
const HOPELESS_FACTOR: f64 = 1.25;

/// Reason for not admitting a request, and the earliest time at which a retry may help.
#[derive(Debug)]
struct Rejection {
    code: RefusalCode,
    min_delay: Duration,
}

impl Rejection {
    fn new(code: RefusalCode, min_delay: Duration) -> Self {
        Self { code, min_delay }
    }
}

/// Settings that apply to a request.
#[derive(Debug, Clone, Copy)]
struct RequestSettings<'a> {
    team: &'a TeamSpec,
    class: &'a ClassSpec,
}

impl RequestSettings<'_> {
    fn of<'a>(work: &Work, catalogue: &'a Catalogue) -> Option<RequestSettings<'a>> {
        catalogue.models.get(&work.model)?;
        let team = catalogue.teams.get(&work.team)?;
        let class = catalogue.classes.get(&work.class)?;
        Some(RequestSettings { team, class })
    }
}

impl Decider {
    /// Queues a request or refuses it.
    pub(super) fn admit_or_refuse(&mut self, work: Work, now: Moment) {
        let catalogue = Arc::clone(&self.catalogue);
        let Some(settings) = RequestSettings::of(&work, &catalogue) else {
            let after = add_jitter(DEFAULT_RETRY_DELAY, &mut self.rng);
            self.refuse_after(&work, RefusalCode::Unknown, after);
            return;
        };
        let charged = match work.attempt {
            0 => self.check_team(&work, settings, now),
            _ => self.check_retry(&work, settings, now),
        };
        if let Err(rejection) = charged {
            let after = add_jitter(rejection.min_delay, &mut self.rng);
            self.refuse_after(&work, rejection.code, after);
            return;
        }
        let item = self.item(work, settings, now);
        match self.check_admission(&item, settings.class, now) {
            Ok(()) => self.enqueue(item, now),
            Err(rejection) => {
                self.refund(&item.work);
                self.refuse(&item, rejection.code, rejection.min_delay, now);
            }
        }
    }

    /// Charges the team's rate limit.
    ///
    /// Guards against one team that exceeds its rate and displaces the requests of others.
    fn check_team(
        &mut self,
        work: &Work,
        settings: RequestSettings<'_>,
        now: Moment,
    ) -> Result<(), Rejection> {
        let charge = self
            .teams
            .take(&work.team, settings.team, work.chain.tokens, now);
        charge.map_err(|wait| Rejection::new(RefusalCode::TeamLimit, wait))
    }

    /// Checks whether a retry is allowed and charges the retry budget.
    ///
    /// Guards against many requests failing at once: their retries would double the load of
    /// engines that are already short of capacity, and some could not meet their deadline. The
    /// class bounds the attempts of one request, the budget bounds the sum of all retries, and the
    /// deadline rules out those that would be useless.
    fn check_retry(
        &mut self,
        work: &Work,
        settings: RequestSettings<'_>,
        now: Moment,
    ) -> Result<(), Rejection> {
        let left = (work.arrived + settings.class.deadline).since(now);
        let rank = Rank::new(false, settings.class.priority);
        let ttft = self.estimator.ttft(work, rank, now);
        if ttft.is_some_and(|time| time.mean_plus_deviations(0.0) > left) || left.is_zero() {
            return Err(Rejection::new(RefusalCode::Deadline, DEFAULT_RETRY_DELAY));
        }
        if work.attempt > settings.class.retries || !self.budget.try_spend() {
            return Err(Rejection::new(
                RefusalCode::RetryBudget,
                DEFAULT_RETRY_DELAY,
            ));
        }
        Ok(())
    }

    /// Refunds what a refused request was charged.
    fn refund(&mut self, work: &Work) {
        if work.attempt == 0 {
            self.teams.refund(&work.team, work.chain.tokens);
        } else {
            self.budget.refund();
        }
    }

    /// Ranks a request for the queue. A first attempt is also added to its team's demand.
    fn item(&mut self, work: Work, settings: RequestSettings<'_>, now: Moment) -> QueuedRequest {
        let cost = work.chain.tokens.0 + OUTPUT_TOKEN_COST * work.answer.0;
        let weight = settings.team.weight.max(MIN_WEIGHT);
        let claim = Claim {
            model: &work.model,
            team: &work.team,
            weight,
            priority: settings.class.priority,
            cost,
        };
        if work.attempt == 0 {
            self.shares.record_demand(&claim, now);
        }
        let rate = self.estimator.rate(&work.model);
        let excess = self.shares.exceeds(&claim, rate, now);
        let deadline = work.arrived + settings.class.deadline;
        let rank = Rank::new(excess, settings.class.priority);
        let first = self.estimator.ttft(&work, rank, now);
        // The shortest time to first token that is still likely: one deviation below the mean.
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

    /// Checks that a request can meet its deadline and that its queue has room, and refuses queued
    /// requests that it displaces.
    ///
    /// Guards against saturation: engines would compute answers that come too late, and callers
    /// would wait for nothing. The estimate is the time for the work queued ahead at the learned
    /// rate plus the engines' time to first token, with a margin only if the request has to
    /// queue. Otherwise the mean is used, since an idle system must not refuse requests because of
    /// a variance that was observed under load.
    fn check_admission(
        &mut self,
        item: &QueuedRequest,
        class: &ClassSpec,
        now: Moment,
    ) -> Result<(), Rejection> {
        let time_to_first_token = self.time_to_first_token(item, now);
        let left = item.deadline.since(now);
        if left.is_zero() || time_to_first_token > left {
            let short = time_to_first_token.saturating_sub(class.deadline);
            return Err(Rejection::new(RefusalCode::Deadline, short));
        }
        let Some(victims) = self.queue.make_room(item, class.queue) else {
            let drained = self
                .estimator
                .service_time(&item.work.model, class.queue.0 / 2);
            return Err(Rejection::new(RefusalCode::QueueFull, drained));
        };
        for victim in victims {
            let wait = self
                .estimator
                .queue_wait(&self.queue, &victim, victim.cost, now);
            self.refuse(&victim, RefusalCode::QueueFull, wait, now);
        }
        Ok(())
    }

    /// Estimates the time from now to the first token, queueing and margin included.
    fn time_to_first_token(&self, item: &QueuedRequest, now: Moment) -> Duration {
        let wait = self.estimator.queue_wait(&self.queue, item, item.cost, now);
        let margin = match wait.is_zero() {
            true => 0.0,
            false if item.rank.priority.0 >= self.highest_priority => HIGHEST_CLASS_MARGIN,
            false => OTHER_CLASSES_MARGIN,
        };
        let first = self.estimator.ttft(&item.work, item.rank, now);
        wait + first.map_or(Duration::ZERO, |time| time.mean_plus_deviations(margin))
    }

    fn enqueue(&mut self, item: QueuedRequest, now: Moment) {
        if item.work.attempt == 0 {
            self.budget.earn();
        }
        self.estimator.record_admitted(&item, now);
        self.queue.push(item);
    }

    /// Refuses queued requests whose latest useful start time has passed.
    pub(super) fn expire(&mut self, now: Moment) {
        while let Some(item) = self.queue.pop_expired(now) {
            let wait = self
                .estimator
                .queue_wait(&self.queue, &item, item.cost, now);
            self.refuse(&item, RefusalCode::Deadline, wait, now);
        }
    }

    /// Refuses queued requests that are estimated to miss their deadline.
    ///
    /// Engines may slow down, or traffic of higher classes may surge, after a request was
    /// admitted. Without the sweep, callers would wait until the deadline for an answer that
    /// could no longer be in time. In each lane only the last request of one team is examined,
    /// since those before it wait less, and a different team each time, so that the cost does not
    /// grow with the queue.
    pub(super) fn sweep(&mut self, now: Moment) {
        for item in self.queue.latest_per_lane() {
            let wait = self.estimator.queue_wait(&self.queue, &item, 0, now);
            if wait > item.deadline.since(now).mul_f64(HOPELESS_FACTOR) {
                self.queue.remove(&item.work.request);
                self.refuse(&item, RefusalCode::Deadline, wait, now);
            }
        }
    }

    /// Refuses a request, with a retry delay reserved so that retries are spread over time.
    pub(super) fn refuse(
        &mut self,
        item: &QueuedRequest,
        code: RefusalCode,
        min_delay: Duration,
        now: Moment,
    ) {
        let step = self.estimator.service_time(&item.work.model, item.cost);
        let priority = item.rank.priority.0;
        let after = self
            .retry_schedule
            .reserve(priority, min_delay, step, now, &mut self.rng);
        self.refuse_after(&item.work, code, after);
    }

    pub(super) fn refuse_after(&mut self, work: &Work, code: RefusalCode, after: Duration) {
        self.decisions.push(Decision::Refuse {
            request: work.request.clone(),
            refusal: Refusal { code, after },
        });
    }
}
