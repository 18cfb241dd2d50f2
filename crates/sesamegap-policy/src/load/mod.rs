//! Limits under load: queues, windows, shares and budgets.
//!
//! A request meets them in this order. [`limits`] asks whether its team may send so much and,
//! for a second attempt, whether the budget pays. [`learned`] gives the rate at which engines
//! take work, from which follow the wait ahead of the request and its team's fair share.
//! [`queue`] holds it until [`windows`] has room on an engine. What is refused, and when to come
//! back, is decided in [`crate::decider`].

pub mod learned;
pub mod limits;
pub mod queue;
pub mod windows;

pub use windows::Windows;
