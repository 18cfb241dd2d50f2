//! Tests of the rules by which processes agree.

mod claims;
mod lease;
mod membership;
mod support;
mod tickets;
