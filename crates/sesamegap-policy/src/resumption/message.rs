//! Messages between VMs about streams that may be taken up again.

use super::log::StreamBatch;
use super::records::StreamKey;
use super::versions::{Origin, Testimony};
use serde::{Deserialize, Serialize};
use sesamegap_wire::ServiceId;

/// A message between VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A stream that a version began, with the milliseconds left to its caller; the receiver is one of its holders.
    Began(Origin, StreamKey, u32),
    /// Incarnations of upstreams to which connections broke: each may have restarted with another version.
    Broke(Vec<u64>),
    /// Asks which version began a stream.
    Ask(Question),
    /// The answer to a question, with its number.
    Answer(u64, Answer),
    /// Records to append to the store's log, for the VM that does so for all, and the number of the sender's call.
    Log(u64, StreamBatch),
    /// The records of a call are in the store's log.
    Logged(u64),
    /// Asks with a number whether the store's log has a record of a stream.
    AskLog(u64, StreamKey),
    /// The answer to such a question, with its number.
    LogAnswer(u64, LogAnswer),
}

/// Asks a holder which version began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Number of the question, unique among those of the sender.
    pub number: u64,
    /// The stream.
    pub stream: StreamKey,
    /// Services of its route.
    pub services: Vec<ServiceId>,
    /// Milliseconds before now in which it may have begun.
    pub window_ms: u32,
}

/// What the store's log tells of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogAnswer {
    /// The version that began it.
    Record(Origin),
    /// The log was read to its end and has no record of it.
    Absent,
    /// The log cannot be read now.
    Unread,
}

/// What a VM knows of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The version that began it.
    Record(Origin),
    /// No record of it, but the versions that can have begun it.
    Versions(Testimony),
}

impl Answer {
    /// The record of the stream.
    pub fn record(&self) -> Option<&Origin> {
        match self {
            Self::Record(origin) => Some(origin),
            Self::Versions(_) => None,
        }
    }

    /// The versions that can have begun the stream, if there is no record of it.
    pub fn testimony(&self) -> Option<&Testimony> {
        match self {
            Self::Record(_) => None,
            Self::Versions(testimony) => Some(testimony),
        }
    }
}
