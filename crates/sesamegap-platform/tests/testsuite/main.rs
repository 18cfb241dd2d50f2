//! What the platform may send, and what is made of it.

#![expect(
    clippy::needless_pass_by_value,
    reason = "properties own their arguments"
)]

mod frames;
