//! Limits and speed of engines and platform.

use std::time::Duration;

/// Limits and speed of an engine.
#[derive(Debug, Clone)]
pub struct EngineLimits {
    /// Requests answered at once.
    pub slots: usize,
    /// Requests that may wait for a slot.
    pub queue: usize,
    /// Blocks the cache can hold.
    pub capacity: usize,
    /// Time to compute one prompt token that is not cached.
    pub prefill: Duration,
    /// Time to import one block.
    pub import: Duration,
    /// Time between two tokens of an answer.
    pub decode: Duration,
    /// Time between two heartbeats while there is no token.
    pub beat: Duration,
    /// Time until a cache event is published.
    pub events: Duration,
    /// Time between two updates of the load report.
    pub report: Duration,
    /// For which a finished answer can still be resumed.
    pub keep: Duration,
    /// By which a late answer is late.
    pub late: Duration,
    /// How many times slower a slow engine is.
    pub slow: u32,
}

impl Default for EngineLimits {
    fn default() -> Self {
        Self {
            slots: 16,
            queue: 64,
            capacity: 512,
            prefill: Duration::from_micros(5),
            import: Duration::from_millis(2),
            decode: Duration::from_millis(2),
            beat: Duration::from_millis(100),
            events: Duration::from_millis(100),
            report: Duration::from_millis(100),
            keep: Duration::from_secs(30),
            late: Duration::from_secs(1),
            slow: 8,
        }
    }
}

/// Limits and speed of the platform.
#[derive(Debug, Clone)]
pub struct PlatformLimits {
    /// Appends a second that the log takes.
    pub appends: u32,
    /// For which the log keeps a record.
    pub retention: Duration,
    /// By which a slow log is slow.
    pub slow: Duration,
    /// By which the VM list lags.
    pub lag: Duration,
    /// Time to load weights.
    pub load: Duration,
    /// Questions a second that the weight store answers.
    pub weights: u32,
}

impl Default for PlatformLimits {
    fn default() -> Self {
        Self {
            appends: 400,
            retention: Duration::from_hours(1),
            slow: Duration::from_secs(1),
            lag: Duration::from_secs(2),
            load: Duration::from_millis(400),
            weights: 50,
        }
    }
}
