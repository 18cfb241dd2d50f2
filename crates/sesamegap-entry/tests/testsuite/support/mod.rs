//! An entry VM process with stand-ins for the platform and upstreams.

mod caller;
mod crashing;
mod lines;
mod lossy;
mod platform;
mod thin;
mod upstream;
mod vms;

pub use caller::{Answer, Caller, ask, request, request_of};
pub use crashing::{
    CRASH_MARK, CrashingUpstream, MIDWAY_MARK, UNFRAMED_MARK, crashing_engines, marked,
};
pub use lines::LogLines;
pub use lossy::lossy_path;
pub use platform::{Platform, StandinEngine, StandinKvStore};
pub use thin::ThinPath;
pub use upstream::{Act, Upstream, header, listen, read};
pub use vms::{Vm, member_update, vm, vms, vms_on};

use sesamegap_entry::catalogue::{
    Document, EngineSpec, Kind, Limits, Revision, Route, Service, Target, Team,
};
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::fleet::Entry;
use sesamegap_entry::intake;
use sesamegap_entry::ports::{Batch, Record, Table, Weights};
use sesamegap_entry::settings::{Listen, LoadControl, Settings, Spans};
use sesamegap_entry::telemetry::Logging;
use sesamegap_policy::agreement::ProcessId;
use sesamegap_policy::agreement::membership::{MemberUpdate, Status};
use sesamegap_policy::quota::Tolerance;
use sesamegap_policy::routing::budget::Bound;
use sesamegap_wire::{
    DomainId, Incarnation, LogPosition, Moment, Offset, ServiceId, SoftwareVersion, Timeline,
    WeightsVersion,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;

/// Host of all routes.
pub const HOST: &str = "desk.example";

/// Key of the team `clerks`.
pub const KEY: &str = "clerks-key";

/// A process that serves callers.
#[derive(Debug)]
pub struct Process {
    pub core: Arc<Core>,
    pub callers: SocketAddr,
    pub platform: Arc<Platform>,
}

/// An address with a port that nothing listens on, for servers that a test does not start.
///
/// The system may hand out a port again as soon as it is closed. Two stand-in engines at one address count as
/// one, and a roll would wait for the other without end; so no address is returned twice.
pub fn unused_addr() -> SocketAddr {
    static RETURNED: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
    loop {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        if RETURNED.lock().unwrap().insert(addr) {
            return addr;
        }
    }
}

pub fn settings(name: &str, seeds: Vec<SocketAddr>) -> Settings {
    lines::keep_call_sites_shared();
    Settings {
        vm: name.parse().unwrap(),
        domain: "hall-a".parse().unwrap(),
        listen: Listen {
            callers: unused_addr(),
            ready: unused_addr(),
            peers: unused_addr(),
            loads: unused_addr(),
            operators: unused_addr(),
            locator: unused_addr(),
        },
        seeds,
        spans: Spans {
            grace: Duration::from_secs(8),
            answer_ttl: Duration::from_secs(5),
            heartbeat: Duration::from_millis(1_200),
            drain: Duration::from_secs(2),
            apply: Duration::from_secs(2),
            contact: Duration::from_secs(3),
            weights: Duration::from_secs(8),
            lease: Duration::from_secs(3),
            lapse: Duration::from_secs(2),
        },
        // High enough for the first request of a process to be sent again.
        repeats: Bound {
            ratio: 40.0,
            slack: 54.0,
            window: Duration::from_secs(10),
        },
        tolerance: Tolerance { slack: 0.0 },
        body_memory: 8 << 20,
        answer_memory: 8 << 20,
        link_mbps: 1_000.0,
        store_calls_per_s: 2_000.0,
        load_control: LoadControl::default(),
    }
}

impl Process {
    /// Serves callers on a free port, without a document or upstreams.
    pub async fn empty() -> Self {
        Self::without_document(TcpListener::bind("127.0.0.1:0").await.unwrap())
    }

    fn without_document(listener: TcpListener) -> Self {
        let platform = Arc::new(Platform::default());
        let core = Core::new(
            settings("vm-1", Vec::new()),
            platform.ports(),
            Logging::disabled(),
        );
        let core = Arc::new(core.unwrap());
        let callers = listener.local_addr().unwrap();
        tokio::spawn(intake::serve(Arc::clone(&core), listener));
        Self {
            core,
            callers,
            platform,
        }
    }

    /// Serves callers with [`document`] in force.
    pub async fn new() -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").await.unwrap())
    }

    /// Serves callers with [`document`] in force, whose routes all end after a time.
    pub async fn with_timeout(time: Duration) -> Self {
        let process = Self::empty().await;
        let mut document = document(1);
        for route in &mut document.routes {
            route.timeout = time;
        }
        process.core.adopt(&Arc::new(document), "test");
        process
    }

    /// Serves the callers of a listener with [`document`] in force.
    pub fn on(listener: TcpListener) -> Self {
        let process = Self::without_document(listener);
        process.core.adopt(&Arc::new(document(1)), "test");
        let settings = process.core.table_progress(Table::Settings);
        settings.position().record_read(offset(1), clock::now());
        process
    }

    /// Adds an upstream to the fleet.
    pub fn add(&self, id: &str, service: &str, addr: SocketAddr) {
        let id = id.parse().unwrap();
        self.core
            .fleet
            .lock()
            .apply(&id, entry(service, addr), offset(0), Moment(1));
    }
}

/// Adds a live peer with this address to what a VM knows.
pub fn add_peer(core: &Core, name: &str, addr: SocketAddr) {
    let update = MemberUpdate {
        who: ProcessId {
            vm: name.parse().unwrap(),
            incarnation: Incarnation(1),
        },
        addr,
        version: 0,
        status: Status::Alive,
    };
    core.peers.apply_update(&update, clock::now());
}

/// Records of a table that start at an offset and end its log.
pub fn batch(from: u64, records: Vec<Record>) -> Batch {
    let next = offset(from + records.len() as u64);
    Batch {
        records: (from..).map(offset).zip(records).collect(),
        next,
        end: next,
    }
}

pub fn entry(service: &str, addr: SocketAddr) -> Entry {
    let is_engine = service == "engines";
    let weights = is_engine.then(|| Weights {
        model: "m".into(),
        version: WeightsVersion(1),
    });
    Entry {
        service: service.parse().unwrap(),
        addr,
        domain: DomainId::clone(&"hall-a".parse().unwrap()),
        slots: 6,
        leaving: false,
        weights: weights.into_iter().collect(),
        beat: 1,
        born: None,
        software: SoftwareVersion::default(),
    }
}

/// A document with a route of each kind.
pub fn document(revision: u64) -> Document {
    let service = |name: &str, engine: Option<EngineSpec>| Service {
        name: name.parse().unwrap(),
        engine,
    };
    Document {
        revision: Revision(revision),
        routes: vec![
            route("/pull/", Kind::Idempotent, "desk", 2),
            route("/save/", Kind::Once, "desk", 1),
            route("/chat/", Kind::Stream, "engines", 1),
            route("/review/", Kind::ResumableStream, "engines", 2),
        ],
        services: vec![
            service("desk", None),
            service(
                "engines",
                Some(EngineSpec {
                    memory: 80_000,
                    token_bytes: 0,
                }),
            ),
        ],
        kv_stores: Vec::new(),
        limits: Limits {
            head: 16 << 10,
            body: 64 << 10,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(10),
        },
        teams: vec![Team {
            name: "clerks".parse().unwrap(),
            keys: vec![KEY.into()],
            priority: None,
            isolated: false,
            quota: None,
        }],
    }
}

pub fn route(prefix: &str, kind: Kind, service: &str, attempts: u32) -> Route {
    Route {
        name: prefix.trim_matches('/').into(),
        host: HOST.into(),
        prefix: prefix.into(),
        kind,
        timeout: Duration::from_secs(6),
        objective: Duration::from_millis(800),
        attempts,
        priority: 1,
        targets: vec![Target {
            service: ServiceId::clone(&service.parse().unwrap()),
            weight: 100,
        }],
        public: false,
    }
}

/// A position on the first timeline of the store.
pub fn offset(no: u64) -> LogPosition {
    LogPosition::new(Timeline::default(), Offset(no))
}

/// Waits until a condition holds, for at most 20 seconds.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    for _ in 0..2_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("condition not met in time");
}
