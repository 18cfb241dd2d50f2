//! The text that a stand-in engine answers with.
//!
//! Each token is a function of the prompt and the token's place, so that anybody who knows the
//! prompt can check that an answer is its own, whole and in order, wherever and in how many pieces
//! it was made.

use smol_str::{SmolStr, format_smolstr};

/// Hexadecimal digits of each token; few enough that a token stays inside its `SmolStr`.
const DIGITS: usize = 6;

/// The tokens of one prompt's answer.
#[derive(Debug, Clone)]
pub struct Answer {
    key: [u8; 32],
}

impl Answer {
    /// The answer to a prompt.
    pub fn of(prompt: &str) -> Self {
        Self {
            key: *blake3::hash(prompt.as_bytes()).as_bytes(),
        }
    }

    /// The token at a place, from 0.
    pub fn token(&self, place: u64) -> SmolStr {
        let hash = blake3::keyed_hash(&self.key, &place.to_le_bytes());
        format_smolstr!(" {}", &hash.to_hex()[..DIGITS])
    }
}

/// The first `count` tokens that any engine answers to a prompt.
pub fn expected_answer(prompt: &str, count: u64) -> Vec<SmolStr> {
    let answer = Answer::of(prompt);
    (0..count).map(|place| answer.token(place)).collect()
}
