//! What an upstream may send, and what is made of it.

#![expect(
    clippy::unwrap_used,
    reason = "helpers of tests stop where their setting cannot be made"
)]
#![expect(
    clippy::needless_pass_by_value,
    reason = "properties own their arguments"
)]

mod chunks;
mod limits;
