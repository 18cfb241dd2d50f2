//! The router process: callers' requests in, engines' answers out.
//!
//! A request comes in through [`callers`], which identifies its team, reads it within bounds and
//! checks it against the settings. [`once`] says whether its idempotency key lets it run. A task of
//! [`streams`] then asks the decider thread ([`deciding`]) for an engine, sends it there and puts the
//! answer together, which the caller's connection reads at its own pace. Beside this, one thread
//! follows the VM list and the engines ([`fleet`]), one the log ([`follow_log`], [`tree`]), and
//! [`peers`] speaks to other routers. [`start`](Router::start) joins all this; a planned stop is
//! [`Running::stop`].

pub mod callers;
pub mod clock;
pub mod core;
pub mod deciding;
pub mod demand;
mod door;
pub mod fleet;
pub mod follow_log;
mod learn;
pub mod once;
mod operators;
pub mod peers;
pub mod phase;
mod running;
mod start;
pub mod streams;
pub mod tree;

pub use running::Running;
pub use start::{Links, Router};

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks, whatever a panicking holder left: every holder leaves the data whole at each step.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
