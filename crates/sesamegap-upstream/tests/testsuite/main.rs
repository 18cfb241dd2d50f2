//! Handling of valid and invalid responses of upstreams.

#![expect(
    clippy::unwrap_used,
    reason = "test helpers panic if their setup fails"
)]
#![expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck properties take their arguments by value"
)]

mod chunks;
mod limits;
mod replies;
