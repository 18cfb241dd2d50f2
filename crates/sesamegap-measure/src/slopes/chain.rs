//! Hashing of prompts into chains of blocks.

use super::fleet::id;
use super::{Row, Rows};
use sesamegap_wire::chain::Seed;
use sesamegap_wire::{Chain, ModelId, TeamId, Tokens, WeightsVersion};
use std::hint::black_box;
use std::time::Instant;

/// Bytes hashed for each size, so that short prompts are timed over many.
const BYTES: usize = 64 << 20;

pub fn measure(sizes: &[usize]) -> Vec<Row> {
    let mut rows = Rows::new("chain", "bytes");
    let (team, model) = (id::<TeamId>("team"), id::<ModelId>("model"));
    for size in sizes {
        let prompt = "a".repeat(*size);
        let turns = (BYTES / size).clamp(1, 256);
        let seed = Seed {
            team: &team,
            model: &model,
            version: WeightsVersion(1),
        };
        let start = Instant::now();
        for _ in 0..turns {
            black_box(Chain::from_parts(seed, &[&prompt], Tokens(4_096)));
        }
        let megabytes = (turns * size).div_ceil(1_000_000);
        rows.time(*size, "hash a prompt, for each MB", start, megabytes);
    }
    rows.list
}
