//! Tests of the decisions, by subject.

mod load;
#[expect(
    clippy::unwrap_used,
    reason = "a test ends where a helper cannot go on"
)]
mod placing;
mod quarantine;
mod queue;
mod routing;
mod serving;
mod shifting;
mod support;
