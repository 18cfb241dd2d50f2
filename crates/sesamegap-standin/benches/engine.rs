//! How many tokens a second a stand-in engine and its client carry over loopback.
//!
//! The engine computes nothing here, so this is the ceiling of a demonstration: measures taken
//! near it tell of the stand-in and not of the router.

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use futures_util::StreamExt;
use futures_util::future::join_all;
use sesamegap_http::Settings;
use sesamegap_standin::plan::EngineLimits;
use sesamegap_standin::{Deployment, Plan};
use sesamegap_upstream::{Engine, HttpEngine};
use sesamegap_wire::engine::Dispatch;
use sesamegap_wire::{Incarnation, Seq, Tokens, WeightsVersion};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};

/// Answers at once, as many as an engine has slots.
const STREAMS: u64 = 16;

/// Tokens of each answer.
const TOKENS: u64 = 500;

static NEXT: AtomicU64 = AtomicU64::new(0);

fn dispatch(incarnation: Incarnation) -> Dispatch {
    let seq = NEXT.fetch_add(1, Ordering::Relaxed);
    Dispatch {
        request: format!("entry-1~1~{seq:x}").parse().expect("a valid id"),
        attempt: 0,
        incarnation,
        model: "model-1".parse().expect("a valid name"),
        version: WeightsVersion(1),
        blocks: Vec::new(),
        prompt: "Is this form whole?".to_owned(),
        prefix: String::new(),
        start: Seq(0),
        answer: Tokens(TOKENS),
        priority: 1,
        import: None,
        key: None,
    }
}

async fn answer(engine: &HttpEngine, incarnation: Incarnation) -> usize {
    let asked = engine.generate(dispatch(incarnation)).await;
    let mut stream = asked.expect("the engine has slots");
    let mut chunks = 0;
    while let Some(chunk) = stream.next().await {
        chunk.expect("nothing goes wrong here");
        chunks += 1;
    }
    chunks
}

fn start(runtime: &Runtime) -> (Deployment, HttpEngine, Incarnation) {
    let limits = EngineLimits {
        prefill: Duration::ZERO,
        decode: Duration::ZERO,
        keep: Duration::ZERO,
        ..EngineLimits::default()
    };
    let plan = Plan::builder().engine(limits).build();
    let deployment = runtime.block_on(Deployment::start(plan));
    let deployment = deployment.expect("free ports");
    let state = deployment.engine("engine-1").expect("one engine");
    let addr = deployment.addresses().engines[&state.id];
    let engine = HttpEngine::new(format!("http://{addr}"), Settings::default());
    (deployment, engine, state.incarnation)
}

fn tokens(c: &mut Criterion) {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let (_deployment, engine, incarnation) = start(&runtime);
    let mut group = c.benchmark_group("one core for engine and client");
    group.throughput(Throughput::Elements(STREAMS * TOKENS));
    group.sample_size(20);
    group.bench_function("answers", |b| {
        b.iter(|| {
            let all = (0..STREAMS).map(|_| answer(&engine, incarnation));
            runtime.block_on(join_all(all))
        });
    });
    group.finish();
}

criterion_group!(benches, tokens);
criterion_main!(benches);
