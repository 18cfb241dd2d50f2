//! One attempt at one upstream, up to the response head.

use super::Job;
use super::headers::upstream_headers;
use super::loss::{self, BrokenAnswer};
use super::transfer::{Transfer, cache_namespace, plan_transfer};
use crate::catalogue::Kind;
use crate::clock;
use crate::core::Core;
use crate::fleet::{Flight, GatePass};
use crate::peers::{EngineUpdate, broadcast_engine_update};
use crate::ports::{AnswerHead, Dispatch};
use crate::telemetry::events;
use crate::upstream::gateway::{Destination, RelayError, RelayOutcome};
use crate::upstream::routes::{Routes, exchange};
use crate::upstream::{Exchange, SendError};
use http::{Request, StatusCode};
use http_body_util::Full;
use sesamegap_policy::routing::gateways::MAX_GATEWAYS;
use sesamegap_wire::{Moment, UpstreamId};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};
use tracing::{info, warn};

/// How long an upstream that refused a request gets no further ones.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(150);

/// How often a waiting request checks whether newer weights were announced; a small fraction of the
/// seconds for which older ones may still be used.
const WEIGHTS_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Time to read a response that has already arrived before its request is withdrawn: a VM that was paused finds the
/// deadline expired and the response in its socket at the same moment.
pub const READ_GRACE: Duration = Duration::from_millis(30);

/// Why a request was withdrawn.
pub const WEIGHTS_EXPIRED: &str = "engine did not begin before its weights expired";

/// The outcome of an attempt.
#[derive(Debug)]
pub enum Outcome {
    /// The response head arrived.
    Answered(Box<Answered>),
    /// The request did not run and will not.
    NotRun(NotRun),
    /// The request may have run or still be running; the text says what was seen.
    Lost(String),
}

/// Why an attempt did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// The connection could not be opened.
    Unreached,
    /// The upstream refused it.
    Refused,
    /// The upstream is brittle and has no room, as the VM counts through which its requests pass.
    Full,
    /// The engine has other weights than this VM assumed, and reported which.
    OtherWeights,
}

/// A response whose head has arrived; the body has not been read.
#[derive(Debug)]
pub struct Answered {
    /// Counts the request at its upstream until dropped.
    pub flight: Flight,
    /// The response and its connection.
    pub exchange: Exchange,
    /// When the request was sent.
    pub sent: Instant,
}

/// Sends a request to an upstream and waits for the response head.
pub async fn send(
    core: &Arc<Core>,
    job: &Job,
    flight: Flight,
    head_timeout: Duration,
    resume_after: Option<u64>,
) -> (UpstreamId, Outcome) {
    let id = flight.id.clone();
    if let Some(charge) = &job.charge {
        charge.record_sent();
    }
    let outcome = await_head(core, job, flight, head_timeout, resume_after).await;
    match &outcome {
        Outcome::Answered(_) => {}
        Outcome::NotRun(why) => {
            if let Some(charge) = &job.charge {
                charge.record_not_run();
            }
            core.metrics.count_failed_attempt(why.name());
            info!(event = events::ATTEMPT, request = %job.head.id, upstream = %id, why = ?why, "not run");
        }
        Outcome::Lost(why) => {
            core.metrics.count_failed_attempt("lost");
            warn!(event = events::ATTEMPT, request = %job.head.id, upstream = %id, why, "no valid response");
        }
    }
    (id, outcome)
}

async fn await_head(
    core: &Arc<Core>,
    job: &Job,
    mut flight: Flight,
    head_timeout: Duration,
    resume_after: Option<u64>,
) -> Outcome {
    let sent = Instant::now();
    let mut dispatch = build_dispatch(core, job, &mut flight, resume_after);
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
        software = %flight.software,
        after = dispatch.after,
        resumes = job.head.resumes.as_deref(),
        overtaken_ms = flight.superseded_at().map(|at| clock::millis(clock::now().since(at))),
        fetch = dispatch.fetch.map(tracing::field::display),
        save = dispatch.save.map(tracing::field::display),
        left_ms = clock::millis(dispatch.time_left),
        "sent"
    );
    let deadline = job.deadline.min(sent + head_timeout);
    let mut routes = AttemptRoutes {
        core,
        job,
        flight: &flight,
        dispatch: &mut dispatch,
    };
    let answer = timeout_at(deadline, exchange(&mut routes));
    let streams = job.route.kind.is_stream();
    let answer = tokio::select! {
        // A response that has already arrived takes precedence over the expiry of the weights.
        biased;
        answer = answer => answer,
        // A plain response arrives only once it is complete, so there is no telling whether it has begun.
        () = until_weights_expire(&flight), if streams => return Outcome::Lost(WEIGHTS_EXPIRED.to_owned()),
    };
    let exchange = match answer {
        Ok(Ok((exchange, gate_pass))) => {
            flight.gate_pass = gate_pass;
            exchange
        }
        Ok(Err(SendError::Unreached(error))) => {
            flight.record_failure(clock::now());
            info!(event = events::ATTEMPT, request = %job.head.id, upstream = %flight.id, error, "no connection");
            return Outcome::NotRun(NotRun::Unreached);
        }
        Ok(Err(SendError::Full)) => return Outcome::NotRun(NotRun::Full),
        Ok(Err(SendError::Broken(why))) => {
            flight.record_failure(clock::now());
            loss::report_broken_connection(core, job, &mut flight, sent, false).await;
            return Outcome::Lost(why);
        }
        Err(_) => {
            BrokenAnswer::new(job, &mut flight, sent, false).report_silence(core);
            if flight.last_received() < clock::ago(head_timeout) {
                flight.record_failure(clock::now());
            }
            return Outcome::Lost("no response head before the timeout".to_owned());
        }
    };
    classify_answer(core, job, flight, exchange, sent)
}

/// The ways from this VM to the upstream of an attempt.
struct AttemptRoutes<'a> {
    core: &'a Core,
    job: &'a Job,
    flight: &'a Flight,
    dispatch: &'a mut Dispatch,
}

impl Routes for AttemptRoutes<'_> {
    type Pass = GatePass;

    fn upstream(&self) -> Destination {
        Destination {
            id: self.flight.id.clone(),
            life: self.flight.life(),
        }
    }

    fn addrs(&self) -> (IpAddr, SocketAddr) {
        let from = self.core.settings().listen.callers.ip();
        (from, self.flight.addr)
    }

    fn is_brittle(&self) -> bool {
        let fleet = self.core.fleet.lock();
        fleet.is_brittle(self.job.service(), clock::now())
    }

    fn is_partitioned(&self) -> bool {
        self.core.fleet.lock().is_partitioned()
    }

    fn counting_vms(&self) -> Vec<Option<SocketAddr>> {
        let peers = &self.core.peers;
        let mut vms = peers.first_ranked(MAX_GATEWAYS, self.flight.life());
        vms.retain(|vm| vm.is_none_or(|vm| !peers.is_gateway_avoided(vm)));
        vms
    }

    fn gateways(&self) -> Vec<SocketAddr> {
        self.core.peers.gateways_to(&self.flight.domain)
    }

    fn take_pass(&self) -> Option<GatePass> {
        let Flight { id, .. } = self.flight;
        GatePass::take(&self.core.fleet, id, self.flight.life(), clock::now())
    }

    fn build_request(&mut self) -> Result<Request<Full<hyper::body::Bytes>>, SendError> {
        // The time that failed ways took is no longer left.
        self.dispatch.time_left = self.job.time_left();
        let request = build_request(self.core, self.job, self.dispatch);
        request.map_err(|error| SendError::Broken(error.to_string()))
    }

    fn record_connection(&self, began: Moment, is_connected: bool) {
        let life = self.flight.life();
        self.core.record_connection(life, began, is_connected);
    }

    fn record_relay(&self, gateway: SocketAddr, outcome: Result<(), &RelayError>) {
        let error = outcome.err();
        info!(event = events::GATEWAY, request = %self.job.head.id, upstream = %self.flight.id, %gateway, ?error, "sent through a peer");
        match error {
            Some(RelayError::Declined(RelayOutcome::Unreached)) => {
                self.flight.record_peer_failure(clock::now());
            }
            None
            | Some(
                RelayError::Broken(_)
                | RelayError::Declined(RelayOutcome::Unlisted | RelayOutcome::Full),
            ) => {}
            Some(RelayError::Declined(_) | RelayError::NoGateway(_)) => {
                self.core.peers.avoid_gateway(gateway);
            }
        }
    }
}

/// Waits until a request that has not begun must be withdrawn from its engine.
///
/// A request queued at an engine with old weights could otherwise begin on them after they must no longer be
/// used, and the caller could not tell that the response is wrong. The engine drops a request whose connection
/// closes; it is then retried elsewhere if the route allows it.
async fn until_weights_expire(flight: &Flight) {
    loop {
        let left = flight.time_to_start(clock::now());
        if left.is_some_and(|left| left.is_zero()) {
            sleep(READ_GRACE).await;
            return;
        }
        // Newer weights may be announced while it waits.
        sleep(
            left.unwrap_or(WEIGHTS_POLL_INTERVAL)
                .min(WEIGHTS_POLL_INTERVAL),
        )
        .await;
    }
}

/// Checks that a response belongs to this request, and determines whether the request ran.
fn classify_answer(
    core: &Core,
    job: &Job,
    mut flight: Flight,
    exchange: Exchange,
    sent: Instant,
) -> Outcome {
    let now = clock::now();
    flight.record_response(now);
    let status = exchange.response.status();
    let answer_head = core.ports.headers.read_answer(exchange.response.headers());
    if let Some(load) = answer_head.load {
        flight.record_load(load, now);
    }
    record_brittle(core, job, &flight, &answer_head, status);
    if answer_head.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::NotRun(handle_refusal(core, job, &flight, &answer_head, status));
    }
    // Keeps a late or extra response to another request from reaching this caller.
    if answer_head.id.as_ref().is_some_and(|id| *id != job.head.id) {
        return Outcome::Lost("response carries another request's id".to_owned());
    }
    if status.is_success() && !answer_head.sealed {
        return Outcome::Lost("successful response has no seal".to_owned());
    }
    flight.record_received(now);
    if let (Some(version), Some(model)) = (answer_head.weights, &job.head.model) {
        flight.record_version(model, version);
    }
    Outcome::Answered(Box::new(Answered {
        flight,
        exchange,
        sent,
    }))
}

/// Records whether the upstream says that it is brittle, and whether it had room.
fn record_brittle(
    core: &Core,
    job: &Job,
    flight: &Flight,
    answer_head: &AnswerHead,
    status: StatusCode,
) {
    let now = clock::now();
    if let Some(pass) = &flight.gate_pass {
        let is_rejected = answer_head.not_run && status != StatusCode::MISDIRECTED_REQUEST;
        pass.record_answer(is_rejected, now);
    }
    let mut fleet = core.fleet.lock();
    if fleet.record_brittle(job.service(), answer_head.brittle, now) {
        info!(event = events::BRITTLE, service = %job.service(), upstream = %flight.id, bound = answer_head.brittle, "upstreams of a service are brittle or no longer so");
    }
}

/// Records what a refusal says about the upstream and returns the reason for a retry.
fn handle_refusal(
    core: &Core,
    job: &Job,
    flight: &Flight,
    answer_head: &AnswerHead,
    status: StatusCode,
) -> NotRun {
    let now = clock::now();
    let replaced = status == StatusCode::MISDIRECTED_REQUEST
        && answer_head
            .upstream
            .as_ref()
            .is_some_and(|id| *id != flight.id);
    if replaced {
        // Another instance has the address, so the intended one is gone for good. The fleet list drops it only
        // after missed heartbeats.
        broadcast_engine_update(core, EngineUpdate::gone(flight.id.clone(), flight.born));
        return NotRun::Refused;
    }
    if let (Some(version), Some(model)) = (answer_head.weights, &job.head.model) {
        flight.record_version(model, version);
        if status == StatusCode::MISDIRECTED_REQUEST && flight.weights != Some(version) {
            return NotRun::OtherWeights;
        }
    }
    flight.pause_at_least(now + REFUSAL_BACKOFF);
    NotRun::Refused
}

fn build_dispatch(
    core: &Core,
    job: &Job,
    flight: &mut Flight,
    resume_after: Option<u64>,
) -> Dispatch {
    let isolated = job.team.as_ref().filter(|team| team.isolated);
    let is_prompt = job.head.model.is_some();
    let namespace = cache_namespace(flight.weights, isolated.map(|team| team.name.as_str()));
    let transfer = if is_prompt {
        plan_transfer(core, job, flight)
    } else {
        Transfer::default()
    };
    Dispatch {
        time_left: job.time_left(),
        upstream: Some(flight.id.clone()),
        team: job.team.as_ref().map(|team| team.name.clone()),
        namespace: is_prompt.then_some(namespace),
        weights: flight.weights.filter(|_| is_prompt),
        fetch: transfer.fetch,
        save: transfer.save,
        priority: is_prompt.then_some(job.priority()),
        after: resume_after,
    }
}

fn build_request(
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
    *request.headers_mut() = upstream_headers(&job.headers, dispatch, core.ports.headers.as_ref());
    Ok(request)
}

/// Whether a status would tell the caller that a non-idempotent request did not run.
///
/// Upstreams report that explicitly by a header; without it the request may have run, and a caller that
/// reads the status as "not run" would send it again.
pub fn falsely_implies_not_run(kind: Kind, status: StatusCode) -> bool {
    let implied = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
    ];
    kind != Kind::Idempotent && implied.contains(&status)
}

impl NotRun {
    /// The metric label.
    fn name(self) -> &'static str {
        match self {
            Self::Unreached => "unreached",
            Self::Refused => "refused",
            Self::Full => "full",
            Self::OtherWeights => "other_weights",
        }
    }
}
