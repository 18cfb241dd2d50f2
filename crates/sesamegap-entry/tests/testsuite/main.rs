//! Tests of the entry VM process, over loopback sockets and with stand-ins behind its ports.
#![expect(
    clippy::unwrap_used,
    reason = "a failed unwrap in a helper fails its test"
)]

mod belief;
mod catalogue;
mod crossing;
mod fetches;
mod fleet;
mod foreign;
mod logs;
mod once;
mod pages;
mod pass;
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
