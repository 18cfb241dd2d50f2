//! What a router may spend on second attempts.
//!
//! Load: an engine or a failure domain is gone and everything it ran is tried again, or all
//! engines are slow and every hedge looks worth it. Harm prevented: second attempts that add to
//! the very overload that caused them. Each first attempt earns a tenth of a second one, so that
//! over time retries and hedges add at most a tenth to the traffic; what is saved up is bounded,
//! so that a quiet hour cannot pay for a storm.

/// Second attempts earned by a first one: the tenth that the design allows.
const EARNED_PER_ATTEMPT: f64 = 0.1;

/// Most that is saved: an engine's whole batch may be tried again at once, but not a fleet's.
const MAX_BALANCE: f64 = 64.0;

/// What a router starts with, so that the first failure after a restart can be retried.
const INITIAL_BALANCE: f64 = 16.0;

/// Second attempts that may still be made.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    left: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            left: INITIAL_BALANCE,
        }
    }
}

impl RetryBudget {
    /// Earns for a first attempt.
    pub fn earn(&mut self) {
        self.left = (self.left + EARNED_PER_ATTEMPT).min(MAX_BALANCE);
    }

    /// Pays for a second attempt, or says that it cannot.
    #[must_use]
    pub fn pay(&mut self) -> bool {
        let paid = self.left >= 1.0;
        if paid {
            self.left -= 1.0;
        }
        paid
    }

    /// Gives back what was paid for an attempt that was not made.
    pub fn refund(&mut self) {
        self.left = (self.left + 1.0).min(MAX_BALANCE);
    }

    /// Second attempts left.
    pub fn left(&self) -> f64 {
        self.left
    }
}
