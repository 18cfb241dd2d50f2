//! Encoding and decoding of the platform's messages.

#![expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck properties take their arguments by value"
)]

mod frames;
