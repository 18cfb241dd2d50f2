//! One request at one upstream, up to the head of the answer.

use super::Job;
use super::head::for_upstream;
use crate::catalogue::Kind;
use crate::clock;
use crate::core::Core;
use crate::fleet::{Flight, Pick, Wanted};
use crate::ports::{Said, Told};
use crate::telemetry::events;
use crate::upstream::{self, Exchange, SendError};
use http::{Request, StatusCode};
use http_body_util::Full;
use sesamegap_policy::routing::Openness;
use sesamegap_wire::{ServiceId, UpstreamId, WeightsVersion};
use smol_str::{SmolStr, format_smolstr};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};
use tracing::{info, warn};

/// How long nothing goes to an upstream that refused work for the moment.
const REFUSED_PAUSE: Duration = Duration::from_millis(150);

/// How long nothing goes to an address that another instance has taken over; the list drops the
/// entry within that time.
const MOVED_PAUSE: Duration = Duration::from_secs(6);

/// Time with which an attempt is still worth beginning.
pub const LEAST_LEFT: Duration = Duration::from_millis(30);

/// Refusals by upstreams after which a request is refused itself: with that many full, the next
/// one is most likely full too, and each costs a place in the fleet's budget.
const MOST_REFUSALS: u32 = 3;

/// Failed connects after which a request is refused itself.
const MOST_UNREACHED: u32 = 4;

/// What became of an attempt.
#[derive(Debug)]
pub enum Outcome {
    /// The head of its answer came.
    Answered(Box<Answered>),
    /// It was not run and will not be.
    NotRun(NotRun),
    /// It may have run, or may be running.
    Lost(String),
}

/// Why an attempt was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// No connection.
    Unreached,
    /// The upstream said so.
    Refused,
}

/// The head of an answer, with the body to come.
#[derive(Debug)]
pub struct Answered {
    /// The upstream, counted there.
    pub flight: Flight,
    /// The answer.
    pub exchange: Exchange,
    /// When the request was sent.
    pub sent: Instant,
}

/// A request's way through upstreams so far.
#[derive(Debug)]
pub struct Course {
    /// The service.
    pub service: ServiceId,
    /// Its prompt's shape.
    pub pick: Option<Pick>,
    /// Attempts that may have run.
    pub runs: u32,
    tried: Vec<UpstreamId>,
    ran_at: Vec<UpstreamId>,
    refusals: u32,
    unreached: u32,
}

impl Course {
    /// The course of a request that was not sent yet.
    pub fn new(job: &Job) -> Self {
        Self {
            service: job.service().clone(),
            pick: job.pick(),
            runs: 0,
            tried: Vec::new(),
            ran_at: Vec::new(),
            refusals: 0,
            unreached: 0,
        }
    }

    /// Chooses the next upstream.
    pub fn choose(&self, core: &Core, job: &Job) -> Option<Flight> {
        let spread = usize::try_from(job.hash() >> 40).unwrap_or(0);
        let settings = core.settings();
        let wanted = Wanted {
            service: &self.service,
            domain: &settings.domain,
            store: job.catalogue.kv_store().map(|store| &store.domain),
            pick: self.pick.as_ref(),
            tried: &self.tried,
            spread,
        };
        core.fleet.choose(&wanted, clock::now())
    }

    /// Whether a request that was not run at `at` goes to another upstream.
    pub fn after_not_run(&mut self, core: &Core, at: UpstreamId, why: NotRun) -> bool {
        self.tried.push(at);
        match why {
            NotRun::Unreached => {
                self.unreached += 1;
                self.unreached < MOST_UNREACHED
            }
            NotRun::Refused => {
                self.refusals += 1;
                self.refusals < MOST_REFUSALS && core.may_repeat(&self.service)
            }
        }
    }

    /// Whether a request that may have run at `at` may be sent again.
    pub fn after_run(&mut self, core: &Core, job: &Job, at: UpstreamId) -> bool {
        self.ran(at);
        self.may_run_again(job) && core.may_repeat(&self.service)
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
        others.any(|up| up.openness(now) == Openness::Open && !self.tried.contains(&up.id))
    }
}

/// Sends a request to an upstream and waits for the head of the answer.
pub async fn send(
    core: &Core,
    job: &Job,
    flight: Flight,
    patience: Duration,
    after: Option<u64>,
) -> (UpstreamId, Outcome) {
    let id = flight.id.clone();
    let outcome = exchange(core, job, flight, patience, after).await;
    match &outcome {
        Outcome::Answered(_) => {}
        Outcome::NotRun(why) => {
            core.metrics.attempt(why.name());
            info!(event = events::ATTEMPT, request = %job.asked.id, upstream = %id, why = ?why, "not run");
        }
        Outcome::Lost(why) => {
            core.metrics.attempt("lost");
            warn!(event = events::ATTEMPT, request = %job.asked.id, upstream = %id, why, "no answer");
        }
    }
    (id, outcome)
}

async fn exchange(
    core: &Core,
    job: &Job,
    flight: Flight,
    patience: Duration,
    after: Option<u64>,
) -> Outcome {
    let sent = Instant::now();
    let told = tell(core, job, &flight, after);
    info!(
        event = events::PLACED,
        request = %job.asked.id,
        route = %job.route.name,
        revision = job.catalogue.revision().0,
        upstream = %flight.id,
        running = flight.running,
        unread = flight.ahead,
        tokens = flight.tokens(),
        weights = flight.weights.map(|version| version.0),
        fetch = told.fetch.map(tracing::field::display),
        save = told.save.map(tracing::field::display),
        left_ms = clock::ms(told.left),
        "sent"
    );
    let request = match build(core, job, &told) {
        Ok(request) => request,
        Err(error) => return Outcome::Lost(error.to_string()),
    };
    let until = job.ends.min(sent + patience);
    let exchange = match timeout_at(until, upstream::send(flight.addr, request)).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(SendError::Unreached(_))) => {
            flight.failed(clock::now());
            return Outcome::NotRun(NotRun::Unreached);
        }
        Ok(Err(SendError::Broken(why))) => {
            flight.failed(clock::now());
            return Outcome::Lost(why);
        }
        Err(_) => {
            if flight.last_heard() < clock::now_less(patience) {
                flight.failed(clock::now());
            }
            return Outcome::Lost("no head in time".to_owned());
        }
    };
    judge(core, job, flight, exchange, sent)
}

/// Decides whether an answer is one to this request, and whether the request was run.
fn judge(core: &Core, job: &Job, mut flight: Flight, exchange: Exchange, sent: Instant) -> Outcome {
    let now = clock::now();
    let status = exchange.response.status();
    let said = core
        .ports
        .headers
        .said(status.as_u16(), exchange.response.headers());
    if let Some(load) = said.load {
        flight.loaded(load, now);
    }
    if said.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        refused(job, &flight, &said, status);
        return Outcome::NotRun(NotRun::Refused);
    }
    // A late or extra answer to another request would otherwise reach this caller.
    if said.id.as_ref().is_some_and(|id| *id != job.asked.id) {
        return Outcome::Lost("an answer to another request".to_owned());
    }
    if status.is_success() && !said.sealed {
        return Outcome::Lost("a success without a seal".to_owned());
    }
    flight.heard(now);
    if let (Some(version), Some(model)) = (said.weights, &job.asked.model) {
        flight.holds(model, version);
    }
    Outcome::Answered(Box::new(Answered {
        flight,
        exchange,
        sent,
    }))
}

/// Learns from an upstream's refusal.
fn refused(job: &Job, flight: &Flight, said: &Said, status: StatusCode) {
    let now = clock::now();
    let moved = status == StatusCode::MISDIRECTED_REQUEST
        && said.upstream.as_ref().is_some_and(|id| *id != flight.id);
    if moved {
        flight.paused(now + MOVED_PAUSE);
        return;
    }
    if let (Some(version), Some(model)) = (said.weights, &job.asked.model) {
        flight.holds(model, version);
    }
    flight.paused(now + REFUSED_PAUSE);
}

fn tell(core: &Core, job: &Job, flight: &Flight, after: Option<u64>) -> Told {
    let isolated = job.team.as_ref().filter(|team| team.isolated);
    let is_prompt = job.asked.model.is_some();
    let priority = job.team.as_ref().and_then(|team| team.priority);
    let priority = priority.unwrap_or(job.route.priority);
    let namespace = namespace(flight.weights, isolated.map(|team| team.name.as_str()));
    let transfer = if is_prompt {
        transfer(core, job, flight, &namespace)
    } else {
        Transfer::default()
    };
    Told {
        left: job.left(),
        upstream: Some(flight.id.clone()),
        team: job.team.as_ref().map(|team| team.name.clone()),
        namespace: is_prompt.then_some(namespace),
        weights: flight.weights.filter(|_| is_prompt),
        fetch: transfer.fetch,
        save: transfer.save,
        priority: is_prompt.then_some(priority),
        after,
    }
}

/// Where cached parts come from and go to.
#[derive(Debug, Default)]
struct Transfer {
    fetch: Option<SocketAddr>,
    save: Option<SocketAddr>,
}

/// Longest own part of a prompt that is sent to be kept along with the shared ones: nobody asks
/// for it again, and it takes the store's link and room from what is shared.
const OWN_KEPT: u64 = 4_000;

/// Tokens sent through the store in 0.4 s beyond which it is left alone: its link carries 50 to 100
/// in a millisecond, less between failure domains.
const STORE_SPAN: u64 = 600_000;

/// The same for short prompts, which lose little when they are read again, and should not wait.
const STORE_SPAN_SHORT: u64 = 400_000;

/// The same for saves, which can be made with a later prompt.
const STORE_SPAN_SAVE: u64 = 300_000;

/// Shared tokens up to which a prompt counts as short here.
const SHORT: u64 = 1_000;

/// How long an engine surely still holds what it has just served; its memory turns over in several
/// seconds at full load.
const STILL_HELD: Duration = Duration::from_secs(2);

/// Decides which transfers a prompt is worth.
fn transfer(core: &Core, job: &Job, flight: &Flight, namespace: &SmolStr) -> Transfer {
    let store = job.catalogue.kv_store().map(|store| store.addr);
    let Some((own, shared)) = job.asked.parts.split_last() else {
        return Transfer::default();
    };
    let now = clock::now();
    let served = flight.last_served();
    let has = served.is_some_and(|at| now.since(at) < STILL_HELD);
    let tokens: u64 = shared.iter().map(|part| part.tokens.0).sum();
    let span = if tokens <= SHORT {
        STORE_SPAN_SHORT
    } else {
        STORE_SPAN
    };
    let (held, saves) = {
        let mut fleet = core.fleet.lock();
        let busy = fleet.moving(now);
        let held = fleet.kept.holds(namespace, shared) && busy < span;
        let worth = !held && own.tokens.0 <= OWN_KEPT && busy < STORE_SPAN_SAVE;
        (held, worth && fleet.kept.ask(namespace, shared))
    };
    let fetches = held && !has;
    if fetches || saves {
        let kept = if saves { own.tokens.0 + tokens } else { 0 };
        let moved = if fetches { tokens } else { kept };
        core.fleet.lock().moves.note(moved, now);
    }
    Transfer {
        fetch: store.filter(|_| fetches).or(flight.source.filter(|_| !has)),
        save: store.filter(|_| saves),
    }
}

/// Cache entries are found only under the weights that made them and, for isolated teams, the team.
fn namespace(weights: Option<WeightsVersion>, team: Option<&str>) -> SmolStr {
    let version = weights.unwrap_or_default();
    if let Some(team) = team {
        format_smolstr!("w{version}.{team}")
    } else {
        format_smolstr!("w{version}")
    }
}

fn build(
    core: &Core,
    job: &Job,
    told: &Told,
) -> Result<Request<Full<hyper::body::Bytes>>, http::Error> {
    let target = job
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let mut request = Request::builder()
        .method(job.method.clone())
        .uri(target)
        .body(Full::new(job.body.clone()))?;
    *request.headers_mut() = for_upstream(&job.headers, told, core.ports.headers.as_ref());
    Ok(request)
}

/// Whether a status promises that nothing was run, which only an upstream that says so may do.
pub fn is_false_promise(kind: Kind, status: StatusCode) -> bool {
    let promises = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
    ];
    kind != Kind::Idempotent && promises.contains(&status)
}

impl NotRun {
    /// A name for metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Unreached => "unreached",
            Self::Refused => "refused",
        }
    }
}

impl fmt::Display for NotRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreached => "no connection",
            Self::Refused => "refused by the upstream",
        })
    }
}
