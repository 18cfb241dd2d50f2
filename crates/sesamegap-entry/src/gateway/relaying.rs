//! One request of a peer on its way to an upstream and back.

use crate::clock;
use crate::core::{ActiveRequestGuard, Arrival, Core};
use crate::fleet::{GatePass, confirm_running};
use crate::limits::acquire::{Closed, acquire, renew};
use crate::relay::strip_hop_by_hop;
use crate::telemetry::events;
use crate::upstream::gateway::{self, DECLINED_STATUS, Destination, RelayOutcome};
use crate::upstream::{self, BrokenBody, Exchange, SendError, TimeLimit};
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use sesamegap_http::serving::guard_body;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use tracing::info;

/// Stands for the time left to a request that states none.
const UNLIMITED: Duration = Duration::from_hours(1);

/// The response body for a peer.
type RelayedBody = UnsyncBoxBody<Bytes, BrokenBody>;

/// What a request holds until its response has ended.
type Permits = (OwnedSemaphorePermit, Option<GatePass>);

/// Sends a peer's request on to its upstream and returns the response, or why there is none.
pub async fn relay(
    core: Arc<Core>,
    request: Request<Incoming>,
    from: Option<SocketAddr>,
    permits: Arc<Semaphore>,
) -> Response<RelayedBody> {
    let head = core.ports.headers.read_request(request.headers());
    let timeout = head.as_ref().ok().and_then(|head| head.timeout);
    let id = head.map(|head| head.id).unwrap_or_default();
    let received = Instant::now();
    let limit = TimeLimit {
        sent: received,
        until: received + timeout.unwrap_or(UNLIMITED),
    };
    let active = ActiveRequestGuard::new(&core.active, id.clone(), Arrival::alone());
    let mut destination = None;
    let sent = match gateway::unwrap(request) {
        // The peer has no excuse for a request that is cut here.
        Some(_) if !core.ends_before_exit(limit.until) => Err(RelayOutcome::Stopping),
        Some((upstream, is_counted, request)) => {
            destination = Some(upstream.id.clone());
            send(&core, &upstream, is_counted, request, (&id, limit), permits).await
        }
        None => Err(RelayOutcome::Unlisted),
    };
    let outcome = sent.as_ref().err().copied();
    let outcome = outcome.unwrap_or(RelayOutcome::Answered);
    core.metrics.count_relayed(outcome.name());
    info!(
        event = events::GATEWAY,
        request = %id,
        peer = from.map(tracing::field::display),
        upstream = destination.map(tracing::field::display),
        outcome = %outcome,
        "request of a peer"
    );
    match sent {
        Ok((exchange, permits)) => respond(exchange, (active, permits)),
        Err(outcome) => decline(outcome),
    }
}

async fn send(
    core: &Core,
    destination: &Destination,
    is_counted: bool,
    mut request: Request<Incoming>,
    (id, limit): (&SmolStr, TimeLimit),
    permits: Arc<Semaphore>,
) -> Result<(Exchange, Permits), RelayOutcome> {
    let addr = locate(core, destination)?;
    let permit = permits.try_acquire_owned();
    let permit = permit.map_err(|_| RelayOutcome::Busy)?;
    let limited = |Closed| RelayOutcome::Full;
    let send_permit = acquire(core, destination, id).await.map_err(limited)?;
    let gate_pass = if is_counted {
        let pass = GatePass::take(&core.fleet, &destination.id, destination.life, clock::now());
        Some(pass.ok_or(RelayOutcome::Full)?)
    } else {
        None
    };
    let began = clock::now();
    let from = core.settings().listen.callers.ip();
    let connected = upstream::connect(from, addr).await;
    core.record_connection(destination.life, began, connected.is_ok());
    let Ok(stream) = connected else {
        let mut fleet = core.fleet.lock();
        fleet.record_failure(&destination.id, clock::now());
        return Err(RelayOutcome::Unreached);
    };
    *request.headers_mut() = strip_hop_by_hop(request.headers(), core.ports.headers.essential());
    let send_permit = renew(core, destination, id, send_permit).await;
    let send_permit = send_permit.map_err(limited)?;
    let sent = upstream::send(stream, &core.connections, request, send_permit).await;
    let exchange = sent.map_err(|error| match error {
        SendError::Unreached(_) => RelayOutcome::Unreached,
        SendError::Full | SendError::Limited => RelayOutcome::Full,
        SendError::Broken(_) => RelayOutcome::Broken,
    })?;
    if let Some(pass) = &gate_pass {
        let head = core.ports.headers.read_answer(exchange.response.headers());
        let is_rejected =
            head.not_run && exchange.response.status() != StatusCode::MISDIRECTED_REQUEST;
        pass.record_answer(is_rejected, clock::now());
    }
    let fleet = core.fleet.clone();
    let Destination { id, life } = destination.clone();
    let connections = core.connections.clone();
    let is_running = |time| confirm_running(fleet, id, life, (from, addr), connections, time);
    Ok((exchange.confirm_end(limit, is_running), (permit, gate_pass)))
}

/// The address of an upstream to which this VM would send requests of its own.
fn locate(core: &Core, destination: &Destination) -> Result<SocketAddr, RelayOutcome> {
    let fleet = core.fleet.lock();
    if fleet.is_partitioned() {
        return Err(RelayOutcome::Partitioned);
    }
    let listed = fleet.get(&destination.id);
    let usable = listed.filter(|upstream| {
        let is_gone = upstream.entry.leaving || upstream.is_gone(clock::now());
        upstream.life == destination.life && !is_gone
    });
    let usable = usable.ok_or(RelayOutcome::Unlisted)?;
    Ok(usable.entry.addr)
}

fn respond(exchange: Exchange, guards: (ActiveRequestGuard, Permits)) -> Response<RelayedBody> {
    let Exchange {
        response,
        connection,
        ..
    } = exchange;
    let (head, body) = response.into_parts();
    let delimiter = body.delimiter();
    let mut response = Response::new(guard_body(body, (connection, guards)));
    *response.status_mut() = head.status;
    *response.headers_mut() = strip_hop_by_hop(&head.headers, &[]);
    gateway::mark(response.headers_mut(), RelayOutcome::Answered);
    gateway::mark_unframed(response.headers_mut(), delimiter);
    response
}

fn decline(outcome: RelayOutcome) -> Response<RelayedBody> {
    let body = Empty::new().map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = DECLINED_STATUS;
    gateway::mark(response.headers_mut(), outcome);
    response
}
