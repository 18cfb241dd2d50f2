//! Load control: rate limits, fair shares, retry budget, queue and per-engine windows.
//!
//! A request passes through them in this order. [`limits`] checks the rate limit of its team and,
//! for a retry, the retry budget. [`learned`] provides the service rate of the engines, from which
//! the expected queueing time and the team's fair share are computed. [`queue`] holds the request
//! until [`windows`] has room on an engine. [`crate::decider`] decides which requests are refused
//! and when their callers should retry.

pub mod learned;
pub mod limits;
pub mod queue;
pub mod windows;

pub use windows::Windows;
