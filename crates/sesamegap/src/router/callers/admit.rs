//! Lets a checked request in, once.
//!
//! A request without an idempotency key runs at once. With a key it runs only if [`Once`] says
//! that this router is the one to run it and has not yet; otherwise its caller gets the answer
//! that is in the making or kept, from this router or the one that ran it.
//!
//! [`Once`]: crate::router::once::Once

use super::intake::{self, Asked, REQUEST_ID};
use super::relay::{self, Relayed};
use super::reply::{self, Form};
use super::{ApiError, Shared};
use crate::router::core::Core;
use crate::router::once::{Entry, Place};
use crate::router::streams::model::{self, ModelJob};
use crate::router::streams::service::{self, ServiceJob};
use crate::router::streams::{Answer, Head, Shape};
use bytes::Bytes;
use poem::Response;
use sesamegap_wire::{ModelId, RequestId, TeamId, Tokens};
use smol_str::SmolStr;
use std::sync::Arc;
use tokio::sync::OwnedSemaphorePermit;

/// A request that was checked and may be let in.
#[derive(Debug)]
pub struct Admit {
    asked: Asked,
    shape: Shape,
    form: Form,
    created: u64,
    repeatable: bool,
    job: Job,
    room: Option<OwnedSemaphorePermit>,
}

#[derive(Debug)]
enum Job {
    Model(Box<ModelJob>),
    Service(Box<ServiceJob>),
}

impl Admit {
    /// A model request.
    pub fn model(asked: Asked, shape: Shape, stream: bool, created: u64, job: ModelJob) -> Self {
        Self {
            asked,
            shape,
            form: if stream { Form::Events } else { Form::Whole },
            created,
            repeatable: job.repeatable,
            job: Job::Model(Box::new(job)),
            room: None,
        }
    }

    /// A call to a plain service.
    pub fn service(asked: Asked, created: u64, job: ServiceJob) -> Self {
        Self {
            asked,
            shape: Shape::Service,
            form: Form::Whole,
            created,
            repeatable: job.repeatable,
            job: Job::Service(Box::new(job)),
            room: None,
        }
    }

    /// Holds the body's share of the room for bodies until the request is done.
    #[must_use]
    pub fn holding(mut self, room: OwnedSemaphorePermit) -> Self {
        self.room = Some(room);
        self
    }

    /// The key under which it runs at most once, if there is one.
    fn once_key(&self) -> Option<SmolStr> {
        self.asked.key.clone().filter(|_| !self.repeatable)
    }

    /// The team whose key it carries, if it runs at most once.
    pub fn keyed_team(&self) -> Option<TeamId> {
        self.once_key().map(|_| self.asked.team.clone())
    }

    fn head(&self, request: RequestId) -> Head {
        let (model, prompt): (Option<ModelId>, Tokens) = match &self.job {
            Job::Model(job) => (Some(job.model.clone()), job.chain.tokens),
            Job::Service(_) => (None, Tokens(0)),
        };
        Head {
            request,
            team: self.asked.team.clone(),
            shape: self.shape,
            model,
            prompt,
            created: self.created,
        }
    }
}

/// Runs a request, or finds its answer, and replies.
pub async fn run(
    core: &Shared,
    admit: Admit,
    path: &str,
    body: Bytes,
) -> Result<Response, ApiError> {
    let Some(key) = admit.once_key() else {
        let request = core.mint();
        let answer = open(core, &admit, request)?;
        let reader = answer.read(0);
        let form = admit.form;
        start(core, admit, &answer);
        return reply::response(core, reader, form).await;
    };
    let digest = blake3::hash(&body);
    match core.once.place(core, &admit.asked.team, &key).await? {
        Place::Here => here(core, admit, &key, digest).await,
        Place::There(holder) => {
            let relayed = Relayed::new(&admit.asked, holder, path, &body);
            relay::forward(core, &relayed).await
        }
    }
}

/// Runs a keyed request that this router alone may run, unless it has already.
pub async fn here(
    core: &Shared,
    admit: Admit,
    key: &SmolStr,
    digest: blake3::Hash,
) -> Result<Response, ApiError> {
    let form = admit.form;
    let entry = core
        .once
        .enter(core, &admit.asked.team, key, digest, |request| {
            open(core, &admit, request)
        })?;
    let reader = match entry {
        Entry::Run(answer) => {
            let reader = answer.read(0);
            start(core, admit, &answer);
            reader
        }
        Entry::Known(answer) => answer.read(0),
    };
    reply::response(core, reader, form).await
}

/// Opens the answer, if there is room for another request.
fn open(core: &Core, admit: &Admit, request: RequestId) -> Result<Arc<Answer>, ApiError> {
    // The router may have begun to refuse while the body came.
    intake::open(core)?;
    let limit = core.config.bounds.flights;
    if core.flights.len() >= limit {
        let message = format!("the router has {limit} requests in flight");
        return Err(ApiError::overload(message));
    }
    let answer = Answer::open(admit.head(request));
    core.kept.open(Arc::clone(&answer));
    Ok(answer)
}

fn start(core: &Shared, admit: Admit, answer: &Arc<Answer>) {
    let (core, answer) = (Arc::clone(core), Arc::clone(answer));
    let key = admit.asked.key;
    let (job, room) = (admit.job, admit.room);
    let tracker = core.flights.clone();
    let cut = core.cut.clone();
    let request = answer.head.request.clone();
    let work = async move {
        match job {
            Job::Model(mut job) => {
                job.key = key;
                model::work(Arc::clone(&core), *job, answer).await;
            }
            Job::Service(mut job) => {
                job.call.idempotency_key = key;
                job.call.request = request.clone();
                service::work(Arc::clone(&core), *job, answer).await;
            }
        }
        core.kept.close(&request);
        drop(room);
    };
    tracker.spawn(async move { cut.run_until_cancelled(work).await });
}

/// Names the request in a response.
pub fn name(response: &mut Response, request: &RequestId) {
    if let Ok(value) = request.to_string().parse() {
        response.headers_mut().insert(REQUEST_ID, value);
    }
}
