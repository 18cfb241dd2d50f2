//! Idempotency keys: what may run, where, and only once.
//!
//! Two questions are asked in turn. [`Once::place`] says which router may run a key: the one that
//! minted it as a ticket, or the one whose claim on a caller's own key comes first in the log.
//! Then, on that router alone, [`Once::enter`] lets one request run under the key and gives every
//! other one its answer. A key whose router is gone is never run again, because nobody can tell
//! any longer whether it was.
//!
//! The rules are those of [`sesamegap_policy::agreement`]; here they meet the log and the callers.

mod appender;
pub mod follow;
mod runs;

pub use appender::{Appender, Pending, append};
pub use runs::Entry;

use super::callers::ApiError;
use super::clock::unix_ms;
use super::core::Core;
use super::lock;
use super::streams::Answer;
use crate::config::Timing;
use follow::SharedClaims;
use poem::http::StatusCode;
use runs::Runs;
use sesamegap_policy::agreement::ProcessId;
use sesamegap_policy::agreement::claims::{
    Appended, ClaimId, ClaimKey, ClaimOutcome, ClaimRecord, Claimant, KeyAge, KeyState,
    KeyValidity, Step,
};
use sesamegap_policy::agreement::tickets::{Admission, Ticket, Tickets};
use sesamegap_wire::{RequestId, TeamId};
use smol_str::SmolStr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Most by which callers' clocks may differ from ours.
const SKEW: Duration = Duration::from_mins(1);

/// Tickets that can be outstanding; a caller that mints without end must not fill the memory.
const TICKETS: usize = 1 << 16;

/// Pause before an append that failed is tried again.
const PAUSE: Duration = Duration::from_millis(100);

/// Which router may run a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// This one.
    Here,
    /// Another one.
    There(ProcessId),
}

/// The keys that this router knows of.
#[derive(Debug)]
pub struct Once {
    me: ProcessId,
    runs: Mutex<Runs>,
    tickets: Mutex<Tickets>,
    claims: SharedClaims,
    appender: Appender,
    life: KeyValidity,
}

impl Once {
    /// Starts with no key; a ticket can be used for `keep`.
    pub fn new(me: ProcessId, claims: SharedClaims, appender: Appender, timing: &Timing) -> Self {
        Self {
            runs: Mutex::new(Runs::new(timing.retention)),
            tickets: Mutex::new(Tickets::new(me.clone(), timing.keep, TICKETS)),
            claims,
            appender,
            life: KeyValidity::new(timing.retention, SKEW.min(timing.retention / 4)),
            me,
        }
    }

    /// Mints a ticket, which only this life of this router will run.
    ///
    /// # Errors
    /// If too many are outstanding.
    pub fn mint(&self, core: &Core, team: &TeamId) -> Result<Ticket, ApiError> {
        let ticket = lock(&self.tickets).mint(team, core.clock.now());
        ticket.ok_or_else(|| ApiError::overload("too many tickets are outstanding"))
    }

    /// Finds out which router may run a key, claiming it if nobody has.
    ///
    /// # Errors
    /// If the key may not run, or the log cannot be asked; nothing was run.
    pub async fn place(
        &self,
        core: &Core,
        team: &TeamId,
        key: &SmolStr,
    ) -> Result<Place, ApiError> {
        let claim = ClaimKey {
            team: team.clone(),
            key: key.clone(),
        };
        if lock(&self.runs).knows(&claim) {
            return Ok(Place::Here);
        }
        if let Ok(ticket) = key.parse::<Ticket>() {
            return self.place_ticket(core, team, &ticket);
        }
        self.check_age(key)?;
        self.claim(core, claim).await
    }

    /// Lets one request run under a key, or finds the answer of the one that did.
    ///
    /// Only a key that [`Once::place`] has placed here may enter.
    ///
    /// # Errors
    /// If it may not run now, or its answer is kept no longer.
    pub fn enter(
        &self,
        core: &Core,
        team: &TeamId,
        key: &SmolStr,
        digest: blake3::Hash,
        open: impl FnOnce(RequestId) -> Result<Arc<Answer>, ApiError>,
    ) -> Result<Entry, ApiError> {
        let key = ClaimKey {
            team: team.clone(),
            key: key.clone(),
        };
        let find = |request: &RequestId| core.kept.get(request);
        lock(&self.runs).enter(&key, digest, find, || open(core.mint()))
    }

    /// Lets nothing in any longer, and gives back the claims under which nothing ran.
    ///
    /// A claim that is not given back would answer `ran: unknown` for good once this router is
    /// gone, although it is certain that nothing ran.
    pub async fn close(&self, limit: Duration) {
        let unused = lock(&self.runs).close();
        if unused.is_empty() {
            return;
        }
        let count = unused.len();
        let until = Instant::now() + limit;
        for record in unused {
            let appended = timeout_at(until, self.appender.append(record)).await;
            if !matches!(appended, Ok(Ok(Appended::At(_)))) {
                return;
            }
        }
        tracing::info!(
            event = crate::events::CLAIM_RELEASED.number,
            count,
            "claims released"
        );
    }

    /// Number of keys run here, and of claims known.
    pub fn size(&self) -> (usize, usize) {
        (lock(&self.runs).len(), self.claims.len())
    }

    fn place_ticket(&self, core: &Core, team: &TeamId, ticket: &Ticket) -> Result<Place, ApiError> {
        match lock(&self.tickets).admit(ticket, team, core.clock.now()) {
            // A used ticket that nothing ran under was refused before it ran, and may try again.
            Admission::Run | Admission::Used => Ok(Place::Here),
            Admission::Other(holder) => Ok(Place::There(holder)),
            Admission::Expired => Err(ApiError::not_run(
                StatusCode::CONFLICT,
                "key_expired",
                "the ticket is too old and was never used",
            )),
            Admission::Unknown => Err(expired("the ticket is too old")),
            Admission::Forged => Err(ApiError::bad(
                "bad_key",
                "this ticket was not handed out to this team",
            )),
        }
    }

    /// Refuses a key whose claim the log may have dropped already.
    fn check_age(&self, key: &str) -> Result<(), ApiError> {
        match self.life.classify(key, unix_ms()) {
            KeyAge::Fresh | KeyAge::Untimed => Ok(()),
            KeyAge::Stale => Err(expired("the key is older than the log keeps claims")),
            KeyAge::InFuture => Err(ApiError::bad(
                "bad_key",
                "the key's time lies in the future",
            )),
        }
    }

    async fn claim(&self, core: &Core, key: ClaimKey) -> Result<Place, ApiError> {
        let patience = core.config.timing.log;
        let until = Instant::now() + patience;
        let id = ClaimId(rand::random());
        let now = core.clock.now();
        let mut claimant = Claimant::new(key.clone(), id, self.me.clone(), now, patience);
        loop {
            let mut moved = self.claims.subscribe();
            let step = self.claims.look(&mut claimant, core.clock.now());
            match step {
                Step::Append(record) => {
                    let appended = timeout_at(until, self.appender.append(record)).await;
                    let appended = appended.unwrap_or(Ok(Appended::Unknown))?;
                    claimant.appended(appended);
                    if !matches!(appended, Appended::At(_)) {
                        drop(timeout_at(until.min(Instant::now() + PAUSE), moved.changed()).await);
                    }
                }
                Step::Wait => drop(timeout_at(until, moved.changed()).await),
                Step::Done(ClaimOutcome::Run) => {
                    let release = ClaimRecord::Release {
                        key: key.clone(),
                        claim: id,
                    };
                    return self.won(key, release).await;
                }
                Step::Done(ClaimOutcome::EarlierAttempt(_)) => return Ok(Place::Here),
                Step::Done(ClaimOutcome::HeldByOther(holder)) => return Ok(Place::There(holder)),
                Step::Done(ClaimOutcome::TimedOut(release)) => {
                    // The claim may stand: this router goes on holding the key and runs it if the
                    // caller comes again; only at its end does it give the claim back.
                    lock(&self.runs).unused(key, release);
                    return Err(log_down());
                }
            }
        }
    }

    /// Notes a claim that holds, or gives it back if this router lets nothing in any longer.
    async fn won(&self, key: ClaimKey, release: ClaimRecord) -> Result<Place, ApiError> {
        if lock(&self.runs).unused(key, release.clone()) {
            return Ok(Place::Here);
        }
        self.appender.append(release).await?;
        Err(ApiError::overload("this router is stopping"))
    }

    /// Which life holds a key, as far as the log was read.
    pub fn holder(&self, team: &TeamId, key: &SmolStr) -> Option<ProcessId> {
        let key = ClaimKey {
            team: team.clone(),
            key: key.clone(),
        };
        self.claims.with(|claims| match claims.key_state(&key) {
            KeyState::Held(_, holder) => Some(holder.clone()),
            KeyState::Free => None,
        })
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
        "the log that decides who may run a key cannot be reached; this attempt was not run: \
         ask again with the same key",
    )
    .after(Duration::from_secs(1))
}
