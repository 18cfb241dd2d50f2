//! Tracks the attempts of a request and decides whether it may be retried.

use super::attempt::NotRun;
use crate::catalogue::Kind;
use crate::clock;
use crate::core::Core;
use crate::fleet::{Flight, NotChosen, PromptShape, Selection, Upstream};
use crate::job::Job;
use crate::placing::{self, Terms};
use crate::refusal::Refusal;
use sesamegap_policy::routing::Availability;
use sesamegap_wire::{ServiceId, SoftwareVersion, UpstreamId};
use smol_str::SmolStr;
use std::time::Duration;

/// Least time left for which a retry is worthwhile.
pub const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);

/// Refusals by upstreams after which the request is refused: the next upstream is most likely full too, and
/// each retry counts against the fleet's retry budget.
const MAX_REFUSALS: u32 = 3;

/// Failed connects after which the request is refused.
const MAX_CONNECT_FAILURES: u32 = 4;

/// The attempts of one request so far.
#[derive(Debug)]
pub struct RetryState {
    request: SmolStr,
    /// The target service.
    pub service: ServiceId,
    /// The prompt's shape, if the request is a prompt.
    pub shape: Option<PromptShape>,
    /// The software version that it must run at, once an event has been delivered.
    pub software: Option<SoftwareVersion>,
    /// Attempts that may have run.
    pub runs: u32,
    excluded: Vec<UpstreamId>,
    possibly_run_at: Vec<UpstreamId>,
    refusals: u32,
    connect_failures: u32,
}

impl RetryState {
    /// The state of a request that has not been sent.
    pub fn new(job: &Job) -> Self {
        Self {
            request: job.head.id.clone(),
            service: job.service().clone(),
            shape: job.prompt_shape(),
            software: job.origin.as_ref().map(|origin| origin.software.clone()),
            runs: 0,
            excluded: Vec::new(),
            possibly_run_at: Vec::new(),
            refusals: 0,
            connect_failures: 0,
        }
    }

    /// Chooses the next upstream; for a request on trial, the one with the fewest requests.
    ///
    /// # Errors
    /// If no upstream is available, or the request is not admitted now.
    pub async fn choose(
        &self,
        core: &Core,
        job: &Job,
        on_trial: bool,
    ) -> Result<Flight, NotChosen> {
        let tie_breaker = usize::try_from(job.hash() >> 40).unwrap_or(0);
        let settings = core.settings();
        let terms = self.terms(core, job, on_trial);
        let selection = Selection {
            service: &self.service,
            domain: &settings.domain,
            stores: job.catalogue.kv_stores(),
            shape: self.shape.as_ref(),
            tried: &self.excluded,
            tie_breaker,
            shard: None,
            least_loaded: on_trial,
            software: self.software.as_ref(),
            terms: terms.as_ref(),
            left: job.time_left(),
            alone: false,
        };
        placing::choose(core, &selection).await
    }

    /// What the admission of a prompt depends on, if it is to be decided.
    ///
    /// A stream that goes on was admitted when it began, and a trial runs at an engine without other requests.
    fn terms(&self, core: &Core, job: &Job, on_trial: bool) -> Option<Terms> {
        let is_decided = !on_trial && self.software.is_none() && self.shape.is_some();
        if !is_decided || !core.admits_by_backlog() {
            return None;
        }
        let class = job.route.priority;
        let urgent = job.catalogue.urgent_objective(&self.service, class);
        Some(Terms {
            key: job.hash(),
            priority: job.rank(),
            objective_ms: clock::wire_millis(job.route.objective),
            urgent_ms: urgent.map(clock::wire_millis),
            waited_ms: clock::wire_millis(job.arrival.at.elapsed()),
            team: job.team.as_ref().map(|team| team.name.clone()),
        })
    }

    /// Records that the request did not run at `at`; returns whether to try another upstream.
    pub fn should_retry_not_run(&mut self, core: &Core, at: UpstreamId, why: NotRun) -> bool {
        // Its weights are known now, so the same engine may be chosen again.
        if why != NotRun::OtherWeights {
            self.excluded.push(at);
        }
        match why {
            NotRun::Unreached => {
                self.connect_failures += 1;
                self.connect_failures < MAX_CONNECT_FAILURES
            }
            // The upstream is passed over until it takes requests again, so this ends.
            NotRun::Limited => true,
            // It did not arrive anywhere, so it costs no retry.
            NotRun::Full => {
                self.refusals += 1;
                self.refusals < MAX_REFUSALS
            }
            NotRun::Refused | NotRun::OtherWeights => {
                self.refusals += 1;
                self.refusals < MAX_REFUSALS && self.try_charge(core)
            }
        }
    }

    /// Records that the request may have run at `at`; returns whether it may be sent again.
    pub fn should_retry_possible_run(&mut self, core: &Core, job: &Job, at: UpstreamId) -> bool {
        self.record_run(at);
        self.can_run_again(job) && self.try_charge(core)
    }

    /// Charges one more arrival to the fleet's retry budget; returns whether it may be made.
    pub fn try_charge(&self, core: &Core) -> bool {
        core.try_retry(&self.service, &self.request)
    }

    /// Records that the request may have run at an upstream.
    pub fn record_run(&mut self, at: UpstreamId) {
        self.excluded.push(at.clone());
        self.possibly_run_at.push(at);
        self.runs += 1;
    }

    /// Takes back that the request may have run at an upstream, as it still runs there.
    pub fn take_back_run(&mut self, at: &UpstreamId) {
        for list in [&mut self.excluded, &mut self.possibly_run_at] {
            if let Some(last) = list.iter().rposition(|id| id == at) {
                list.remove(last);
            }
        }
        self.runs -= 1;
    }

    /// Whether the route allows a run beside the present one.
    pub fn can_run_beside(&self, job: &Job) -> bool {
        job.route.kind == Kind::ResumableStream && self.can_repeat_beside(job)
    }

    /// Whether the route allows an answer from the start beside the present one.
    pub fn can_repeat_beside(&self, job: &Job) -> bool {
        let is_allowed = job.route.kind.is_repeatable() && self.runs + 1 < job.route.attempts;
        is_allowed && job.time_left() > MIN_ATTEMPT_TIME
    }

    /// Whether the route and the time left allow another run.
    pub fn can_run_again(&self, job: &Job) -> bool {
        let allowed = job.route.kind.is_repeatable() && self.runs < job.route.attempts;
        allowed && job.time_left() > MIN_ATTEMPT_TIME
    }

    /// The error response if no upstream accepted the request.
    pub fn no_upstream(&self) -> Refusal {
        self.refusal_unless_run(Refusal::NoUpstream)
    }

    /// The error response for a refusal that tells the caller the request did not run.
    pub fn refusal_unless_run(&self, refusal: Refusal) -> Refusal {
        // That would be false once the request may have run.
        if self.runs == 0 {
            refusal
        } else {
            Refusal::Lost
        }
    }

    /// Makes upstreams that refused the request eligible again. Those where it may have run stay excluded.
    pub fn reset_refusals(&mut self) {
        self.refusals = 0;
        self.connect_failures = 0;
        self.excluded.clone_from(&self.possibly_run_at);
    }

    /// Whether no upstream is left at which the stream may go on, not even a busy one.
    pub fn is_version_gone(&self, core: &Core) -> bool {
        let Some(software) = &self.software else {
            return false;
        };
        let fleet = core.fleet.lock();
        fleet.is_version_gone(&self.service, software, &self.possibly_run_at, clock::now())
    }

    /// Whether another upstream may be asked while `at` is silent.
    ///
    /// An upstream that falls over when it rejects too much lets none wait, so that one that is available mostly has no
    /// room, and would only reject one more.
    pub fn may_ask_another(&self, core: &Core, job: &Job, at: &UpstreamId) -> bool {
        let is_brittle = core.fleet.lock().is_brittle(&self.service, clock::now());
        !is_brittle && self.has_other_upstream(core, job, Some(at))
    }

    /// Whether an upstream other than `except` is available for the request.
    pub fn has_other_upstream(&self, core: &Core, job: &Job, except: Option<&UpstreamId>) -> bool {
        let now = clock::now();
        let mut fleet = core.fleet.lock();
        let index = fleet.index(&self.service, job.catalogue.kv_stores(), now);
        let shape = self.shape.as_ref();
        let is_open = |up: &Upstream| {
            let software = self.software.as_ref();
            software.is_none_or(|software| fleet.continues(up, software))
                && fleet.availability_for(up, shape, now) == Availability::Open
        };
        let mut others = index.ids.iter().filter(|id| Some(*id) != except);
        others.any(|id| !self.excluded.contains(id) && fleet.get(id).is_some_and(is_open))
    }
}

/// Records that an upstream keeps a request waiting, if it is silent on all connections for this long.
pub fn record_silence(core: &Core, id: &UpstreamId, life: u64, silent: Duration) {
    let now = clock::now();
    let mut fleet = core.fleet.lock();
    let listed = fleet.get(id).filter(|listed| listed.life == life);
    if listed.is_some_and(|listed| now.since(listed.last_received) >= silent) {
        fleet.record_failure(id, now);
    }
}
