//! Messages between VMs about requests and prompt parts that crash upstreams.

use serde::{Deserialize, Serialize};
use sesamegap_policy::quarantine::{Crash, Grant, Record, Subjects};
use sesamegap_wire::Fingerprint;

/// A message between entry VMs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// Reports from a VM to the coordinator and its replicas.
    Reports(Vec<Report>),
    /// Records, broadcast by the coordinator or gossiped by any VM.
    Records(Vec<Record>),
    /// Asks the coordinator whether a suspect may run.
    Ask(TrialRequest),
    /// The coordinator's response.
    Answer(TrialResponse),
}

/// Report of one event of a request or prompt part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// An upstream crashed while it ran the request.
    Crashed {
        /// The request and the shared parts of its prompt.
        subjects: Subjects,
        /// The crash.
        crash: Crash,
        /// Time from the crash to the report in milliseconds, if the crash was noticed when it occurred.
        age_ms: Option<u32>,
    },
    /// A request of the subject completed.
    Completed {
        /// The request or the prompt part.
        subject: Fingerprint,
        /// Epoch of the subject's record, which increases each time the subject is cleared.
        epoch: u32,
    },
    /// The trial of the request ended, with any outcome.
    Released {
        /// The request.
        request: Fingerprint,
    },
}

/// Request to the coordinator for permission to run a suspect.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TrialRequest {
    /// Number by which the sender matches the response.
    pub number: u64,
    /// The request and the shared parts of its prompt.
    pub subjects: Subjects,
    /// The sender's records of those that are suspects.
    pub records: Vec<Record>,
    /// Remaining time until the request's deadline, in milliseconds.
    pub left_ms: u32,
}

/// Response to a [`TrialRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TrialResponse {
    /// Number of the trial request.
    pub number: u64,
    /// The decision.
    pub grant: Grant,
    /// The coordinator's records of the subjects that the sender took for suspects.
    pub records: Vec<Record>,
}
