//! Prefix cache keys of a prompt.
//!
//! A prompt is split into blocks of equal size, which form a hash chain: each key covers the
//! previous key and the block's bytes. The chain is seeded with the team, the model and the
//! weights version, so that a cache entry of another team or of older weights never matches. The
//! hash is keyed BLAKE3 truncated to 128 bits; with a fast unkeyed hash, a caller could construct
//! two prompts with the same key.

use crate::error::ParseError;
use crate::ids::{ModelId, TeamId};
use crate::quantity::{Tokens, WeightsVersion};
use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Assumed number of bytes per token, used where no tokenizer is available.
pub const BYTES_PER_TOKEN: u64 = 4;

const KEY_CONTEXT: &str = "sesamegap 2026 prompt block chain v1";

/// The hash of a block and all blocks before it in the prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockKey(pub u128);

impl fmt::Display for BlockKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for BlockKey {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let invalid = || {
            let shown: String = text.chars().take(40).collect();
            ParseError::new("block key", shown, "32 hexadecimal digits")
        };
        if text.len() != 32 {
            return Err(invalid());
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| invalid())
    }
}

impl Serialize for BlockKey {
    /// Serializes as 16 bytes in binary formats and as hexadecimal text in human-readable ones.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            serializer.serialize_bytes(&self.0.to_be_bytes())
        }
    }
}

struct BlockKeyVisitor;

impl Visitor<'_> for BlockKeyVisitor {
    type Value = BlockKey;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a block key of 16 bytes or 32 hexadecimal digits")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<BlockKey, E> {
        text.parse().map_err(E::custom)
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<BlockKey, E> {
        let Ok(bytes) = <[u8; 16]>::try_from(bytes) else {
            return Err(E::invalid_length(bytes.len(), &self));
        };
        Ok(BlockKey(u128::from_be_bytes(bytes)))
    }
}

impl<'de> Deserialize<'de> for BlockKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            deserializer.deserialize_str(BlockKeyVisitor)
        } else {
            deserializer.deserialize_bytes(BlockKeyVisitor)
        }
    }
}

/// The block keys of a prompt, shortest prefix first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chain {
    /// One key per full block.
    pub keys: Arc<[BlockKey]>,
    /// Cumulative number of full blocks at the end of each prompt part, strictly increasing; a part
    /// that completes no block has no entry.
    pub levels: Arc<[u16]>,
    /// Estimated length of the prompt, including the bytes after the last full block.
    pub tokens: Tokens,
}

/// The values that seed a chain.
#[derive(Debug, Clone, Copy)]
pub struct Seed<'a> {
    /// Team that sends the request.
    pub team: &'a TeamId,
    /// Requested model.
    pub model: &'a ModelId,
    /// Weights version that must produce the answer.
    pub version: WeightsVersion,
}

impl Chain {
    /// Hashes the concatenated parts of a prompt; each part is one level of the chain.
    ///
    /// `block_size` is in tokens and must not be zero.
    pub fn from_parts(seed: Seed<'_>, parts: &[&str], block_size: Tokens) -> Self {
        let block_bytes = usize::try_from(block_size.0 * BYTES_PER_TOKEN).unwrap_or(usize::MAX);
        let mut blocks = BlockHasher::new(seed, block_bytes);
        let mut levels = Vec::with_capacity(parts.len());
        for part in parts {
            blocks.update(part.as_bytes());
            let count = u16::try_from(blocks.keys.len()).unwrap_or(u16::MAX);
            if count > levels.last().copied().unwrap_or(0) {
                levels.push(count);
            }
        }
        let bytes: usize = parts.iter().map(|part| part.len()).sum();
        Self {
            keys: blocks.keys.into(),
            levels: levels.into(),
            tokens: Tokens((bytes as u64).div_ceil(BYTES_PER_TOKEN)),
        }
    }
}

/// Splits a byte stream into blocks and hashes each one together with the previous key.
struct BlockHasher {
    block_bytes: usize,
    chain_key: [u8; 32],
    previous: BlockKey,
    filled_bytes: usize,
    hasher: blake3::Hasher,
    keys: Vec<BlockKey>,
}

impl BlockHasher {
    fn new(seed: Seed<'_>, block_bytes: usize) -> Self {
        let mut key_hasher = blake3::Hasher::new_derive_key(KEY_CONTEXT);
        for name in [seed.team.as_str(), seed.model.as_str()] {
            key_hasher.update(&(name.len() as u64).to_le_bytes());
            key_hasher.update(name.as_bytes());
        }
        key_hasher.update(&seed.version.0.to_le_bytes());
        let chain_key = *key_hasher.finalize().as_bytes();
        let mut cutter = Self {
            block_bytes: block_bytes.max(1),
            chain_key,
            previous: BlockKey(0),
            filled_bytes: 0,
            hasher: blake3::Hasher::new_keyed(&chain_key),
            keys: Vec::new(),
        };
        cutter.start_block();
        cutter
    }

    fn start_block(&mut self) {
        self.hasher = blake3::Hasher::new_keyed(&self.chain_key);
        self.hasher.update(&self.previous.0.to_be_bytes());
        self.filled_bytes = 0;
    }

    fn update(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let room = self.block_bytes - self.filled_bytes;
            let (head, tail) = bytes.split_at(room.min(bytes.len()));
            self.hasher.update(head);
            self.filled_bytes += head.len();
            bytes = tail;
            if self.filled_bytes == self.block_bytes {
                self.finish_block();
            }
        }
    }

    fn finish_block(&mut self) {
        let digest = self.hasher.finalize();
        let mut truncated = [0; 16];
        truncated.copy_from_slice(&digest.as_bytes()[..16]);
        self.previous = BlockKey(u128::from_be_bytes(truncated));
        self.keys.push(self.previous);
        self.start_block();
    }
}
