//! One request of a caller, from its head to the relay.

use super::connection::limits;
use super::reply::{Body, Refusal, refuse};
use crate::catalogue::{Catalogue, Route, Team};
use crate::core::{Active, Core, Phase};
use crate::ports::RequestHead;
use crate::relay::{self, Job};
use crate::telemetry::events;
use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, HOST, HeaderValue};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use sesamegap_http::serving::{RequestGuard, guard_body};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};
use tracing::info;

/// Longest time for which a body that is refused is still read, so that its sender gets to see
/// the answer: closing with unread bytes would reset the connection under it.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// Answers a request; the guard lasts as long as the answer's body.
pub async fn answer(
    core: Arc<Core>,
    request: Request<Incoming>,
    busy: RequestGuard,
) -> Response<Body> {
    let taken = take(&core, request).await;
    let id = match &taken {
        Ok(job) => job.head.id.clone(),
        Err(refused) => refused.id.clone(),
    };
    let active = Active::new(&core.active, id);
    let mut response = match taken {
        Ok(job) => relay::run(&core, job).await,
        Err(refused) => {
            let Refused { refusal, id } = refused;
            core.metrics.refused(refusal.status().as_u16());
            info!(
                event = events::REFUSED,
                request = %id,
                revision = core.revision().0,
                status = refusal.status().as_u16(),
                why = %refusal,
                "refused"
            );
            refuse(refusal)
        }
    };
    if core.phase() != Phase::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response.map(|body| guard_body(body, (busy, active)))
}

/// A request refused before it was placed.
#[derive(Debug)]
struct Refused {
    refusal: Refusal,
    id: smol_str::SmolStr,
}

async fn take(core: &Arc<Core>, request: Request<Incoming>) -> Result<Job, Refused> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let asked = match core.ports.headers.read_request(&head.headers) {
        Ok(asked) => asked,
        Err(bad) => {
            drain(body).await;
            return Err(Refused {
                refusal: Refusal::BadHead(bad.0),
                id: smol_str::SmolStr::default(),
            });
        }
    };
    let id = asked.id.clone();
    let refused = |refusal| Refused {
        refusal,
        id: id.clone(),
    };
    let (catalogue, route, team) = match admit(core, &head, &asked) {
        Ok(admitted) => admitted,
        Err(refusal) => {
            drain(body).await;
            return Err(refused(refusal));
        }
    };
    let patience = asked.patience.unwrap_or(route.timeout);
    let ends = arrived + patience.min(route.timeout);
    let body = read(core, body, ends).await.map_err(refused)?;
    Ok(Job {
        head: asked,
        catalogue,
        route,
        team,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body: body.bytes,
        body_permit: body.room,
        arrived,
        deadline: ends,
        fingerprint: OnceLock::new(),
    })
}

type Admitted = (Arc<Catalogue>, Arc<Route>, Option<Arc<Team>>);

fn admit(
    core: &Core,
    head: &http::request::Parts,
    asked: &RequestHead,
) -> Result<Admitted, Refusal> {
    let catalogue = core.catalogue().ok_or(Refusal::NoDocument)?;
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host
        .or_else(|| head.uri.host())
        .ok_or(Refusal::BadHead("no host"))?;
    let route = catalogue
        .route(host, head.uri.path())
        .map_err(|_| Refusal::Route)?;
    let key = asked.key.as_deref();
    let team = key.and_then(|key| catalogue.team(key)).cloned();
    let needed = catalogue.has_teams() && !route.public;
    if needed && team.is_none() {
        return Err(Refusal::Key);
    }
    Ok((catalogue, route, team))
}

struct Read {
    bytes: Bytes,
    room: Option<tokio::sync::OwnedSemaphorePermit>,
}

async fn read(core: &Arc<Core>, mut body: Incoming, ends: Instant) -> Result<Read, Refusal> {
    if body.is_end_stream() {
        return Ok(Read {
            bytes: Bytes::new(),
            room: None,
        });
    }
    let limit = limits(core).body;
    let declared = body.size_hint().upper().unwrap_or(0);
    if declared > limit as u64 {
        drain(body).await;
        return Err(Refusal::BodySize);
    }
    let mut bytes = BytesMut::new();
    let mut room: Option<tokio::sync::OwnedSemaphorePermit> = None;
    loop {
        let frame = match timeout_at(ends, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(Refusal::BadHead("body broke off")),
            Ok(None) => break,
            Err(_) => return Err(Refusal::BodyTime),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            drain(body).await;
            return Err(Refusal::BodySize);
        }
        let kib = u32::try_from(data.len().div_ceil(1024)).unwrap_or(u32::MAX);
        let Ok(more) = Arc::clone(&core.bodies).try_acquire_many_owned(kib) else {
            drain(body).await;
            return Err(Refusal::Memory);
        };
        match &mut room {
            Some(room) => room.merge(more),
            None => room = Some(more),
        }
        bytes.extend_from_slice(&data);
    }
    Ok(Read {
        bytes: bytes.freeze(),
        room,
    })
}

/// Reads what is left of a body that nobody needs, for a while.
async fn drain(mut body: Incoming) {
    let read = timeout(DRAIN_TIME, async {
        while let Some(Ok(_)) = body.frame().await {}
    });
    // Whoever sends longer than that finds the connection closed.
    drop(read.await);
}
