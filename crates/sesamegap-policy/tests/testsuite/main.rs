//! Tests of the policy crate, by module.

#[expect(
    clippy::unwrap_used,
    reason = "a test fails if one of its helpers does"
)]
mod admission;
mod load;
#[expect(
    clippy::unwrap_used,
    reason = "a test fails if one of its helpers does"
)]
mod placing;
mod quarantine;
mod queue;
#[expect(
    clippy::unwrap_used,
    reason = "a test fails if one of its helpers does"
)]
mod quota;
#[expect(
    clippy::unwrap_used,
    reason = "a test fails if one of its helpers does"
)]
mod replication;
#[expect(
    clippy::unwrap_used,
    reason = "a test fails if one of its helpers does"
)]
mod resumption;
mod routing;
mod serving;
mod shifting;
mod support;
