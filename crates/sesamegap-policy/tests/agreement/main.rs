//! Tests of the rules by which processes agree.

mod cas_lease;
mod claims;
mod lease;
mod membership;
mod support;
mod tickets;
mod timelines;
