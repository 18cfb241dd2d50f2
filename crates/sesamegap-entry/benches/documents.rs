//! Cost of a document and of its changes: entries, index, questions and answers.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use sesamegap_entry::catalogue::{
    Catalogue, Document, Kind, Limits, Revision, Route, Target, answer, apply_answer,
};
use sesamegap_policy::agreement::replication::{Ask, Fetch};
use std::hint::black_box;
use std::time::Duration;

/// Sizes of documents, in routes.
const SIZES: [u64; 4] = [48, 1_448, 4_250, 20_000];

fn document(revision: u64, routes: u64) -> Document {
    let route = |no: u64| {
        let name = format!("{:x}", no.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32);
        Route {
            prefix: format!("/{name}/").into(),
            name: name.into(),
            host: "desk.example".into(),
            kind: Kind::Idempotent,
            timeout: Duration::from_secs(6),
            objective: Duration::from_millis(800),
            attempts: 2,
            priority: 1,
            targets: vec![Target {
                service: "desk".parse().expect("a valid name"),
                weight: 100,
            }],
            public: false,
        }
    };
    Document {
        revision: Revision(revision),
        routes: (0..routes).map(route).collect(),
        services: Vec::new(),
        kv_stores: Vec::new(),
        limits: Limits {
            head: 16 << 10,
            body: 64 << 10,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(10),
        },
        teams: Vec::new(),
    }
}

fn documents(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("documents");
    group.sample_size(10);
    for routes in SIZES {
        let old = document(1, routes);
        let mut new = document(2, routes);
        new.routes[7].timeout = Duration::from_secs(1);
        let known = Catalogue::new(&old);
        let content = known.content();
        let entries = new.entries();
        let delta = content.delta_to(entries.iter().map(|(id, _)| *id));
        let newer = content.changed(2, delta.removed.clone(), entries.clone());
        let ask = Ask::Changes(content.version(), 16 << 10, 0);
        group.bench_function(BenchmarkId::new("index_whole", routes), |bencher| {
            bencher.iter(|| black_box(Catalogue::new(&old)));
        });
        group.bench_function(BenchmarkId::new("delta_from_store", routes), |bencher| {
            bencher.iter(|| content.delta_to(new.entries().iter().map(|(id, _)| *id)));
        });
        group.bench_function(BenchmarkId::new("index_change", routes), |bencher| {
            bencher.iter(|| black_box(known.updated(newer.clone())));
        });
        group.bench_function(BenchmarkId::new("answer_change", routes), |bencher| {
            bencher.iter(|| black_box(answer(&newer, &Fetch::default(), &ask, false)));
        });
        group.bench_function(BenchmarkId::new("fetch_change", routes), |bencher| {
            bencher.iter(|| {
                let mut fetch = Fetch::default();
                let reply = answer(&newer, &Fetch::default(), &ask, false);
                apply_answer(content, &mut fetch, reply).expect("entries of this release");
                black_box(fetch.finish(content).expect("the right digest"))
            });
        });
        group.bench_function(
            BenchmarkId::new("encode_whole_as_before", routes),
            |bencher| {
                bencher.iter(|| rmp_serde::to_vec(&old).expect("an encodable document"));
            },
        );
    }
    group.finish();
}

criterion_group!(benches, documents);
criterion_main!(benches);
