//! Runs one call to a plain service.
//!
//! The call goes to the worker with the fewest calls in flight from this router. A call that
//! certainly did not run is retried at another worker; one that may have run is retried only if it
//! is repeatable.

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

/// Maximum workers tried for one call, so that retries to a failing service are bounded.
const MAX_WORKERS_TRIED: usize = 3;

/// An admitted call.
#[derive(Debug)]
pub struct ServiceJob {
    /// The service.
    pub service: ServiceId,
    /// Maximum calls in flight to one worker.
    pub window: u32,
    /// Whether the call may run twice.
    pub repeatable: bool,
    /// The call itself.
    pub call: Call,
}

/// Runs a call and always ends its answer.
pub async fn work(core: Arc<Core>, job: ServiceJob, answer: Arc<Answer>) {
    let mut attempts = Attempts::new(&core, &job);
    let limit = job.call.timeout;
    let end = match timeout(limit, attempts.run()).await {
        Ok(end) => end,
        Err(_) => Err(timed_out()),
    };
    let ran = if attempts.may_have_run {
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

fn timed_out() -> ApiError {
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
    may_have_run: bool,
}

impl<'a> Attempts<'a> {
    fn new(core: &'a Arc<Core>, job: &'a ServiceJob) -> Self {
        Self {
            core,
            job,
            tried: Vec::new(),
            may_have_run: false,
        }
    }

    async fn run(&mut self) -> Result<Reply, ApiError> {
        loop {
            let Some(slot) = self.pick() else {
                return Err(self.no_worker());
            };
            self.tried.push(slot.id().clone());
            match self.call(&slot).await {
                Ok(reply) => return Ok(reply),
                Err(error) => self.check_retryable(&error)?,
            }
        }
    }

    fn pick(&self) -> Option<WorkerSlot> {
        if self.tried.len() >= MAX_WORKERS_TRIED {
            return None;
        }
        let service = &self.job.service;
        self.core
            .fleet
            .worker(service, self.job.window, &self.tried)
    }

    async fn call(&mut self, slot: &WorkerSlot) -> Result<Reply, UpstreamError> {
        let before = std::mem::replace(&mut self.may_have_run, true);
        let called = slot.client().call(self.job.call.clone()).await;
        if let Err(error) = &called
            && error.ran() == Ran::No
        {
            self.may_have_run = before;
        }
        called
    }

    /// Returns an error if the call must not be retried at another worker.
    fn check_retryable(&self, error: &UpstreamError) -> Result<(), ApiError> {
        if error.fault() == Fault::Refused {
            return Err(ApiError::bad("upstream_refused", error.to_string()));
        }
        if self.may_have_run && !self.job.repeatable {
            let status = StatusCode::BAD_GATEWAY;
            return Err(ApiError::unknown(
                status,
                "upstream_lost",
                error.to_string(),
            ));
        }
        Ok(())
    }

    fn no_worker(&self) -> ApiError {
        let message = format!("no worker of `{}` could take the call", self.job.service);
        ApiError::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_worker", message)
            .after(Duration::from_secs(1))
    }
}
