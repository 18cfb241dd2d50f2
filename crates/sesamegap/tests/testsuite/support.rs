//! What the tests share: a small site of stand-ins and routers, and a caller.

use futures_util::StreamExt;
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde_json::{Value, json};
use sesamegap::config::{ProcessConfig, Timing};
use sesamegap::router::{Links, Router, Running};
use sesamegap_platform::{VmEntry, VmRole, VmState};
use sesamegap_settings::key_hash;
use sesamegap_standin::plan::{Builder, EngineLimits, PlatformLimits};
use sesamegap_standin::{Deployment, Hit, Plan, expected_answer};
use sesamegap_wire::{DomainId, RequestId, SoftwareVersion, Tokens, UpstreamId};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// A wait that ends only if something hangs.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub const OPERATOR: &str = "operator-key";
pub const SECRET: &str = "a secret that only routers know";
pub const ALPHA: &str = "alpha-key";
pub const BETA: &str = "beta-key";

/// Spans scaled down; the ones that decide on failures stay far above a busy machine's hiccups.
pub fn timing() -> Timing {
    Timing {
        list: Duration::from_millis(40),
        report: Duration::from_millis(20),
        gossip: Duration::from_millis(40),
        silence: Duration::from_millis(800),
        connect: Duration::from_millis(400),
        address: Duration::from_millis(100),
        ..Timing::default()
    }
}

pub fn plan() -> Builder {
    plan_with(Duration::from_millis(1))
}

/// A plan whose engines take so long between two tokens.
pub fn plan_with(decode: Duration) -> Builder {
    let engine = EngineLimits {
        prefill: Duration::from_micros(1),
        decode,
        beat: Duration::from_millis(20),
        events: Duration::ZERO,
        report: Duration::from_millis(10),
        late: Duration::from_secs(3),
        ..EngineLimits::default()
    };
    let platform = PlatformLimits {
        lag: Duration::ZERO,
        ..PlatformLimits::default()
    };
    Plan::builder()
        .engines(2)
        .workers("filing".parse().unwrap(), 2)
        .engine(engine)
        .platform(platform)
        .block(Tokens(16))
}

/// Stand-ins and routers, with two teams and their settings published.
#[derive(Debug)]
pub struct Site {
    pub deployment: Deployment,
    pub routers: Vec<Running>,
    pub http: Client,
    tune: Tune,
    _processor: Processor,
}

/// Tells of a failed test how long its thread waited for a processor, which no log of a router shows: a test's
/// stand-ins, routers and callers share that thread, and starve together.
#[derive(Debug)]
struct Processor;

impl Drop for Processor {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        let times = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
        let mut times = times.split_whitespace().map(str::parse);
        if let (Some(Ok(ran)), Some(Ok(waited))) = (times.next(), times.next()) {
            let (ran, waited) = (Duration::from_nanos(ran), Duration::from_nanos(waited));
            eprintln!("the test's thread ran for {ran:?} and waited {waited:?} for a processor");
        }
    }
}

/// Changes a router's settings before it starts.
pub type Tune = fn(&mut ProcessConfig);

impl Site {
    pub async fn start(plan: Builder, routers: usize) -> Self {
        Self::start_tuned(plan, routers, |_| {}).await
    }

    /// Starts a site whose routers have other settings than usual.
    pub async fn start_tuned(plan: Builder, routers: usize, tune: Tune) -> Self {
        let deployment = Deployment::start(plan.operator(OPERATOR).build())
            .await
            .unwrap();
        let mut site = Self {
            deployment,
            routers: Vec::new(),
            http: Client::builder().no_proxy().build().unwrap(),
            tune,
            _processor: Processor,
        };
        for number in 0..routers {
            let config = site.config(number, None);
            let running = Router::new(config.clone(), Links::http(&config));
            let running = running.start().await.unwrap();
            site.enlist(&config, running.addr());
            site.routers.push(running);
        }
        let (status, answer) = site.publish(0, 0, &tree()).await;
        assert_eq!(status, StatusCode::OK, "{answer}");
        for router in 0..routers {
            site.until(router, "settings in force and engines known", |dump| {
                let peers = dump["peers"].as_array().map_or(0, Vec::len);
                dump["settings"]["revision"] != 0
                    && reports(dump) >= site.engines()
                    && peers + 1 == routers
            })
            .await;
        }
        site
    }

    fn engines(&self) -> usize {
        self.deployment.addresses().engines.len()
    }

    pub fn config(&self, number: usize, at: Option<SocketAddr>) -> ProcessConfig {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let vm = format!("vm-{number}").parse().unwrap();
        let addresses = self.deployment.addresses();
        let builder = ProcessConfig::builder(vm, domain(), at.unwrap_or(any))
            .log(url(addresses.log))
            .vms(url(addresses.vms))
            .weights(url(addresses.weights))
            .secret(SECRET)
            .operator(key_hash(OPERATOR))
            .timing(timing());
        let mut config = builder.build().unwrap();
        (self.tune)(&mut config);
        config
    }

    fn enlist(&self, config: &ProcessConfig, router: SocketAddr) {
        self.deployment.enlist(&VmEntry {
            role: VmRole::Entry {
                vm: config.vm.clone(),
                locator: router,
            },
            addr: router,
            domain: domain(),
            state: VmState::Live,
            software: SoftwareVersion::default(),
        });
    }

    /// Ends a router as a crash would, and starts another life of it at the same address.
    pub async fn restart(&mut self, number: usize) {
        let at = self.crash(number).await;
        self.revive(number, at).await;
    }

    /// Ends a router as a crash would and tells where it was; those after it move up.
    pub async fn crash(&mut self, number: usize) -> SocketAddr {
        let old = self.routers.remove(number);
        let at = old.addr();
        old.kill().await;
        at
    }

    /// Starts another life of a router at its former address.
    pub async fn revive(&mut self, number: usize, at: SocketAddr) {
        let config = self.config(number, Some(at));
        let running = Router::new(config.clone(), Links::http(&config));
        let running = running.start().await.unwrap();
        self.routers.insert(number, running);
    }

    pub fn url(&self, router: usize, path: &str) -> String {
        format!("{}{path}", url(self.routers[router].addr()))
    }

    pub fn ask(&self, router: usize, method: Method, path: &str, key: &str) -> RequestBuilder {
        let request = self.http.request(method, self.url(router, path));
        request.bearer_auth(key).timeout(PATIENCE)
    }

    /// A chat request of team alpha.
    pub fn chat(&self, router: usize, body: &Value) -> RequestBuilder {
        let request = self.ask(router, Method::POST, "/v1/chat/completions", ALPHA);
        request.json(body)
    }

    /// Sends team alpha's question to the first router and returns its stream.
    pub async fn stream(&self, text: &str, tokens: u64) -> Response {
        let request = self.chat(0, &question(text, tokens, true));
        request.send().await.unwrap()
    }

    pub async fn publish(&self, router: usize, base: u64, edits: &Value) -> (StatusCode, Value) {
        let body = json!({ "base": base, "by": "tester", "edits": edits });
        let request = self.ask(router, Method::POST, "/admin/changes", OPERATOR);
        read(request.json(&body).send().await.unwrap()).await
    }

    pub async fn dump(&self, router: usize) -> Value {
        let request = self.ask(router, Method::GET, "/dump", OPERATOR);
        read(request.send().await.unwrap()).await.1
    }

    /// Waits until a router's dump shows something.
    pub async fn until(&self, router: usize, what: &str, shows: impl Fn(&Value) -> bool) {
        let started = std::time::Instant::now();
        loop {
            let dump = self.dump(router).await;
            if shows(&dump) {
                return;
            }
            assert!(started.elapsed() < PATIENCE, "not seen: {what}: {dump:#}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// The upstream that runs a request.
    pub fn runs_at(&self, id: &RequestId) -> UpstreamId {
        let runs = self.deployment.executions().requests;
        let run = runs.into_iter().find(|run| run.request == *id);
        run.unwrap().upstream
    }

    pub fn hit(&self, hit: Hit, target: Option<&str>) {
        self.deployment.fault(hit, target).unwrap();
    }
}

/// Engines whose report has reached the decider.
fn reports(dump: &Value) -> usize {
    let engines = &dump["fleet"]["reports"];
    engines
        .as_u64()
        .and_then(|n| usize::try_from(n).ok())
        .unwrap_or(0)
}

pub fn domain() -> DomainId {
    "domain-1".parse().unwrap()
}

pub fn url(addr: SocketAddr) -> String {
    format!("http://{addr}")
}

/// Edits that make two teams, a class, a model and a service.
pub fn tree() -> Value {
    json!([
        { "path": "classes/standard", "value": { "deadline": "10s", "total": "20s", "retries": 2 } },
        { "path": "models/model-1", "value": { "block": 16, "longest": 4000, "answer": 400 } },
        { "path": "services/filing", "value": { "timeout": "5s", "window": 16, "body": "64KiB" } },
        { "path": "teams/alpha", "value": { "key_hashes": [key_hash(ALPHA)] } },
        { "path": "teams/beta", "value": { "key_hashes": [key_hash(BETA)] } },
    ])
}

/// A request for so many tokens about a text.
pub fn question(text: &str, tokens: u64, stream: bool) -> Value {
    json!({
        "model": "model-1",
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": tokens,
        "stream": stream,
    })
}

/// What must be answered to [`question`].
pub fn answer(text: &str, tokens: u64) -> String {
    expected_answer(&format!("user: {text}\n"), tokens).concat()
}

pub async fn read(response: Response) -> (StatusCode, Value) {
    let status = response.status();
    let text = response.text().await.unwrap();
    let value = serde_json::from_str(&text).unwrap_or_else(|_| json!(text));
    (status, value)
}

/// The request that a response answers.
pub fn request_id(response: &Response) -> RequestId {
    let id = response.headers()["sesamegap-request-id"].to_str().unwrap();
    id.parse().unwrap()
}

/// What a caller got of a stream.
#[derive(Debug, Default)]
pub struct Got {
    pub text: String,
    pub last: Option<u64>,
    pub done: bool,
    pub error: Option<Value>,
}

impl Got {
    /// Reads a stream to its end.
    pub async fn all(response: Response) -> Self {
        let mut got = Self::default();
        got.read(response, usize::MAX).await;
        got
    }

    /// Reads some events of a stream and then leaves it.
    pub async fn read(&mut self, response: Response, most: usize) {
        use eventsource_stream::Eventsource;
        if !response.status().is_success() {
            self.error = Some(read(response).await.1);
            return;
        }
        let mut events = response.bytes_stream().eventsource().take(most);
        while let Some(event) = events.next().await {
            let event = event.expect("the stream is well formed");
            self.take(&event.id, &event.data);
        }
    }

    fn take(&mut self, id: &str, data: &str) {
        assert!(!self.done, "something came after the end: {data}");
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let data: Value = serde_json::from_str(data).unwrap();
        if data.get("error").is_some() {
            self.error = Some(data);
            return;
        }
        if let Ok(id) = id.parse() {
            self.last = Some(id);
        }
        let text = data["choices"][0]["delta"]["content"].as_str();
        self.text.push_str(text.unwrap_or_default());
    }
}
