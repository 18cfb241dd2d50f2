//! Cost per chunk of a response, and of discarding a pool's connections.

use criterion::{Criterion, criterion_group, criterion_main};
use sesamegap_http::sse::EventSizeLimit;
use sesamegap_http::{Pool, Settings};
use sesamegap_upstream::engine::decoder::ChunkDecoder;
use sesamegap_upstream::wire::Envelope;
use sesamegap_wire::engine::Chunk;
use sesamegap_wire::{RequestId, Seq};
use std::hint::black_box;

/// Size limit above any event of these benchmarks.
const LIMIT: usize = 64 << 10;

fn token() -> (RequestId, String) {
    let request: RequestId = "entry-1~18f2c3~5a".parse().expect("a valid request id");
    let envelope = Envelope {
        request: request.clone(),
        attempt: 0,
        chunk: Chunk::Token {
            seq: Seq(712),
            text: " 0a1b2c".into(),
        },
    };
    let data = serde_json::to_string(&envelope).expect("an envelope is JSON");
    (request, data)
}

fn chunks(c: &mut Criterion) {
    let (request, data) = token();
    c.bench_function("match one chunk", |b| {
        let decoder = ChunkDecoder::new(&request, 0);
        b.iter(|| decoder.decode(black_box(&data)));
    });
    let event = format!("data: {data}\n\n");
    c.bench_function("meter one chunk", |b| {
        let mut size_limit = EventSizeLimit::new(LIMIT);
        b.iter(|| size_limit.allows(black_box(event.as_bytes())));
    });
    let pool = Pool::new("http://127.0.0.1:1", Settings::default());
    c.bench_function("give up a pool", |b| b.iter(|| pool.discard_connections()));
}

criterion_group!(benches, chunks);
criterion_main!(benches);
