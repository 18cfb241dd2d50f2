//! The way of one request through its claim.

use super::{ClaimId, ClaimKey, ClaimRecord, Claims, KeyState};
use crate::agreement::Holder;
use sesamegap_wire::{Moment, Offset};
use std::time::Duration;

/// What the owner of a claimant must do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Append this record, then call [`Claimant::appended`].
    Append(ClaimRecord),
    /// Wait for the fold to move, then call [`Claimant::look`].
    Wait,
    /// Over.
    Done(ClaimOutcome),
}

/// How a claim ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim is the first: run the request now.
    Run,
    /// Another life holds the key: ask it, and never run.
    HeldByOther(Holder),
    /// This life held the key before, under another attempt, which knows what became of it.
    EarlierAttempt(ClaimId),
    /// The log could not be asked in time. Nothing was run; the claim may stand, so a release
    /// must be appended, now or when the key comes again.
    TimedOut(ClaimRecord),
}

/// Result of one append as the owner saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Appended {
    /// In the log at this offset.
    At(Offset),
    /// Perhaps in the log.
    Unknown,
    /// Not in the log.
    Failed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Appending,
    Reading,
    Ended,
}

/// One attempt to run a request under its caller's key.
#[derive(Debug)]
pub struct Claimant {
    key: ClaimKey,
    claim: ClaimId,
    holder: Holder,
    until: Moment,
    state: State,
}

impl Claimant {
    /// Starts an attempt that must be decided before `patience` has passed.
    ///
    /// The limit also guards against a pause: a process that sleeps for hours and wakes with its
    /// claim won would run a request whose claim the log has forgotten, and which another router
    /// may have run since. So patience must be far below the log's retention.
    pub fn new(
        key: ClaimKey,
        claim: ClaimId,
        holder: Holder,
        now: Moment,
        patience: Duration,
    ) -> Self {
        Self {
            key,
            claim,
            holder,
            until: now + patience,
            state: State::Appending,
        }
    }

    /// Looks at the fold and says what to do.
    pub fn poll(&mut self, claims: &Claims, now: Moment) -> Step {
        match claims.key_state(&self.key) {
            KeyState::Held(claim, _) if claim == self.claim => self.won(now),
            KeyState::Held(claim, holder) if *holder == self.holder => {
                self.end(ClaimOutcome::EarlierAttempt(claim))
            }
            KeyState::Held(_, holder) => self.end(ClaimOutcome::HeldByOther(holder.clone())),
            KeyState::Free => self.not_seen(now),
        }
    }

    /// Takes the result of the append that [`Step::Append`] asked for.
    ///
    /// After an unknown result the same record is appended again: the fold takes the first of
    /// the two and ignores the second, so this can never claim twice.
    pub fn appended(&mut self, result: Appended) {
        if self.state == State::Appending && matches!(result, Appended::At(_)) {
            self.state = State::Reading;
        }
    }

    /// The attempt's own id.
    pub fn claim(&self) -> ClaimId {
        self.claim
    }

    fn won(&mut self, now: Moment) -> Step {
        if now >= self.until {
            return self.give_up();
        }
        self.end(ClaimOutcome::Run)
    }

    fn not_seen(&mut self, now: Moment) -> Step {
        if now >= self.until {
            return self.give_up();
        }
        match self.state {
            State::Appending => Step::Append(ClaimRecord::Claim {
                key: self.key.clone(),
                claim: self.claim,
                holder: self.holder.clone(),
            }),
            State::Reading | State::Ended => Step::Wait,
        }
    }

    fn give_up(&mut self) -> Step {
        let release = ClaimRecord::Release {
            key: self.key.clone(),
            claim: self.claim,
        };
        self.end(ClaimOutcome::TimedOut(release))
    }

    fn end(&mut self, verdict: ClaimOutcome) -> Step {
        self.state = State::Ended;
        Step::Done(verdict)
    }
}
