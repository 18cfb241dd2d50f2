//! One attempt at one upstream, up to the response head.

use super::Job;
use super::headers::upstream_headers;
use super::loss::{self, BrokenAnswer};
use super::transfer::{Transfer, cache_namespace, plan_transfer};
use crate::catalogue::Kind;
use crate::clock;
use crate::core::Core;
use crate::fleet::Flight;
use crate::peers::{EngineUpdate, broadcast_engine_update};
use crate::ports::{AnswerHead, Dispatch};
use crate::telemetry::events;
use crate::upstream::gateway::{self, Destination, RelayError, RelayOutcome};
use crate::upstream::{self, Exchange, SendError};
use http::{Request, StatusCode};
use http_body_util::Full;
use sesamegap_wire::UpstreamId;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
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
        overtaken_ms = flight.superseded_at().map(|at| clock::millis(clock::now().since(at))),
        fetch = dispatch.fetch.map(tracing::field::display),
        save = dispatch.save.map(tracing::field::display),
        left_ms = clock::millis(dispatch.time_left),
        "sent"
    );
    let deadline = job.deadline.min(sent + head_timeout);
    let answer = timeout_at(deadline, exchange(core, job, &flight, &mut dispatch));
    let streams = job.route.kind.is_stream();
    let answer = tokio::select! {
        // A response that has already arrived takes precedence over the expiry of the weights.
        biased;
        answer = answer => answer,
        // A plain response arrives only once it is complete, so there is no telling whether it has begun.
        () = until_weights_expire(&flight), if streams => return Outcome::Lost(WEIGHTS_EXPIRED.to_owned()),
    };
    let exchange = match answer {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(SendError::Unreached(error))) => {
            flight.record_failure(clock::now());
            info!(event = events::ATTEMPT, request = %job.head.id, upstream = %flight.id, error, "no connection");
            return Outcome::NotRun(NotRun::Unreached);
        }
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

/// Sends a request to its upstream, or through a peer while this VM reaches no upstream.
async fn exchange(
    core: &Core,
    job: &Job,
    flight: &Flight,
    dispatch: &mut Dispatch,
) -> Result<Exchange, SendError> {
    if !core.fleet.lock().is_partitioned() {
        match connect(core, flight).await {
            Ok(stream) => return upstream::send(stream, build_request(core, job, dispatch)?).await,
            Err(error) if !core.fleet.lock().is_partitioned() => return Err(error),
            // This failure shows that the VM is partitioned, so the upstream may be well.
            Err(_) => {}
        }
    }
    exchange_through_peers(core, job, flight, dispatch).await
}

/// Connects to an upstream, and records whether it accepted the connection.
async fn connect(core: &Core, flight: &Flight) -> Result<TcpStream, SendError> {
    let began = clock::now();
    let from = core.settings().listen.callers.ip();
    let connected = upstream::connect(from, flight.addr).await;
    core.record_connection(flight.life(), began, connected.is_ok());
    connected
}

/// Sends a request through the first peer that sends it on.
async fn exchange_through_peers(
    core: &Core,
    job: &Job,
    flight: &Flight,
    dispatch: &mut Dispatch,
) -> Result<Exchange, SendError> {
    let from = core.settings().listen.callers.ip();
    let destination = Destination {
        id: flight.id.clone(),
        life: flight.life(),
    };
    for gateway in core.peers.gateways_to(&flight.domain) {
        // The time that failed gateways took is no longer left.
        dispatch.time_left = job.time_left();
        let request = build_request(core, job, dispatch)?;
        let sent = gateway::send_through(from, gateway, &destination, request).await;
        let error = match sent {
            Ok(exchange) => {
                info!(event = events::GATEWAY, request = %job.head.id, upstream = %flight.id, %gateway, "sent through a peer");
                return Ok(exchange);
            }
            Err(error) => error,
        };
        info!(event = events::GATEWAY, request = %job.head.id, upstream = %flight.id, %gateway, ?error, "not sent through a peer");
        match error {
            RelayError::Broken(why) => return Err(SendError::Broken(why)),
            RelayError::Declined(RelayOutcome::Unreached) => {
                flight.record_peer_failure(clock::now());
                return Err(SendError::Unreached("not reached by a peer".to_owned()));
            }
            RelayError::Declined(RelayOutcome::Unlisted) => {}
            RelayError::Declined(_) | RelayError::NoGateway(_) => core.peers.avoid_gateway(gateway),
        }
    }
    Err(SendError::Unreached("no peer sends it on".to_owned()))
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
) -> Result<Request<Full<hyper::body::Bytes>>, SendError> {
    let invalid = |error: http::Error| SendError::Broken(error.to_string());
    let target = job
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let mut request = Request::builder()
        .method(job.method.clone())
        .uri(target)
        .body(Full::new(job.body.clone()))
        .map_err(invalid)?;
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
            Self::OtherWeights => "other_weights",
        }
    }
}
