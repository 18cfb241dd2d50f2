//! The pool against servers that misbehave, and the bounds on what is read.

#![expect(
    clippy::unwrap_used,
    reason = "helpers of tests stop where their setting cannot be made"
)]

mod pool;
mod server;
mod serving;
mod sse;
