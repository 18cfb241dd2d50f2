//! Retry budget that limits the retries and hedges of a router.
//!
//! When an engine or a failure domain is lost, all its requests are retried; when all engines are
//! slow, every hedge seems worthwhile. Without a limit these extra attempts add to the overload
//! that caused them. Each first attempt earns a tenth of an extra attempt, so that retries and
//! hedges add at most a tenth to the traffic over time. The balance is capped, so that a long
//! quiet period can't pay for a retry storm.

/// Retries or hedges earned by each first attempt: they may add at most a tenth to the traffic.
const EARNED_PER_ATTEMPT: f64 = 0.1;

/// Upper bound of the balance: enough to retry the whole batch of one engine at once, but not
/// those of the fleet.
const MAX_BALANCE: f64 = 64.0;

/// Balance after a restart, so that the first failures can be retried.
const INITIAL_BALANCE: f64 = 16.0;

/// Token bucket of the retries and hedges that may still be made.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: INITIAL_BALANCE,
        }
    }
}

impl RetryBudget {
    /// Credits a first attempt.
    pub fn earn(&mut self) {
        self.balance = (self.balance + EARNED_PER_ATTEMPT).min(MAX_BALANCE);
    }

    /// Pays for a retry or hedge; returns `false` if the balance is too low.
    #[must_use]
    pub fn try_spend(&mut self) -> bool {
        let paid = self.balance >= 1.0;
        if paid {
            self.balance -= 1.0;
        }
        paid
    }

    /// Refunds an attempt that was paid for but not made.
    pub fn refund(&mut self) {
        self.balance = (self.balance + 1.0).min(MAX_BALANCE);
    }

    /// Retries or hedges left.
    pub fn left(&self) -> f64 {
        self.balance
    }
}
