//! Idempotency keys issued by a router, which ensure at-most-once execution without the log.
//!
//! A ticket names the incarnation that issued it, and only that incarnation runs a request under
//! it. Every other router relays the request to that incarnation; if it is gone, the router answers
//! `ran: unknown` and never runs the request. Routers share no state, so non-repeatable requests
//! keep working while the log is down.
//!
//! Memory is bounded: a ticket is valid for its lifetime and is remembered for twice as long.
//! Between the two, an unused ticket is refused as certainly not run; after that, whether it ran is
//! unknown.

use super::ProcessId;
use sesamegap_wire::{Incarnation, Moment, ParseError, TeamId, VmId};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

const ALLOWED: &str = "`t~VM~INCARNATION~NUMBER~MINTED`, the last three in hexadecimal";

/// An idempotency key issued by a router.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// The issuing process, which is the only one that may run a request under the ticket.
    pub holder: ProcessId,
    /// Sequence number among the tickets of this incarnation.
    pub number: u64,
    /// When the ticket was issued, by the issuing router's clock.
    pub minted: Moment,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t~{}~{:x}~{:x}", self.holder, self.number, self.minted.0)
    }
}

impl FromStr for Ticket {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let excerpt = || text.chars().take(128).collect::<String>();
        let invalid = || ParseError::new("ticket", excerpt(), ALLOWED);
        let hex = |part: &str| u64::from_str_radix(part, 16).map_err(|_| invalid());
        let parts: Vec<&str> = text.splitn(6, '~').collect();
        let ["t", vm, incarnation, number, minted] = parts[..] else {
            return Err(invalid());
        };
        Ok(Self {
            holder: ProcessId {
                vm: vm.parse::<VmId>().map_err(|_| invalid())?,
                incarnation: Incarnation(hex(incarnation)?),
            },
            number: hex(number)?,
            minted: Moment(hex(minted)?),
        })
    }
}

/// Result of presenting a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Run the request; the ticket is now marked as used.
    Run,
    /// The ticket was used before; reply with the stored response or the running stream.
    Used,
    /// Another incarnation issued the ticket: relay the request there and never run it here.
    Other(ProcessId),
    /// The ticket is past its lifetime and was never used, so the request certainly did not run.
    Expired,
    /// The ticket is no longer remembered, so whether the request ran is unknown.
    Unknown,
    /// This router did not issue the ticket to this team.
    Forged,
}

#[derive(Debug)]
struct QueuedTicket {
    number: u64,
    minted: Moment,
}

/// The tickets issued by one incarnation.
#[derive(Debug)]
pub struct Tickets {
    holder: ProcessId,
    lifetime: Duration,
    next_number: u64,
    /// Remembered tickets by number.
    remembered: HashMap<u64, TicketState>,
    /// Remembered tickets in the order of issue, which is the order of eviction.
    eviction_queue: VecDeque<QueuedTicket>,
    capacity: usize,
}

#[derive(Debug)]
struct TicketState {
    team: TeamId,
    minted: Moment,
    used: bool,
}

impl Tickets {
    /// Starts without tickets; remembers at most `capacity` of them at a time.
    pub fn new(holder: ProcessId, lifetime: Duration, capacity: usize) -> Self {
        Self {
            holder,
            lifetime,
            next_number: 0,
            remembered: HashMap::new(),
            eviction_queue: VecDeque::new(),
            capacity,
        }
    }

    /// Issues a ticket, or returns `None` while `capacity` tickets are remembered.
    ///
    /// The capacity prevents a caller that requests tickets without end from exhausting memory.
    /// Evicting a ticket early instead would allow a used one to be used again.
    pub fn mint(&mut self, team: &TeamId, now: Moment) -> Option<Ticket> {
        self.evict_old(now);
        if self.remembered.len() >= self.capacity {
            return None;
        }
        let number = self.next_number;
        self.next_number += 1;
        let state = TicketState {
            team: team.clone(),
            minted: now,
            used: false,
        };
        self.remembered.insert(number, state);
        self.eviction_queue.push_back(QueuedTicket {
            number,
            minted: now,
        });
        Some(Ticket {
            holder: self.holder.clone(),
            number,
            minted: now,
        })
    }

    /// Checks a ticket and marks it as used if its request may run.
    pub fn admit(&mut self, ticket: &Ticket, team: &TeamId, now: Moment) -> Admission {
        if ticket.holder != self.holder {
            return Admission::Other(ticket.holder.clone());
        }
        self.evict_old(now);
        let lifetime = self.lifetime;
        let Some(state) = self.remembered.get_mut(&ticket.number) else {
            let was_minted = ticket.number < self.next_number;
            return if was_minted {
                Admission::Unknown
            } else {
                Admission::Forged
            };
        };
        if state.team != *team || state.minted != ticket.minted {
            return Admission::Forged;
        }
        if state.used {
            return Admission::Used;
        }
        if now.since(state.minted) > lifetime {
            return Admission::Expired;
        }
        state.used = true;
        Admission::Run
    }

    /// Number of tickets that are remembered.
    pub fn len(&self) -> usize {
        self.remembered.len()
    }

    /// Whether no ticket is remembered.
    pub fn is_empty(&self) -> bool {
        self.remembered.is_empty()
    }

    fn evict_old(&mut self, now: Moment) {
        let memory = self.lifetime * 2;
        while let Some(old) = self
            .eviction_queue
            .pop_front_if(|old| now.since(old.minted) > memory)
        {
            self.remembered.remove(&old.number);
        }
    }
}
