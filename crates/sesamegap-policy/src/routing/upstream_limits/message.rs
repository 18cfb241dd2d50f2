//! Messages between VMs about the limits of upstreams.

use super::known::Statement;
use serde::{Deserialize, Serialize};
use sesamegap_wire::{Moment, RequestRate};
use std::time::Duration;

/// A statement of an upstream, with ages in place of moments.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitNews {
    /// Number of the upstream's incarnation, the same on all VMs.
    pub life: u64,
    /// The limit; `None` if it has ended.
    pub rate: Option<RequestRate>,
    /// Milliseconds since the request was sent.
    pub sent_ms: u32,
    /// Milliseconds since its answer arrived.
    pub received_ms: u32,
}

impl LimitNews {
    /// A statement as of now.
    pub(super) fn new(life: u64, statement: Statement, now: Moment) -> Self {
        let age = |at| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        Self {
            life,
            rate: statement.rate,
            sent_ms: age(statement.sent),
            received_ms: age(statement.received),
        }
    }

    /// The statement, for a VM that receives it now.
    pub(super) fn statement(&self, now: Moment) -> Statement {
        let at = |ms| now.saturating_sub(Duration::from_millis(u64::from(ms)));
        Statement {
            rate: self.rate,
            sent: at(self.sent_ms),
            received: at(self.received_ms),
        }
    }
}

/// A message between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// What upstreams said, to all VMs.
    News(Vec<LimitNews>),
    /// Asks the VM that counts for a permit to send one request; with what the sender knows of the limit.
    Ask {
        /// Number of the question, unique among those of the sender.
        number: u64,
        /// What it knows.
        news: LimitNews,
    },
    /// The answer to a question, with its number.
    Answer(u64, Verdict),
    /// Asks for all that the receiver knows; sent by a VM that may have missed news.
    Copy,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// It may, for [`super::PERMIT_TTL`] from the moment at which the question was sent.
    Granted,
    /// The upstream takes no more; the sender may ask again after so many milliseconds.
    Closed(u32),
    /// The limit has ended.
    Ended(LimitNews),
    /// Another VM counts, as the receiver sees it.
    NotCounting,
}
