//! Whether a request may be sent to an upstream.

use super::message::{Ask, Message, Report};
use super::{Quarantine, lock};
use crate::clock;
use crate::core::Core;
use crate::relay::Job;
use crate::telemetry::events;
use sesamegap_policy::quarantine::{COORDINATOR_RANKING_KEY, Grant, Record, Standing};
use sesamegap_wire::Fingerprint;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tracing::info;

/// Longest wait for the answer of the coordinator, some ten times what it takes across failure domains.
const ANSWER: Duration = Duration::from_millis(50);

/// Whether a request may be sent.
#[derive(Debug)]
pub enum Admission {
    /// Like any other.
    Free,
    /// On trial, by itself.
    Trial(TrialPermit),
    /// Not now.
    Deferred,
    /// Not at all.
    Refused,
}

/// A suspect's turn to run, which ends when this is dropped.
#[derive(Debug)]
pub struct TrialPermit {
    core: Arc<Core>,
    request: Fingerprint,
}

impl Drop for TrialPermit {
    fn drop(&mut self) {
        let request = self.request;
        self.core.quarantine.report(Report::Released { request });
    }
}

/// Decides whether a request may be sent to an upstream now.
pub async fn admit(core: &Arc<Core>, job: &Job) -> Admission {
    let quarantine = &core.quarantine;
    if quarantine.registry().is_empty() {
        return Admission::Free;
    }
    let request = job.fingerprint();
    let grant = match quarantine.standing(request) {
        Standing::Clear => return Admission::Free,
        Standing::Quarantined => Grant::Refused,
        Standing::Suspect => ask(core, request, job.left()).await,
    };
    // One that is put off asks again, and its end says why it was not served.
    if grant != Grant::Busy {
        info!(event = events::ADMISSION, request = %job.head.id, fingerprint = %request, grant = ?grant, "a request under which upstreams ended");
    }
    match grant {
        Grant::Free => Admission::Free,
        Grant::Trial => Admission::Trial(TrialPermit {
            core: Arc::clone(core),
            request,
        }),
        Grant::Busy => Admission::Deferred,
        Grant::Refused => Admission::Refused,
    }
}

/// Asks the coordinator; one that does not answer grants nothing.
async fn ask(core: &Core, request: Fingerprint, left: Duration) -> Grant {
    let quarantine = &core.quarantine;
    let Some(coordinator) = core
        .peers
        .first_ranked(1, COORDINATOR_RANKING_KEY)
        .pop()
        .flatten()
    else {
        let mut registry = quarantine.registry();
        return registry.request_trial(request, left, clock::now(), clock::unix_ms());
    };
    let Some(record) = quarantine.registry().get(request).cloned() else {
        return Grant::Free;
    };
    let answer = timeout(ANSWER, quarantine.question(record, left, coordinator)).await;
    answer.unwrap_or_else(|_| {
        info!(event = events::PEER, peer = %coordinator, "the coordinator does not answer");
        Grant::Busy
    })
}

impl Quarantine {
    async fn question(&self, record: Record, left: Duration, to: SocketAddr) -> Grant {
        let (sender, answer) = oneshot::channel();
        let number = {
            let mut asks = lock(&self.asks);
            // What nobody waits for any more needs no answer.
            asks.open.retain(|_, open| !open.is_closed());
            asks.next = asks.next.max(clock::unix_ms() << 20) + 1;
            let number = asks.next;
            asks.open.insert(number, sender);
            number
        };
        let left_ms = clock::wire_millis(left);
        let ask = Ask {
            number,
            record,
            left_ms,
        };
        self.send(Message::Ask(ask), to).await;
        answer.await.unwrap_or(Grant::Busy)
    }
}
