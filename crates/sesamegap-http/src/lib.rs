//! Connections to platform and upstreams that are given up when they go mute.
//!
//! A connection can go silent for good while new ones to the same address work. Whoever then waits
//! on it, or takes it from a pool, waits in vain. So each target has a [`Pool`] of its own, whose
//! connections are dropped after a maximum age and as soon as one of them misbehaved, and every
//! wait for bytes has a limit. What is read is bounded, whatever the other side sends.
//!
//! [`Failure`] keeps apart what callers must keep apart: nothing was sent, or something may have
//! been. Redirects are not followed and nothing is retried here, since either would write a
//! request twice.

pub mod failure;
pub mod pool;
pub mod serving;
pub mod settings;
pub mod sse;

pub use failure::Failure;
pub use pool::Pool;
pub use settings::{Builder, Settings};
