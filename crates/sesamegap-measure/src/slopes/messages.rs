//! What routers tell each other of traffic and caches.

use super::fleet::{self, id};
use super::{Row, Rows};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sesamegap_wire::codec::{decode, encode};
use sesamegap_wire::engine::{CacheBatch, CacheEvent};
use sesamegap_wire::peer::{Digest, EngineCache, Warmth};
use sesamegap_wire::{Incarnation, Tokens};
use std::hint::black_box;
use std::time::Instant;

/// Entries of a digest: prefixes, teams and engines, as far as routers name them.
const NAMED: [(usize, usize, usize); 3] = [(8, 8, 9), (32, 64, 32), (32, 128, 64)];

/// Engines over which the keys of a warm start are spread.
const ENGINES: usize = 12;

/// Entries of digests to code for one figure.
const CODED: usize = 200_000;

/// Cache events in a batch, of one block each, which is the dearest way to tell them.
const EVENTS: [usize; 3] = [1, 16, 256];

pub fn measure(keys: &[usize]) -> Vec<Row> {
    let mut rows = Rows::new("messages", "entries");
    for (heat, demand, prefill) in NAMED {
        let size = heat + demand + prefill;
        code(
            &mut rows,
            size,
            CODED / size,
            &digest(heat, demand, prefill),
        );
    }
    for size in EVENTS {
        events(&mut rows, size);
    }
    for size in keys {
        let engines = (0..ENGINES).map(|at| EngineCache {
            engine: fleet::engine(at),
            incarnation: Incarnation(1),
            newest: 1,
            keys: (0..*size / ENGINES)
                .map(|n| fleet::key((n * ENGINES + at) as u64))
                .collect(),
        });
        let warmth = Warmth {
            engines: engines.collect(),
            digest: Digest::default(),
        };
        code(&mut rows, *size, 4, &warmth);
    }
    rows.list
}

/// Cache events as engines tell them, in JSON, and as a message between routers would have them.
fn events(rows: &mut Rows, size: usize) {
    let events = (0..size as u64).map(|n| {
        let keys = vec![fleet::key(n)];
        (n, CacheEvent::Stored { keys })
    });
    let batch = CacheBatch {
        incarnation: Incarnation(1),
        events: events.collect(),
        newest: size as u64,
    };
    let json = serde_json::to_vec(&batch).unwrap_or_default();
    let part = |bytes: usize| bytes as f64 / size as f64;
    rows.add(size, "bytes of a cache event, JSON", part(json.len()), "B");
    let packed = encode(&batch).map_or(0, |bytes| bytes.len());
    rows.add(size, "bytes of a cache event, packed", part(packed), "B");
    let turns = CODED / size;
    let start = Instant::now();
    for _ in 0..turns {
        black_box(serde_json::from_slice::<CacheBatch>(&json).is_ok());
    }
    rows.time(size, "decode a cache event, JSON", start, turns * size);
}

fn digest(heat: usize, demand: usize, prefill: usize) -> Digest {
    Digest {
        heat: (0..heat).map(|n| (fleet::key(n as u64), 1.5)).collect(),
        demand: (0..demand)
            .map(|n| (id(format!("team-{n}")), 1.5))
            .collect(),
        prefill: (0..prefill)
            .map(|n| (fleet::engine(n), Tokens(40_000)))
            .collect(),
        ..Digest::default()
    }
}

fn code<T: Serialize + DeserializeOwned>(rows: &mut Rows, size: usize, turns: usize, message: &T) {
    let bytes = encode(message).unwrap_or_default();
    rows.add(size, "bytes of the message", bytes.len() as f64, "B");
    let start = Instant::now();
    for _ in 0..turns.max(1) {
        black_box(encode(message).is_ok());
    }
    rows.time(size, "encode", start, turns);
    let start = Instant::now();
    for _ in 0..turns.max(1) {
        black_box(decode::<T>(&bytes).is_ok());
    }
    rows.time(size, "decode", start, turns);
}
