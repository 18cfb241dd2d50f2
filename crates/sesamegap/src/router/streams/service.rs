//! Works on one call to a plain service.
//!
//! Workers are told apart by the calls this router has in flight to each; the least busy one is
//! asked. A call that certainly did not run is tried at another worker; one that may have run only
//! if it is repeatable.

use super::answer::{Answer, End};
use crate::router::callers::ApiError;
use crate::router::core::Core;
use crate::router::fleet::WorkerSlot;
use poem::http::StatusCode;
use sesamegap_upstream::error::Fault;
use sesamegap_upstream::{Call, Ran, Reply, UpstreamError};
use sesamegap_wire::{ServiceId, UpstreamId};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Workers tried for one call, so that a failing service is not asked without bound.
const TRIES: usize = 3;

/// A call that was let in.
#[derive(Debug)]
pub struct ServiceJob {
    /// The service.
    pub service: ServiceId,
    /// Calls in flight to one worker.
    pub window: u32,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// The call itself.
    pub call: Call,
}

/// Works on a call and ends its answer in every case.
pub async fn work(core: Arc<Core>, job: ServiceJob, answer: Arc<Answer>) {
    let mut attempts = Attempts::new(&core, &job);
    let limit = job.call.timeout;
    let end = match timeout(limit, attempts.drive()).await {
        Ok(end) => end,
        Err(_) => Err(late()),
    };
    let ran = if attempts.written {
        Ran::Unknown
    } else {
        Ran::No
    };
    let end = match end {
        Ok(reply) => End::Reply(reply),
        Err(error) => End::Failed(error.ran(ran)),
    };
    core.telemetry.called(&end);
    answer.finish(end);
}

fn late() -> ApiError {
    ApiError::unknown(
        StatusCode::GATEWAY_TIMEOUT,
        "too_late",
        "the service did not reply within its time",
    )
}

struct Attempts<'a> {
    core: &'a Arc<Core>,
    job: &'a ServiceJob,
    tried: Vec<UpstreamId>,
    written: bool,
}

impl<'a> Attempts<'a> {
    fn new(core: &'a Arc<Core>, job: &'a ServiceJob) -> Self {
        Self {
            core,
            job,
            tried: Vec::new(),
            written: false,
        }
    }

    async fn drive(&mut self) -> Result<Reply, ApiError> {
        loop {
            let Some(slot) = self.pick() else {
                return Err(self.none());
            };
            self.tried.push(slot.id().clone());
            match self.call(&slot).await {
                Ok(reply) => return Ok(reply),
                Err(error) => self.judge(&error)?,
            }
        }
    }

    fn pick(&self) -> Option<WorkerSlot> {
        if self.tried.len() >= TRIES {
            return None;
        }
        let service = &self.job.service;
        self.core
            .fleet
            .worker(service, self.job.window, &self.tried)
    }

    async fn call(&mut self, slot: &WorkerSlot) -> Result<Reply, UpstreamError> {
        let before = std::mem::replace(&mut self.written, true);
        let called = slot.client().call(self.job.call.clone()).await;
        if let Err(error) = &called
            && error.ran() == Ran::No
        {
            self.written = before;
        }
        called
    }

    /// Says whether another worker may be asked.
    fn judge(&self, error: &UpstreamError) -> Result<(), ApiError> {
        if error.fault() == Fault::Refused {
            return Err(ApiError::bad("upstream_refused", error.to_string()));
        }
        if self.written && !self.job.repeatable {
            let status = StatusCode::BAD_GATEWAY;
            return Err(ApiError::unknown(
                status,
                "upstream_lost",
                error.to_string(),
            ));
        }
        Ok(())
    }

    fn none(&self) -> ApiError {
        let message = format!("no worker of `{}` could take the call", self.job.service);
        ApiError::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_worker", message)
            .after(Duration::from_secs(1))
    }
}
