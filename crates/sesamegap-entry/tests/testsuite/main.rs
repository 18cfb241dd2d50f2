//! Tests of the process of an entry VM, over loopback sockets and stand-ins behind its ports.
#![expect(
    clippy::unwrap_used,
    reason = "a test ends where a helper cannot go on"
)]

mod belief;
mod catalogue;
mod fetches;
mod fleet;
mod fleet_records;
mod forwarding;
mod idle_close;
mod logs;
mod non_idempotent;
mod pages;
mod peers;
mod placing;
mod quarantine;
mod readings;
mod refusals;
mod restored;
mod rolls;
mod sse;
mod stopping;
mod stops;
mod streams;
mod support;
mod weights;
