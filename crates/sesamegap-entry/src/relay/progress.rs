//! A request's way through upstreams: which were tried, and what may follow.

use super::Job;
use super::attempt::NotRun;
use crate::clock;
use crate::core::Core;
use crate::fleet::{Flight, PromptShape, Selection, Upstream};
use crate::intake::Refusal;
use crate::placing;
use sesamegap_policy::routing::Availability;
use sesamegap_wire::{ServiceId, UpstreamId};
use std::time::Duration;

/// Time with which an attempt is still worth beginning.
pub const LEAST_LEFT: Duration = Duration::from_millis(30);

/// Refusals by upstreams after which a request is refused itself: with that many full, the next
/// one is most likely full too, and each costs a place in the fleet's budget.
const MOST_REFUSALS: u32 = 3;

/// Failed connects after which a request is refused itself.
const MOST_UNREACHED: u32 = 4;

/// A request's way through upstreams so far.
#[derive(Debug)]
pub struct Progress {
    /// The service.
    pub service: ServiceId,
    /// Its prompt's shape.
    pub shape: Option<PromptShape>,
    /// Attempts that may have run.
    pub runs: u32,
    tried: Vec<UpstreamId>,
    ran_at: Vec<UpstreamId>,
    refusals: u32,
    unreached: u32,
}

impl Progress {
    /// The progress of a request that was not sent yet.
    pub fn new(job: &Job) -> Self {
        Self {
            service: job.service().clone(),
            shape: job.shape(),
            runs: 0,
            tried: Vec::new(),
            ran_at: Vec::new(),
            refusals: 0,
            unreached: 0,
        }
    }

    /// Chooses the next upstream, or the one with the fewest requests for one that runs apart.
    pub async fn choose(&self, core: &Core, job: &Job, apart: bool) -> Option<Flight> {
        let spread = usize::try_from(job.hash() >> 40).unwrap_or(0);
        let settings = core.settings();
        let selection = Selection {
            service: &self.service,
            domain: &settings.domain,
            stores: job.catalogue.kv_stores(),
            shape: self.shape.as_ref(),
            tried: &self.tried,
            spread,
            shard: None,
            apart,
        };
        placing::choose(core, &selection, job.left()).await
    }

    /// Whether a request that was not run at `at` goes to another upstream.
    pub fn after_not_run(&mut self, core: &Core, at: UpstreamId, why: NotRun) -> bool {
        // What it holds is known now, so the next one may well be the same engine.
        if why != NotRun::OtherWeights {
            self.tried.push(at);
        }
        match why {
            NotRun::Unreached => {
                self.unreached += 1;
                self.unreached < MOST_UNREACHED
            }
            NotRun::Refused | NotRun::OtherWeights => {
                self.refusals += 1;
                self.refusals < MOST_REFUSALS && core.try_retry(&self.service)
            }
        }
    }

    /// Whether a request that may have run at `at` may be sent again.
    pub fn after_run(&mut self, core: &Core, job: &Job, at: UpstreamId) -> bool {
        self.ran(at);
        self.may_run_again(job) && core.try_retry(&self.service)
    }

    /// Notes that a request may have run at an upstream.
    pub fn ran(&mut self, at: UpstreamId) {
        self.tried.push(at.clone());
        self.ran_at.push(at);
        self.runs += 1;
    }

    /// Whether its route and its time allow one more run.
    pub fn may_run_again(&self, job: &Job) -> bool {
        let allowed = job.route.kind.repeats() && self.runs < job.route.attempts;
        allowed && job.left() > LEAST_LEFT
    }

    /// What to answer when nothing could take the request.
    pub fn unserved(&self) -> Refusal {
        self.refused(Refusal::NoUpstream)
    }

    /// What to answer when the request is refused for a reason that says "not run".
    pub fn refused(&self, refusal: Refusal) -> Refusal {
        // Once it may have run, "not run" would be false.
        if self.runs == 0 {
            refusal
        } else {
            Refusal::Lost
        }
    }

    /// Tries again from the start those that refused it; those that may have run it stay left out.
    pub fn forgive(&mut self) {
        self.refusals = 0;
        self.unreached = 0;
        self.tried.clone_from(&self.ran_at);
    }

    /// Whether a sound upstream other than this one could take the request.
    pub fn has_other(&self, core: &Core, than: Option<&UpstreamId>) -> bool {
        let now = clock::now();
        let fleet = core.fleet.lock();
        let mut others = fleet.of(&self.service).filter(|up| Some(&up.id) != than);
        let shape = self.shape.as_ref();
        let is_open = |up: &Upstream| fleet.openness_for(up, shape, now) == Availability::Open;
        others.any(|up| is_open(up) && !self.tried.contains(&up.id))
    }
}
