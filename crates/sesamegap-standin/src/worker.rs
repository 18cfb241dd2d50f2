//! A worker of a plain service: it echoes each call and records that it ran.
//!
//! The protocol is that of `sesamegap_upstream`'s `HttpWorker`. Like many real services it does not
//! look at idempotency keys, so a call sent twice runs twice, which the record shows.

use crate::faults::Fault;
use crate::host::{Host, MAX_BODY};
use crate::plan::WorkerPlan;
use crate::platform::log::lose_answer;
use crate::record::Record;
use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{Body, EndpointExt, IntoEndpoint, IntoResponse, Request, Response, Route, handler};
use serde::{Deserialize, Serialize};
use sesamegap_upstream::wire::{IDEMPOTENCY_KEY_HEADER, RAN_HEADER, REQUEST_HEADER};
use sesamegap_wire::{RequestId, ServiceId, UpstreamId};
use smol_str::SmolStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::sleep;

/// What a worker answers to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Who ran the call.
    pub worker: UpstreamId,
    /// The service.
    pub service: ServiceId,
    /// Method of the call.
    pub method: SmolStr,
    /// Path and query of the call.
    pub path: String,
    /// Body of the call, as text.
    pub body: String,
    /// How often the call's idempotency key ran by now, 1 for a call without key.
    pub runs: u32,
}

/// A worker of a plain service.
#[derive(Debug)]
pub(crate) struct WorkerStandin {
    plan: WorkerPlan,
    work: Duration,
    late: Duration,
    host: Arc<Host>,
    record: Arc<Record>,
    leaving: AtomicBool,
}

impl WorkerStandin {
    pub(crate) fn new(
        plan: WorkerPlan,
        work: Duration,
        late: Duration,
        host: Arc<Host>,
        record: Arc<Record>,
    ) -> Arc<Self> {
        Arc::new(Self {
            plan,
            work,
            late,
            host,
            record,
            leaving: AtomicBool::new(false),
        })
    }

    pub(crate) fn id(&self) -> &UpstreamId {
        &self.plan.id
    }

    pub(crate) fn host(&self) -> &Arc<Host> {
        &self.host
    }

    pub(crate) fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    pub(crate) fn endpoint(self: &Arc<Self>) -> impl IntoEndpoint<Endpoint: 'static> + use<> {
        Route::new().at("/*path", call).data(Arc::clone(self))
    }

    async fn run(&self, request: &Request, id: &RequestId, body: String) -> Echo {
        let key = request.header(IDEMPOTENCY_KEY_HEADER);
        let runs = self.record.ran(id, 0, &self.plan.id, key);
        sleep(self.work).await;
        Echo {
            worker: self.plan.id.clone(),
            service: self.plan.service.clone(),
            method: SmolStr::new(request.method().as_str()),
            path: request.uri().to_string(),
            body,
            runs,
        }
    }

    /// The request that the reply names, another one if replies are being crossed.
    fn named(&self, id: &RequestId) -> String {
        let mut id = id.clone();
        if self.host.switches.take(Fault::CrossedAnswer).is_some() {
            id.seq = id.seq.wrapping_add(1);
        }
        id.to_string()
    }
}

#[handler]
async fn call(Data(worker): Data<&Arc<WorkerStandin>>, request: &Request, body: Body) -> Response {
    let id = request
        .header(REQUEST_HEADER)
        .and_then(|id| id.parse().ok());
    let Some(id): Option<RequestId> = id else {
        return not_run(StatusCode::BAD_REQUEST, String::new());
    };
    let Ok(body) = body.into_bytes_limit(MAX_BODY).await else {
        return not_run(StatusCode::PAYLOAD_TOO_LARGE, worker.named(&id));
    };
    if worker.leaving.load(Ordering::Acquire) {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, worker.named(&id));
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    let echo = worker.run(request, &id, body).await;
    if worker.host.switches.take(Fault::ReplyLost).is_some() {
        lose_answer(&worker.host, request).await;
    }
    if worker.host.switches.take(Fault::LateAnswer).is_some() {
        sleep(worker.late).await;
    }
    Json(echo)
        .with_header(REQUEST_HEADER, worker.named(&id))
        .into_response()
}

fn not_run(status: StatusCode, id: String) -> Response {
    status
        .with_header(RAN_HEADER, "no")
        .with_header(REQUEST_HEADER, id)
        .into_response()
}
