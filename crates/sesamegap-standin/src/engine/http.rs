//! An engine's side of the protocol that `sesamegap_upstream`'s `HttpEngine` describes.

use super::EngineStandin;
use super::job::Job;
use super::stream::{Manner, Trouble, events};
use crate::faults::{Fault, Hit};
use crate::host::MAX_BODY;
use poem::http::StatusCode;
use poem::http::header::CONTENT_TYPE;
use poem::web::{Data, Json, Path, Query};
use poem::{Body, EndpointExt, IntoEndpoint, IntoResponse, Response, Route, handler};
use serde::Deserialize;
use sesamegap_upstream::wire::Refusal;
use sesamegap_upstream::{Fault as Why, Ran};
use sesamegap_wire::RequestId;
use sesamegap_wire::engine::{CacheBatch, Dispatch, Listing, LoadReport, Order, OrderAnswer};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Longest wait for cache events.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Faults that hit one token of an answer.
const OF_TOKENS: [Fault; 4] = [
    Fault::ChunkDouble,
    Fault::ChunkDrop,
    Fault::ChunkSwap,
    Fault::StreamCut,
];

impl EngineStandin {
    pub(crate) fn endpoint(self: &Arc<Self>) -> impl IntoEndpoint<Endpoint: 'static> + use<> {
        let attempt = poem::get(resume).delete(cancel);
        Route::new()
            .at("/v1/generate", poem::post(generate))
            .at("/v1/generate/:request/:attempt", attempt)
            .at("/v1/events", poem::get(cache_events))
            .at("/v1/listing", poem::get(listing))
            .at("/v1/load", poem::get(load))
            .at("/v1/order", poem::post(order))
            .data(Arc::clone(self))
    }

    fn find(&self, request: &RequestId, attempt: u32) -> Option<Arc<Job>> {
        let life = self.life();
        let state = life.lock();
        state.jobs.get(&(request.clone(), attempt)).cloned()
    }

    /// The name under which an answer goes out, another one if answers are being crossed.
    fn named(&self, request: &RequestId) -> RequestId {
        let mut request = request.clone();
        if self.host.switches.take(Fault::CrossedAnswer).is_some() {
            request.seq = request.seq.wrapping_add(1);
        }
        request
    }

    fn trouble(&self, job: &Job) -> Option<Trouble> {
        let take = |fault: &Fault| self.host.switches.take(*fault);
        let hit: Hit = OF_TOKENS.iter().find_map(take)?;
        let length = (job.count - job.start).max(1);
        let at = match hit.at {
            Some(seq) => seq.0,
            None => job.start + job.request.seq % length,
        };
        let fault = hit.fault;
        Some(Trouble { fault, at })
    }

    async fn answer(&self, job: Arc<Job>, from: u64) -> Response {
        let manner = Manner {
            beat: self.limits.beat,
            request: self.named(&job.request),
            trouble: self.trouble(&job),
        };
        if self.host.switches.take(Fault::LateAnswer).is_some() {
            sleep(self.limits.late).await;
        }
        Response::builder()
            .header(CONTENT_TYPE, "text/event-stream")
            .body(Body::from_bytes_stream(events(job, from, manner)))
    }

    fn refuse(&self, mut refusal: Refusal) -> Response {
        let status = match refusal.fault {
            Why::Incarnation => StatusCode::CONFLICT,
            Why::Weights => StatusCode::PRECONDITION_FAILED,
            Why::Leaving => StatusCode::SERVICE_UNAVAILABLE,
            Why::Busy => StatusCode::TOO_MANY_REQUESTS,
            Why::Forgotten => StatusCode::NOT_FOUND,
            _ => StatusCode::BAD_REQUEST,
        };
        refusal.request = self.named(&refusal.request);
        Json(refusal).with_status(status).into_response()
    }
}

#[handler]
async fn generate(Data(engine): Data<&Arc<EngineStandin>>, body: Body) -> Response {
    let Ok(bytes) = body.into_bytes_limit(MAX_BODY).await else {
        return StatusCode::PAYLOAD_TOO_LARGE.into();
    };
    let Ok(dispatch) = serde_json::from_slice::<Dispatch>(&bytes) else {
        return StatusCode::BAD_REQUEST.into();
    };
    match engine.accept(dispatch) {
        Ok(job) => {
            let from = job.start;
            engine.answer(job, from).await
        }
        Err(refusal) => engine.refuse(refusal),
    }
}

#[derive(Debug, Deserialize)]
struct From {
    from: u64,
}

#[handler]
async fn resume(
    Data(engine): Data<&Arc<EngineStandin>>,
    Path((request, attempt)): Path<(RequestId, u32)>,
    Query(ask): Query<From>,
) -> Response {
    match engine.find(&request, attempt) {
        Some(job) if ask.from >= job.start => engine.answer(job, ask.from).await,
        _ => engine.refuse(Refusal {
            request,
            attempt,
            fault: Why::Forgotten,
            // It may have run before a crash, or long ago.
            ran: Ran::Unknown,
            detail: "no such attempt here".to_owned(),
        }),
    }
}

#[handler]
fn cancel(
    Data(engine): Data<&Arc<EngineStandin>>,
    Path((request, attempt)): Path<(RequestId, u32)>,
) -> StatusCode {
    if let Some(job) = engine.find(&request, attempt) {
        job.stop();
        let life = engine.life();
        life.lock().jobs.remove(&(request, attempt));
    }
    StatusCode::NO_CONTENT
}

#[derive(Debug, Deserialize)]
struct After {
    after: u64,
    #[serde(default)]
    wait: u64,
}

#[handler]
async fn cache_events(
    Data(engine): Data<&Arc<EngineStandin>>,
    Query(ask): Query<After>,
) -> Json<CacheBatch> {
    let life = engine.life();
    let until = Instant::now() + Duration::from_millis(ask.wait).min(MAX_WAIT);
    loop {
        let changed = life.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let published = life.lock().events.after(ask.after);
        if published.newest > ask.after || Instant::now() >= until {
            return Json(CacheBatch {
                incarnation: life.incarnation,
                events: published.events,
                newest: published.newest,
            });
        }
        let next = published.next.map_or(until, |due| until.min(due.into()));
        tokio::select! {
            () = sleep_until(next) => {}
            () = changed => {}
        }
    }
}

#[handler]
fn listing(Data(engine): Data<&Arc<EngineStandin>>) -> Json<Listing> {
    let life = engine.life();
    let state = life.lock();
    Json(Listing {
        incarnation: life.incarnation,
        newest: state.events.last(),
        keys: state.cache.keys(),
    })
}

#[handler]
fn load(Data(engine): Data<&Arc<EngineStandin>>) -> Json<LoadReport> {
    Json(engine.load_report())
}

#[handler]
fn order(Data(engine): Data<&Arc<EngineStandin>>, Json(order): Json<Order>) -> Json<OrderAnswer> {
    Json(engine.order(&order))
}
