//! Admission of requests to upstreams, subject to the quarantine.

use super::message::{Message, Report, TrialRequest};
use super::{Quarantine, lock};
use crate::clock;
use crate::core::Core;
use crate::job::Job;
use crate::telemetry::events;
use sesamegap_policy::quarantine::{COORDINATOR_RANKING_KEY, Grant, Standing, Subjects};
use sesamegap_wire::Fingerprint;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tracing::info;

/// Maximum wait for the coordinator's response, about ten times the usual response time across failure domains.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(50);

/// Decision on whether a request may be sent to an upstream.
#[derive(Debug)]
pub enum Admission {
    /// It may be sent without restrictions.
    Free,
    /// It may be sent as a trial, to the upstream that runs the fewest other requests.
    Trial(TrialPermit),
    /// It may not be sent now and must ask again later.
    Deferred,
    /// It is quarantined and may not be sent.
    Refused,
}

/// Permission to run a suspect as a trial. Dropping it ends the turn.
#[derive(Debug)]
pub struct TrialPermit {
    core: Arc<Core>,
    request: Fingerprint,
    /// Whether another trial may begin.
    is_turn_over: bool,
}

impl TrialPermit {
    /// Lets another trial begin, while this one goes on.
    pub fn end_turn(&mut self) {
        if std::mem::replace(&mut self.is_turn_over, true) {
            return;
        }
        let request = self.request;
        let quarantine = &self.core.quarantine;
        quarantine.submit_report(Report::Released { request });
    }
}

impl Drop for TrialPermit {
    fn drop(&mut self) {
        self.end_turn();
    }
}

/// Decides whether a request may be sent to an upstream now.
pub async fn admit(core: &Arc<Core>, job: &Job) -> Admission {
    let quarantine = &core.quarantine;
    if quarantine.registry().is_empty() {
        return Admission::Free;
    }
    let subjects = job.subjects();
    let request = subjects.request();
    let grant = match quarantine.standing(subjects) {
        Standing::Clear => return Admission::Free,
        Standing::Quarantined => Grant::Refused,
        Standing::Suspect => request_trial(core, subjects, job.time_left()).await,
    };
    // Not logged for deferred requests: they ask again, and the log line of their end says why they were not served.
    if grant != Grant::Busy {
        let restricted = quarantine.restricted(subjects);
        let restricted: Vec<_> = restricted.iter().map(ToString::to_string).collect();
        info!(event = events::ADMISSION, request = %job.head.id, fingerprint = %request, restricted = ?restricted, grant = ?grant, "a request under which upstreams ended");
    }
    match grant {
        Grant::Free => Admission::Free,
        Grant::Trial => Admission::Trial(TrialPermit {
            core: Arc::clone(core),
            request,
            is_turn_over: false,
        }),
        Grant::Busy => Admission::Deferred,
        Grant::Refused => Admission::Refused,
    }
}

/// Asks the coordinator for permission to run a suspect; without a response in time, the request is deferred.
async fn request_trial(core: &Core, subjects: &Subjects, left: Duration) -> Grant {
    let quarantine = &core.quarantine;
    let Some(coordinator) = core
        .peers
        .first_ranked(1, COORDINATOR_RANKING_KEY)
        .pop()
        .flatten()
    else {
        let mut registry = quarantine.registry();
        return registry.request_trial(subjects, left, clock::now(), clock::unix_ms());
    };
    let answer = timeout(
        RESPONSE_TIMEOUT,
        quarantine.send_trial_request(subjects, left, coordinator),
    )
    .await;
    answer.unwrap_or_else(|_| {
        info!(event = events::PEER, peer = %coordinator, "no response from the quarantine coordinator");
        Grant::Busy
    })
}

impl Quarantine {
    async fn send_trial_request(
        &self,
        subjects: &Subjects,
        left: Duration,
        to: SocketAddr,
    ) -> Grant {
        let (sender, answer) = oneshot::channel();
        let number = {
            let mut pending = lock(&self.pending_responses);
            // Drop requests that have timed out.
            pending.senders.retain(|_, sender| !sender.is_closed());
            let number = pending.numbers.allocate();
            pending.senders.insert(number, sender);
            number
        };
        let left_ms = clock::wire_millis(left);
        let ask = TrialRequest {
            number,
            subjects: subjects.clone(),
            records: self.records(&self.restricted(subjects)),
            left_ms,
        };
        self.send(Message::Ask(ask), to).await;
        answer.await.unwrap_or(Grant::Busy)
    }
}
