//! State machine of one attempt to claim a key.

use super::{ClaimId, ClaimKey, ClaimRecord, Claims, KeyState};
use crate::agreement::ProcessId;
use sesamegap_wire::{Moment, Offset};
use std::time::Duration;

/// Next action for the caller of [`Claimant::poll`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Append this record, then call [`Claimant::appended`].
    Append(ClaimRecord),
    /// Wait until more of the log is applied to [`Claims`], then call [`Claimant::poll`].
    Wait,
    /// The attempt has ended.
    Done(ClaimOutcome),
}

/// Final result of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim is the first for the key: run the request now.
    Run,
    /// Another process holds the key: relay the request to it and never run it here.
    HeldByOther(ProcessId),
    /// This process already holds the key under an earlier attempt, whose result applies.
    EarlierAttempt(ClaimId),
    /// The claim was not confirmed before the deadline. The request was not run, but the claim may
    /// be in the log, so this release must be appended, now or when the key is presented again.
    TimedOut(ClaimRecord),
}

/// Result of an append as seen by the appending process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Appended {
    /// The record is in the log at this offset.
    At(Offset),
    /// The record may or may not be in the log.
    Unknown,
    /// The record is not in the log.
    Failed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Appending,
    Reading,
    Ended,
}

/// One attempt to claim a caller's key in order to run its request.
#[derive(Debug)]
pub struct Claimant {
    key: ClaimKey,
    claim: ClaimId,
    holder: ProcessId,
    deadline: Moment,
    state: State,
}

impl Claimant {
    /// Starts an attempt that must be decided within `timeout`.
    ///
    /// The timeout also guards against a paused process: one that resumes after hours and finds its
    /// claim first would run a request whose claim the log has dropped since, and which another
    /// router may have run. The timeout must therefore be far below the log's retention.
    pub fn new(
        key: ClaimKey,
        claim: ClaimId,
        holder: ProcessId,
        now: Moment,
        timeout: Duration,
    ) -> Self {
        Self {
            key,
            claim,
            holder,
            deadline: now + timeout,
            state: State::Appending,
        }
    }

    /// Returns the next action, given the claims read so far.
    pub fn poll(&mut self, claims: &Claims, now: Moment) -> Step {
        match claims.key_state(&self.key) {
            KeyState::Held(claim, _) if claim == self.claim => self.confirmed(now),
            KeyState::Held(claim, holder) if *holder == self.holder => {
                self.end(ClaimOutcome::EarlierAttempt(claim))
            }
            KeyState::Held(_, holder) => self.end(ClaimOutcome::HeldByOther(holder.clone())),
            KeyState::Free => self.unconfirmed(now),
        }
    }

    /// Records the result of the append requested by [`Step::Append`].
    ///
    /// After an unknown result the same record is appended again. [`Claims`] ignores the second
    /// copy, so the key is never claimed twice.
    pub fn appended(&mut self, result: Appended) {
        if self.state == State::Appending && matches!(result, Appended::At(_)) {
            self.state = State::Reading;
        }
    }

    /// Returns the id of this attempt.
    pub fn claim(&self) -> ClaimId {
        self.claim
    }

    fn confirmed(&mut self, now: Moment) -> Step {
        if now >= self.deadline {
            return self.time_out();
        }
        self.end(ClaimOutcome::Run)
    }

    fn unconfirmed(&mut self, now: Moment) -> Step {
        if now >= self.deadline {
            return self.time_out();
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

    fn time_out(&mut self) -> Step {
        let release = ClaimRecord::Release {
            key: self.key.clone(),
            claim: self.claim,
        };
        self.end(ClaimOutcome::TimedOut(release))
    }

    fn end(&mut self, outcome: ClaimOutcome) -> Step {
        self.state = State::Ended;
        Step::Done(outcome)
    }
}
