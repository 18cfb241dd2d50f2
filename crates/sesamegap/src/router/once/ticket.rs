//! Tickets: idempotency keys that name the one router life that may run them.

use super::Holder;
use sesamegap_wire::Incarnation;
use std::fmt;

/// What tells a ticket from a caller's own key.
const MARK: &str = "ticket~";

/// An idempotency key minted by a router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Who alone may run it.
    pub holder: Holder,
    /// Counts the holder's tickets.
    pub seq: u64,
    /// When it was minted, in milliseconds since the Unix epoch.
    pub minted: u64,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Holder { vm, incarnation } = &self.holder;
        write!(
            f,
            "{MARK}{vm}~{:x}~{:x}~{:x}",
            incarnation.0, self.seq, self.minted
        )
    }
}

impl Ticket {
    /// Reads a key, if it is a ticket.
    pub fn parse(key: &str) -> Option<Self> {
        let mut parts = key.strip_prefix(MARK)?.split('~');
        let vm = parts.next()?.parse().ok()?;
        let mut number = || u64::from_str_radix(parts.next()?, 16).ok();
        let ticket = Self {
            holder: Holder {
                vm,
                incarnation: Incarnation(number()?),
            },
            seq: number()?,
            minted: number()?,
        };
        parts.next().is_none().then_some(ticket)
    }
}
