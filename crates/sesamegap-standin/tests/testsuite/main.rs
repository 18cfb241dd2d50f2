//! Clients against stand-ins, over real sockets and with every fault.

#![expect(
    clippy::unwrap_used,
    reason = "helpers of tests stop where their setting cannot be made"
)]

mod cache;
mod control;
mod engine;
mod log;
mod orders;
mod refusals;
mod service;
mod streams;
mod support;
mod vms;
