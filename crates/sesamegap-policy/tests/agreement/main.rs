//! Tests of the coordination protocols between processes.

mod cas_lease;
mod claims;
mod lease;
mod mass_failure;
mod membership;
mod support;
mod tickets;
mod timelines;
