//! One request at one upstream, up to the head of the answer.

use super::Job;
use super::head::for_upstream;
use super::loss::{self, BrokenAnswer};
use super::transfer::{Transfer, namespace, transfer};
use crate::catalogue::Kind;
use crate::clock;
use crate::core::Core;
use crate::fleet::Flight;
use crate::peers::{EngineUpdate, broadcast_engine_update};
use crate::ports::{AnswerHead, Dispatch};
use crate::telemetry::events;
use crate::upstream::{self, Exchange, SendError};
use http::{Request, StatusCode};
use http_body_util::Full;
use sesamegap_wire::UpstreamId;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};
use tracing::{info, warn};

/// How long nothing goes to an upstream that refused work for the moment.
const REFUSED_PAUSE: Duration = Duration::from_millis(150);

/// How often it is looked whether weights were named while a request waits; a small part of the
/// seconds for which older ones may be used.
const NAMED: Duration = Duration::from_millis(300);

/// Time for an answer that lies ready to be read before its request is taken back: a VM that stood still finds
/// the time over and the answer in its socket at once.
pub const READY: Duration = Duration::from_millis(30);

/// Why a request was taken back.
pub const OUTDATED: &str = "not begun before its weights were too old";

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
    /// The engine holds other weights than this VM believed, and said which.
    OtherWeights,
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

/// Sends a request to an upstream and waits for the head of the answer.
pub async fn send(
    core: &Arc<Core>,
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
            info!(event = events::ATTEMPT, request = %job.head.id, upstream = %id, why = ?why, "not run");
        }
        Outcome::Lost(why) => {
            core.metrics.attempt("lost");
            warn!(event = events::ATTEMPT, request = %job.head.id, upstream = %id, why, "no answer");
        }
    }
    (id, outcome)
}

async fn exchange(
    core: &Arc<Core>,
    job: &Job,
    mut flight: Flight,
    patience: Duration,
    after: Option<u64>,
) -> Outcome {
    let sent = Instant::now();
    let dispatch = dispatch_for(core, job, &mut flight, after);
    info!(
        event = events::PLACED,
        request = %job.head.id,
        fingerprint = %job.fingerprint(),
        route = %job.route.name,
        revision = job.catalogue.revision().0,
        upstream = %flight.id,
        owner = flight.owner().map(tracing::field::display),
        running = flight.running,
        unread = flight.ahead,
        tokens = flight.tokens(),
        weights = flight.weights.map(|version| version.0),
        overtaken_ms = flight.overtaken().map(|at| clock::millis(clock::now().since(at))),
        fetch = dispatch.fetch.map(tracing::field::display),
        save = dispatch.save.map(tracing::field::display),
        left_ms = clock::millis(dispatch.time_left),
        "sent"
    );
    let request = match build(core, job, &dispatch) {
        Ok(request) => request,
        Err(error) => return Outcome::Lost(error.to_string()),
    };
    let until = job.ends.min(sent + patience);
    let answer = timeout_at(until, upstream::send(flight.addr, request));
    let streams = job.route.kind.streams();
    let answer = tokio::select! {
        // An answer that lies ready goes before the end of the time to begin.
        biased;
        answer = answer => answer,
        // Nothing is heard of a whole answer until it ends, so nobody could tell that it has not begun.
        () = outdated(&flight), if streams => return Outcome::Lost(OUTDATED.to_owned()),
    };
    let exchange = match answer {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(SendError::Unreached(_))) => {
            flight.failed(clock::now());
            return Outcome::NotRun(NotRun::Unreached);
        }
        Ok(Err(SendError::Broken(why))) => {
            flight.failed(clock::now());
            loss::broke(core, job, &mut flight, sent, false).await;
            return Outcome::Lost(why);
        }
        Err(_) => {
            BrokenAnswer::new(job, &mut flight, sent, false).silent(core);
            if flight.last_heard() < clock::ago(patience) {
                flight.failed(clock::now());
            }
            return Outcome::Lost("no head in time".to_owned());
        }
    };
    judge(core, job, flight, exchange, sent)
}

/// Waits until a request that has not begun must be taken back from its engine.
///
/// What waits at an engine with old weights would else begin on them after nobody may use them any
/// more; a caller would notice nothing but the wrong answer. Closing the connection has the engine
/// drop it, and it goes elsewhere if it may be repeated.
async fn outdated(flight: &Flight) {
    loop {
        let left = flight.left_to_begin(clock::now());
        if left.is_some_and(|left| left.is_zero()) {
            sleep(READY).await;
            return;
        }
        // Weights may be named while it waits.
        sleep(left.unwrap_or(NAMED).min(NAMED)).await;
    }
}

/// Decides whether an answer is one to this request, and whether the request was run.
fn judge(core: &Core, job: &Job, mut flight: Flight, exchange: Exchange, sent: Instant) -> Outcome {
    let now = clock::now();
    flight.reached(now);
    let status = exchange.response.status();
    let answer_head = core.ports.headers.read_answer(exchange.response.headers());
    if let Some(load) = answer_head.load {
        flight.loaded(load, now);
    }
    if answer_head.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::NotRun(refused(core, job, &flight, &answer_head, status));
    }
    // A late or extra answer to another request would otherwise reach this caller.
    if answer_head.id.as_ref().is_some_and(|id| *id != job.head.id) {
        return Outcome::Lost("an answer to another request".to_owned());
    }
    if status.is_success() && !answer_head.sealed {
        return Outcome::Lost("a success without a seal".to_owned());
    }
    flight.heard(now);
    if let (Some(version), Some(model)) = (answer_head.weights, &job.head.model) {
        flight.holds(model, version);
    }
    Outcome::Answered(Box::new(Answered {
        flight,
        exchange,
        sent,
    }))
}

/// Learns from an upstream's refusal.
fn refused(
    core: &Core,
    job: &Job,
    flight: &Flight,
    answer_head: &AnswerHead,
    status: StatusCode,
) -> NotRun {
    let now = clock::now();
    let moved = status == StatusCode::MISDIRECTED_REQUEST
        && answer_head
            .upstream
            .as_ref()
            .is_some_and(|id| *id != flight.id);
    if moved {
        // The one that was meant is gone for good; the list drops it only after it missed heartbeats.
        broadcast_engine_update(core, EngineUpdate::gone(flight.id.clone(), flight.born));
        return NotRun::Refused;
    }
    if let (Some(version), Some(model)) = (answer_head.weights, &job.head.model) {
        flight.holds(model, version);
        if status == StatusCode::MISDIRECTED_REQUEST && flight.weights != Some(version) {
            return NotRun::OtherWeights;
        }
    }
    flight.paused(now + REFUSED_PAUSE);
    NotRun::Refused
}

fn dispatch_for(core: &Core, job: &Job, flight: &mut Flight, after: Option<u64>) -> Dispatch {
    let isolated = job.team.as_ref().filter(|team| team.isolated);
    let is_prompt = job.head.model.is_some();
    let priority = job.team.as_ref().and_then(|team| team.priority);
    let priority = priority.unwrap_or(job.route.priority);
    let namespace = namespace(flight.weights, isolated.map(|team| team.name.as_str()));
    let transfer = if is_prompt {
        transfer(core, job, flight)
    } else {
        Transfer::default()
    };
    Dispatch {
        time_left: job.left(),
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

fn build(
    core: &Core,
    job: &Job,
    dispatch: &Dispatch,
) -> Result<Request<Full<hyper::body::Bytes>>, http::Error> {
    let target = job
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let mut request = Request::builder()
        .method(job.method.clone())
        .uri(target)
        .body(Full::new(job.body.clone()))?;
    *request.headers_mut() = for_upstream(&job.headers, dispatch, core.ports.headers.as_ref());
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
            Self::OtherWeights => "other_weights",
        }
    }
}
