//! Reads and admits a caller's request, and hands it to the relay.

use super::connection::limits;
use super::reply::{Body, refusal_response};
use crate::catalogue::{Catalogue, Route, Team};
use crate::clock;
use crate::core::{ActiveRequestGuard, Arrival, Core, Phase};
use crate::job::Job;
use crate::ports::RequestHead;
use crate::refusal::Refusal;
use crate::relay;
use crate::telemetry::events;
use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, HOST, HeaderValue};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use sesamegap_http::serving::{RequestGuard, guard_body};
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};
use tracing::info;

/// How long the body of a refused request is read and discarded.
///
/// Closing a connection with unread bytes would reset it, and the caller might not get the
/// response.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// Handles a request; `busy` is held until the response body is dropped.
pub async fn handle(
    core: Arc<Core>,
    request: Request<Incoming>,
    busy: RequestGuard,
) -> Response<Body> {
    let arrival = Arrival::now(&busy);
    let received = receive(&core, request, arrival).await;
    let id = match &received {
        Ok(job) => job.head.id.clone(),
        Err(refused) => refused.id.clone(),
    };
    let active = ActiveRequestGuard::new(&core.active, id, arrival);
    let mut response = match received {
        Ok(job) => run_until_exit(&core, job).await,
        Err(refused) => {
            let Refused { refusal, id } = refused;
            core.metrics.count_refusal(refusal.status().as_u16());
            info!(
                event = events::REFUSED,
                request = %id,
                revision = core.revision().0,
                known_ms = core.settings_age().map(clock::millis),
                stop_ms = core.time_in_stop(arrival.at).map(clock::millis),
                status = refusal.status().as_u16(),
                why = %refusal,
                "request refused"
            );
            refusal_response(refusal)
        }
    };
    if core.phase() != Phase::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response.map(|body| {
        let counted = body.map_frame(move |frame| {
            core.copies
                .count_callers(frame.data_ref().map_or(0, Bytes::len));
            frame
        });
        guard_body(counted, (busy, active))
    })
}

/// Relays a request; one without an answer when only the last ones are sent is told whether it may have run.
async fn run_until_exit(core: &Arc<Core>, job: Job) -> Response<Body> {
    let sent = Arc::clone(&job.sent);
    tokio::select! {
        biased;
        response = relay::run(core, job) => response,
        () = core.wait_for_exit() => {
            let may_have_run = sent.load(Ordering::Relaxed);
            refusal_response(if may_have_run { Refusal::Lost } else { core.stopping() })
        }
    }
}

/// A request that was refused before it was placed.
#[derive(Debug)]
struct Refused {
    refusal: Refusal,
    id: smol_str::SmolStr,
}

async fn receive(
    core: &Arc<Core>,
    request: Request<Incoming>,
    arrival: Arrival,
) -> Result<Job, Refused> {
    let (parts, body) = request.into_parts();
    let head = match core.ports.headers.read_request(&parts.headers) {
        Ok(head) => head,
        Err(bad) => {
            drain(body).await;
            return Err(Refused {
                refusal: Refusal::BadHead(bad.0),
                id: smol_str::SmolStr::default(),
            });
        }
    };
    let id = head.id.clone();
    let refused = |refusal| Refused {
        refusal,
        id: id.clone(),
    };
    let (catalogue, route, team) = match admit(core, &parts, &head) {
        Ok(admitted) => admitted,
        Err(refusal) => {
            drain(body).await;
            return Err(refused(refusal));
        }
    };
    let caller_timeout = head.timeout.unwrap_or(route.timeout);
    let deadline = arrival.at + caller_timeout.min(route.timeout);
    if let Err(refusal) = core.check_stop(deadline) {
        drain(body).await;
        return Err(refused(refusal));
    }
    let body = tokio::select! {
        biased;
        body = read_body(core, body, deadline) => body,
        () = core.wait_for_exit() => Err(core.stopping()),
    };
    let body = body.map_err(refused)?;
    // The body may have taken long.
    core.check_stop(deadline).map_err(refused)?;
    Ok(Job {
        head,
        catalogue,
        route,
        team,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body: body.bytes,
        body_permit: body.permit,
        arrival,
        deadline,
        charge: None,
        origin: None,
        sent: Arc::default(),
        subjects: OnceLock::new(),
    })
}

type Admitted = (Arc<Catalogue>, Arc<Route>, Option<Arc<Team>>);

fn admit(
    core: &Core,
    parts: &http::request::Parts,
    head: &RequestHead,
) -> Result<Admitted, Refusal> {
    let catalogue = core.catalogue().ok_or(Refusal::NoDocument)?;
    if core.is_document_overdue() {
        return Err(Refusal::Outdated);
    }
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host
        .or_else(|| parts.uri.host())
        .ok_or(Refusal::BadHead("no host"))?;
    let route = catalogue
        .route(host, parts.uri.path())
        .map_err(|_| unless_replaced(core, Refusal::NoRoute))?;
    let key = head.key.as_deref();
    let team = key.and_then(|key| catalogue.team(key)).cloned();
    let is_key_required = catalogue.has_teams() && !route.public;
    if is_key_required && team.is_none() {
        return Err(unless_replaced(core, Refusal::InvalidKey));
    }
    Ok((catalogue, route, team))
}

/// The refusal of a request that the document in force does not allow. A newer one may allow it, unless this VM knows that
/// there is none.
fn unless_replaced(core: &Core, denial: Refusal) -> Refusal {
    if core.may_deny() {
        denial
    } else {
        Refusal::OldDocument
    }
}

/// A complete body, with the permit for its memory.
struct ReceivedBody {
    bytes: Bytes,
    permit: Option<tokio::sync::OwnedSemaphorePermit>,
}

async fn read_body(
    core: &Arc<Core>,
    mut body: Incoming,
    deadline: Instant,
) -> Result<ReceivedBody, Refusal> {
    if body.is_end_stream() {
        return Ok(ReceivedBody {
            bytes: Bytes::new(),
            permit: None,
        });
    }
    let limit = limits(core).body;
    let declared = body.size_hint().upper().unwrap_or(0);
    if declared > limit as u64 {
        drain(body).await;
        return Err(Refusal::BodyTooLarge);
    }
    let mut bytes = BytesMut::new();
    let mut permit: Option<tokio::sync::OwnedSemaphorePermit> = None;
    loop {
        let frame = match timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(Refusal::BadHead("body broke off")),
            Ok(None) => break,
            Err(_) => return Err(Refusal::BodyTimeout),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            drain(body).await;
            return Err(Refusal::BodyTooLarge);
        }
        let kib = u32::try_from(data.len().div_ceil(1024)).unwrap_or(u32::MAX);
        let Ok(more) = Arc::clone(&core.body_permits).try_acquire_many_owned(kib) else {
            drain(body).await;
            return Err(Refusal::OutOfMemory);
        };
        match &mut permit {
            Some(permit) => permit.merge(more),
            None => permit = Some(more),
        }
        bytes.extend_from_slice(&data);
    }
    Ok(ReceivedBody {
        bytes: bytes.freeze(),
        permit,
    })
}

/// Reads and discards the rest of a body, for at most [`DRAIN_TIME`].
async fn drain(mut body: Incoming) {
    let read = timeout(DRAIN_TIME, async {
        while let Some(Ok(_)) = body.frame().await {}
    });
    // A caller that sends for longer gets its connection closed.
    drop(read.await);
}
