//! The pool with faulty servers, limits on responses, and the close of callers' connections.

#![expect(
    clippy::unwrap_used,
    reason = "test helpers panic if their setup fails"
)]

mod pool;
mod server;
mod serving;
mod sse;
