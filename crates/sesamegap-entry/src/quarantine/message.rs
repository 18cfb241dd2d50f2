//! What VMs tell each other of requests under which upstreams ended.

use serde::{Deserialize, Serialize};
use sesamegap_policy::quarantine::{Crash, Grant, Record};
use sesamegap_wire::Fingerprint;

/// A message between entry VMs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// What a VM saw, to the coordinator and its replicas.
    Reports(Vec<Report>),
    /// What is known, from the coordinator or from any VM by turns.
    Records(Vec<Record>),
    /// May this request run?
    Ask(Ask),
    /// Whether it may.
    Answer(Answer),
}

/// What a VM saw of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// An upstream ended under it.
    Crashed {
        /// The request.
        request: Fingerprint,
        /// The upstream.
        crash: Crash,
    },
    /// It ran to its end.
    Completed {
        /// The request.
        request: Fingerprint,
        /// Times that it was cleared before.
        epoch: u32,
    },
    /// Its trial is over, whatever came of it.
    Released {
        /// The request.
        request: Fingerprint,
    },
}

/// A question to the coordinator.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Ask {
    /// Number that the asker gave it.
    pub number: u64,
    /// What the asker knows of the request.
    pub record: Record,
    /// Time left to the caller, in milliseconds.
    pub left_ms: u32,
}

/// The answer to a question.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Answer {
    /// Number that the asker gave.
    pub number: u64,
    /// What it may do.
    pub grant: Grant,
    /// What is known of the request.
    pub record: Option<Record>,
}
