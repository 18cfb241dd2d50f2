//! Idempotency keys that a router mints, so that no log is needed to run a request once.
//!
//! A ticket names the incarnation that minted it, and only that incarnation ever runs a request
//! under it. Any other router relays to it, and if it is gone answers `ran: unknown` and never
//! runs the request. So no state is shared, and non-repeatable requests keep working while the
//! log is down.
//!
//! The book of used tickets is bounded: a ticket can be used for its life, and the book remembers
//! a used one for twice as long. In between, an unused ticket is refused as certainly not run;
//! after that nobody can tell.

use super::Holder;
use sesamegap_wire::{Incarnation, Moment, ParseError, TeamId, VmId};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

const ALLOWED: &str = "`t~VM~INCARNATION~NUMBER~MINTED`, the last three in hexadecimal";

/// A key minted by a router.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// The only process that may run it.
    pub holder: Holder,
    /// Counts the tickets of this incarnation.
    pub number: u64,
    /// When it was minted, on the minting router's clock.
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
        let shown = || text.chars().take(128).collect::<String>();
        let wrong = || ParseError::new("ticket", shown(), ALLOWED);
        let hex = |part: &str| u64::from_str_radix(part, 16).map_err(|_| wrong());
        let parts: Vec<&str> = text.splitn(6, '~').collect();
        let ["t", vm, incarnation, number, minted] = parts[..] else {
            return Err(wrong());
        };
        Ok(Self {
            holder: Holder {
                vm: vm.parse::<VmId>().map_err(|_| wrong())?,
                incarnation: Incarnation(hex(incarnation)?),
            },
            number: hex(number)?,
            minted: Moment(hex(minted)?),
        })
    }
}

/// What may be done under a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Run the request: it is now used.
    Run,
    /// It was used before; the kept answer or the running stream is the answer.
    Used,
    /// Another life minted it: relay there, never run here.
    Other(Holder),
    /// Certainly not run: too old to be used, and remembered as unused.
    Expired,
    /// Too old for anybody to tell.
    Unknown,
    /// Not minted by this router for this team.
    Forged,
}

#[derive(Debug)]
struct Used {
    number: u64,
    minted: Moment,
}

/// The tickets of one incarnation.
#[derive(Debug)]
pub struct Tickets {
    holder: Holder,
    life: Duration,
    minted: u64,
    owners: HashMap<u64, Minted>,
    order: VecDeque<Used>,
    most: usize,
}

#[derive(Debug)]
struct Minted {
    team: TeamId,
    moment: Moment,
    used: bool,
}

impl Tickets {
    /// Opens the book of one incarnation, holding at most `most` tickets that can still be told.
    pub fn new(holder: Holder, life: Duration, most: usize) -> Self {
        Self {
            holder,
            life,
            minted: 0,
            owners: HashMap::new(),
            order: VecDeque::new(),
            most,
        }
    }

    /// Mints a ticket, or nothing while the book is full of younger ones.
    ///
    /// The bound keeps a caller that mints without end from filling the memory; dropping a
    /// ticket early instead would let a used one be used again.
    pub fn mint(&mut self, team: &TeamId, now: Moment) -> Option<Ticket> {
        self.forget(now);
        if self.owners.len() >= self.most {
            return None;
        }
        let number = self.minted;
        self.minted += 1;
        let minted = Minted {
            team: team.clone(),
            moment: now,
            used: false,
        };
        self.owners.insert(number, minted);
        self.order.push_back(Used {
            number,
            minted: now,
        });
        Some(Ticket {
            holder: self.holder.clone(),
            number,
            minted: now,
        })
    }

    /// Uses a ticket once.
    pub fn admit(&mut self, ticket: &Ticket, team: &TeamId, now: Moment) -> Admission {
        if ticket.holder != self.holder {
            return Admission::Other(ticket.holder.clone());
        }
        self.forget(now);
        let life = self.life;
        let Some(minted) = self.owners.get_mut(&ticket.number) else {
            let was_minted = ticket.number < self.minted;
            return if was_minted {
                Admission::Unknown
            } else {
                Admission::Forged
            };
        };
        if minted.team != *team || minted.moment != ticket.minted {
            return Admission::Forged;
        }
        if minted.used {
            return Admission::Used;
        }
        if now.since(minted.moment) > life {
            return Admission::Expired;
        }
        minted.used = true;
        Admission::Run
    }

    /// Number of tickets that can still be told.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Whether no ticket can be told any longer.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    fn forget(&mut self, now: Moment) {
        let remembered = self.life * 2;
        while let Some(old) = self
            .order
            .pop_front_if(|old| now.since(old.minted) > remembered)
        {
            self.owners.remove(&old.number);
        }
    }
}
