//! Messages between VMs about rate limits.

use super::{Charge, RateLimit, SHARDS, ShardSet, Verdict};
use serde::{Deserialize, Serialize};
use sesamegap_wire::TeamId;
use std::net::SocketAddr;
use std::time::Duration;

/// Address of a VM's datagram socket; `None` is the VM itself.
pub type Peer = Option<SocketAddr>;

/// A message between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks all VMs to lend their parts of some shards.
    Claim(Claim),
    /// The answer to a claim.
    Loan(Loan),
    /// The sender does not use the parts of these shards any longer.
    Release(ShardSet),
    /// Charges a request to its team.
    Charge {
        /// Number of the request, unique among those of the sender.
        number: u64,
        /// The team.
        team: TeamId,
        /// Tokens, or one if the limit counts requests.
        cost: f64,
        /// Priority of the request.
        priority: u8,
        /// The team's limit.
        limit: RateLimit,
        /// Revision of the settings that contain the limit.
        revision: u64,
    },
    /// The answer to a charge, with its number.
    Charged(u64, Outcome),
    /// Returns the tokens of a request that did not run, or charges a further run of one.
    Adjust(TeamId, f64),
}

/// A verdict in a message; refusals with milliseconds until a return.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The request may run.
    Granted,
    /// The team's limit is used up.
    OverLimit(u32),
    /// The sender holds too small a part of the limit.
    NoRights(u32),
}

impl Outcome {
    /// The verdict.
    pub fn verdict(self) -> Verdict {
        let wait = |ms| Duration::from_millis(u64::from(ms));
        match self {
            Self::Granted => Verdict::Granted,
            Self::OverLimit(ms) => Verdict::OverLimit(wait(ms)),
            Self::NoRights(ms) => Verdict::NoRights(wait(ms)),
        }
    }
}

impl Message {
    /// Asks another VM to charge a request.
    pub fn charge(number: u64, charge: &Charge<'_>) -> Self {
        Self::Charge {
            number,
            team: charge.team.clone(),
            cost: charge.cost,
            priority: charge.priority,
            limit: charge.limit,
            revision: charge.revision,
        }
    }

    /// The number and the request of a [`Message::Charge`].
    pub fn as_charge(&self) -> Option<(u64, Charge<'_>)> {
        let Self::Charge {
            number,
            ref team,
            cost,
            priority,
            limit,
            revision,
        } = *self
        else {
            return None;
        };
        let charge = Charge {
            team,
            cost,
            priority,
            limit,
            revision,
        };
        Some((number, charge))
    }

    /// The answer to a charge.
    pub fn charged(number: u64, verdict: Verdict) -> Self {
        let ms = |wait: Duration| u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        let outcome = match verdict {
            Verdict::Granted => Outcome::Granted,
            Verdict::OverLimit(wait) => Outcome::OverLimit(ms(wait)),
            Verdict::NoRights(wait) => Outcome::NoRights(ms(wait)),
        };
        Self::Charged(number, outcome)
    }
}

/// Asks all VMs to lend their parts of some shards.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The shards.
    pub shards: ShardSet,
    /// The sender's time, returned in the answer.
    pub at: u64,
    /// Number of VMs that the sender knows by itself, not from claims; the number could never fall otherwise.
    pub vms: u32,
    /// Highest fraction of a shard that the sender holds, by shard in 255ths.
    pub fractions: [u8; SHARDS],
}

/// The answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// The shards of which the sender lends its part.
    pub shards: ShardSet,
    /// Time of the claim.
    pub at: u64,
    /// Number of VMs among which the sender divides the limits.
    pub vms: u32,
}

/// A message and its recipient.
pub type Outgoing = (SocketAddr, Message);
