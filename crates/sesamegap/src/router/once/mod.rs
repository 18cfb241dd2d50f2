//! Idempotency keys: what may run, where, and only once.
//!
//! Three things are asked in turn. [`Once::place`] says which router may run a key: the one that a
//! [`Ticket`] names, or the one whose claim on a caller's own key comes first in the log. Then, on
//! that router alone, [`Once::enter`] lets one request run under the key and gives every other one
//! its answer. A key whose router is gone is never run again, because nobody can tell any longer
//! whether it was.

mod appender;
pub mod claims;
pub mod follow;
mod key;
mod runs;
mod ticket;

pub use appender::{Appender, append};
pub use claims::{ClaimRecord, Claims};
pub use runs::Entry;
pub use ticket::Ticket;

use super::callers::ApiError;
use super::clock::unix_ms;
use super::core::Core;
use super::lock;
use super::streams::Answer;
use appender::Claimed;
use poem::http::StatusCode;
use runs::Runs;
use sesamegap_wire::{Incarnation, RequestId, TeamId, VmId};
use smol_str::SmolStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::timeout;

/// One life of a router, which alone may run a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Its VM.
    pub vm: VmId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Which router may run a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// This one.
    Here,
    /// Another one.
    There(Holder),
}

/// The keys that this router knows of.
#[derive(Debug)]
pub struct Once {
    runs: Mutex<Runs>,
    claims: Arc<Mutex<Claims>>,
    appender: Appender,
    tickets: AtomicU64,
    keep: Duration,
}

impl Once {
    /// Starts with no key; each one is remembered for several times `keep`.
    pub fn new(claims: Arc<Mutex<Claims>>, appender: Appender, keep: Duration) -> Self {
        Self {
            runs: Mutex::new(Runs::new(keep)),
            claims,
            appender,
            tickets: AtomicU64::new(0),
            keep,
        }
    }

    /// Mints a ticket, which only this life of this router will run.
    pub fn mint(&self, core: &Core) -> Ticket {
        Ticket {
            holder: this(core),
            seq: self.tickets.fetch_add(1, Ordering::Relaxed),
            minted: unix_ms(),
        }
    }

    /// Finds out which router may run a key, claiming it if nobody has.
    pub async fn place(
        &self,
        core: &Core,
        team: &TeamId,
        key: &SmolStr,
    ) -> Result<Place, ApiError> {
        if lock(&self.runs).knows(team, key) {
            return Ok(Place::Here);
        }
        if let Some(ticket) = Ticket::parse(key) {
            return self.place_ticket(core, ticket);
        }
        key::check_age(key, unix_ms())?;
        let known = lock(&self.claims).holder(team, key);
        match known {
            Some(claim) if claim.holder == this(core) => self.held(claim.seen.elapsed()),
            Some(claim) => Ok(Place::There(claim.holder)),
            None => self.claim(core, team, key).await,
        }
    }

    /// Lets one request run under a key, or finds the answer of the one that did.
    pub fn enter(
        &self,
        core: &Core,
        team: &TeamId,
        key: &SmolStr,
        digest: blake3::Hash,
        open: impl FnOnce(RequestId) -> Result<Arc<Answer>, ApiError>,
    ) -> Result<Entry, ApiError> {
        let request = core.mint();
        let find = |request: &RequestId| core.kept.get(request);
        lock(&self.runs).enter(team, key, digest, find, || open(request))
    }

    /// Number of keys run here, and of claims known.
    pub fn size(&self) -> (usize, usize) {
        (lock(&self.runs).len(), lock(&self.claims).len())
    }

    fn place_ticket(&self, core: &Core, ticket: Ticket) -> Result<Place, ApiError> {
        if ticket.holder != this(core) {
            return Ok(Place::There(ticket.holder));
        }
        if ticket.seq >= self.tickets.load(Ordering::Relaxed) {
            return Err(ApiError::bad("bad_key", "this ticket was never handed out"));
        }
        let age = unix_ms().saturating_sub(ticket.minted);
        if Duration::from_millis(age) > self.keep {
            return Err(expired("the ticket is too old"));
        }
        Ok(Place::Here)
    }

    /// A claim of this router's that was not run for long may have been run and forgotten.
    fn held(&self, age: Duration) -> Result<Place, ApiError> {
        if age > self.keep {
            return Err(expired("the key was claimed too long ago"));
        }
        Ok(Place::Here)
    }

    async fn claim(&self, core: &Core, team: &TeamId, key: &SmolStr) -> Result<Place, ApiError> {
        let record = ClaimRecord {
            id: core.mint(),
            team: team.clone(),
            key: key.clone(),
        };
        let pending = self.appender.claim(record)?;
        match timeout(core.config.timing.log, pending.done()).await {
            Ok(Claimed::By(holder)) if holder == this(core) => Ok(Place::Here),
            Ok(Claimed::By(holder)) => Ok(Place::There(holder)),
            Ok(Claimed::Failed) | Err(_) => Err(log_down()),
        }
    }
}

/// This life of this router.
pub fn this(core: &Core) -> Holder {
    Holder {
        vm: core.config.vm.clone(),
        incarnation: core.incarnation,
    }
}

fn expired(message: &str) -> ApiError {
    let message = format!("{message}; whether it ran cannot be known any longer");
    ApiError::unknown(StatusCode::CONFLICT, "key_expired", message)
}

/// Nothing ran: without the log nobody can tell who may run the key.
fn log_down() -> ApiError {
    ApiError::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "log_down",
        "the log that decides who may run a key cannot be reached; a ticket works without it",
    )
    .after(Duration::from_secs(1))
}
