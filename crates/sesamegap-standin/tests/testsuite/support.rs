//! What the tests share: a small deployment, clients, dispatches.

use futures_util::StreamExt;
use sesamegap_http::Settings;
use sesamegap_standin::plan::{Builder, EngineLimits, PlatformLimits};
use sesamegap_standin::{Deployment, Fault, Hit, Plan, expected_answer};
use sesamegap_upstream::{ChunkStream, Engine, HttpEngine, UpstreamError};
use sesamegap_wire::engine::{Chunk, Dispatch};
use sesamegap_wire::{BlockKey, Incarnation, RequestId, Seq, Tokens, WeightsVersion};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

/// A limit that no test waits for unless a connection is mute.
pub const SILENCE: Duration = Duration::from_secs(1);

/// A wait that ends only if something hangs.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub fn engine_limits() -> EngineLimits {
    EngineLimits {
        prefill: Duration::from_micros(1),
        decode: Duration::from_millis(1),
        beat: Duration::from_millis(20),
        events: Duration::ZERO,
        report: Duration::from_millis(10),
        late: SILENCE * 3,
        ..EngineLimits::default()
    }
}

pub fn platform_limits() -> PlatformLimits {
    PlatformLimits {
        lag: Duration::ZERO,
        load: Duration::from_millis(8),
        slow: SILENCE * 3,
        ..PlatformLimits::default()
    }
}

pub fn plan() -> Builder {
    Plan::builder()
        .engines(2)
        .engine(engine_limits())
        .platform(platform_limits())
        .block(Tokens(16))
}

pub async fn start(plan: Builder) -> Deployment {
    Deployment::start(plan.build()).await.unwrap()
}

pub fn settings() -> Settings {
    Settings::builder()
        .read_timeout(SILENCE)
        .connect_timeout(PATIENCE)
        .build()
}

pub fn url(addr: SocketAddr) -> String {
    format!("http://{addr}")
}

/// A client of `engine-1`.
pub fn first_engine(deployment: &Deployment) -> HttpEngine {
    let id = "engine-1".parse().unwrap();
    HttpEngine::new(url(deployment.addresses().engines[&id]), settings())
}

pub fn request(seq: u64) -> RequestId {
    format!("vm-1~1~{seq:x}").parse().unwrap()
}

/// A dispatch that `engine-1` runs.
pub fn dispatch(deployment: &Deployment, seq: u64, answer: u64) -> Dispatch {
    Dispatch {
        request: request(seq),
        attempt: 0,
        incarnation: incarnation(deployment),
        model: "model-1".parse().unwrap(),
        version: WeightsVersion(1),
        blocks: (0..3).map(BlockKey).collect(),
        prompt: format!("{:200}", "Is this form whole?"),
        prefix: String::new(),
        start: Seq(0),
        answer: Tokens(answer),
        priority: 1,
        import: None,
        key: Some(SmolStr::new(format!("key-{seq}"))),
    }
}

pub fn incarnation(deployment: &Deployment) -> Incarnation {
    deployment.engine("engine-1").unwrap().incarnation
}

pub fn hit_first(deployment: &Deployment, hit: Hit) {
    deployment.fault(hit, Some("engine-1")).unwrap();
}

pub fn once(deployment: &Deployment, fault: Fault) {
    hit_first(deployment, Hit::once(fault));
}

/// What came of a stream: its tokens as they came, and how it ended.
#[derive(Debug)]
pub struct Received {
    pub cached: Option<Tokens>,
    pub tokens: Vec<(u64, SmolStr)>,
    pub count: Option<u64>,
    pub error: Option<UpstreamError>,
}

impl Received {
    pub fn places(&self) -> Vec<u64> {
        self.tokens.iter().map(|token| token.0).collect()
    }

    /// Whether this is the whole answer to the prompt, in order.
    pub fn is_whole(&self, prompt: &str, count: u64) -> bool {
        let expected = expected_answer(prompt, count);
        let texts: Vec<_> = self.tokens.iter().map(|token| token.1.clone()).collect();
        self.error.is_none()
            && self.count == Some(count)
            && self.places() == (0..count).collect::<Vec<_>>()
            && texts == expected
    }
}

/// Reads a stream to its end.
pub async fn receive(stream: ChunkStream) -> Received {
    tokio::time::timeout(PATIENCE, read(stream)).await.unwrap()
}

async fn read(mut stream: ChunkStream) -> Received {
    let mut received = Received {
        cached: None,
        tokens: Vec::new(),
        count: None,
        error: None,
    };
    while let Some(chunk) = stream.next().await {
        match chunk {
            Ok(Chunk::Start { cached }) => received.cached = Some(cached),
            Ok(Chunk::Token { seq, text }) => received.tokens.push((seq.0, text)),
            Ok(Chunk::Beat) => {}
            Ok(Chunk::End { count }) => received.count = Some(count.0),
            Err(error) => received.error = Some(error),
        }
    }
    received
}

/// Asks for an answer and reads it.
pub async fn ask(engine: &HttpEngine, dispatch: Dispatch) -> Received {
    receive(engine.generate(dispatch).await.unwrap()).await
}

/// Waits until something holds, which it does sooner or later.
pub async fn until(holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait).await.unwrap();
}
