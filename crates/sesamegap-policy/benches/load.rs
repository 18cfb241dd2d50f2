//! Measures queueing and dispatching a request at three queue lengths, and a poll without room.
//!
//! Uses eight teams, two priorities and one model. Each dispatched request is replaced, so that the
//! queue length stays constant. Placement is excluded; `benches/placing.rs` measures it.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use sesamegap_policy::Work;
use sesamegap_policy::load::queue::{DispatchOutcome, Queue, QueuedRequest, Rank};
use sesamegap_wire::{Chain, Incarnation, Moment, RequestId, Tokens, WeightsVersion};
use std::hint::black_box;
use std::time::Duration;

fn parse_name<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| panic!("{text} is not a valid name"))
}

fn item(seq: u64) -> QueuedRequest {
    let deadline = Moment(1_000_000 + seq * 7_919 % 5_000_000);
    let tokens = Tokens(if seq.is_multiple_of(3) { 40_000 } else { 4_000 });
    QueuedRequest {
        rank: Rank::new(seq.is_multiple_of(5), u8::from(seq.is_multiple_of(2))),
        deadline,
        expires_at: deadline,
        weight: 1.0,
        cost: tokens.0,
        seq: 0,
        work: Work {
            request: RequestId {
                vm: parse_name("vm"),
                incarnation: Incarnation(1),
                seq,
            },
            team: parse_name(&format!("team-{}", seq % 8)),
            class: parse_name("check"),
            model: parse_name("model"),
            version: WeightsVersion(1),
            chain: Chain {
                keys: Vec::new().into(),
                levels: Vec::new().into(),
                tokens,
            },
            answer: Tokens(100),
            arrived: Moment(1),
            attempt: 0,
            barred: Vec::new(),
            repeatable: true,
        },
    }
}

fn filled(length: u64) -> Queue {
    let mut queue = Queue::default();
    (0..length).for_each(|seq| queue.push(item(seq)));
    queue
}

fn enqueue_and_serve(c: &mut Criterion) {
    let mut group = c.benchmark_group("queue");
    group.sample_size(20);
    group.measurement_time(Duration::from_secs(2));
    for length in [10, 500, 8_000] {
        let mut queue = filled(length);
        let mut seq = length;
        group.bench_function(BenchmarkId::new("in and out", length), |b| {
            b.iter(|| {
                queue.push(item(seq));
                seq += 1;
                let mut sent = false;
                queue.notify_room();
                queue.serve(|item| {
                    if std::mem::replace(&mut sent, true) {
                        return DispatchOutcome::Full;
                    }
                    DispatchOutcome::Sent(black_box(item.cost))
                });
            });
        });
        group.bench_function(BenchmarkId::new("no room", length), |b| {
            b.iter(|| {
                queue.notify_room();
                queue.serve(|item| {
                    black_box(item.cost);
                    DispatchOutcome::Full
                })
            });
        });
    }
    group.finish();
}

criterion_group!(benches, enqueue_and_serve);
criterion_main!(benches);
