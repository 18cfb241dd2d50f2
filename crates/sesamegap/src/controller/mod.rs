//! Orders engines to hold the models that settings and demand ask for.
//!
//! A controller runs on every entry VM, and the one that holds the lease acts. Each round
//! [`lease`] follows the lease's stream and renews or tries to acquire; [`view`] looks at the
//! engines and asks routers for settings and demand; the policy's planner says which orders to
//! give; and [`orders`] gives them, asking the lease right before each. Nothing is remembered from
//! round to round but when an engine last changed: whoever holds the lease goes on from what the
//! engines report.

pub mod clock;
pub mod http;
pub mod lease;
pub mod orders;
pub mod view;

use crate::config::ProcessConfig;
use crate::events;
use crate::router;
use crate::router::clock::unix_ms;
use crate::router::fleet::Connect;
use crate::router::lock;
use crate::router::peers::PeerClient;
use anyhow::Context;
use clock::BootClock;
use lease::LeaseKeeper;
use poem::Server;
use poem::listener::TcpAcceptor;
use sesamegap_platform::{Log, VmList};
use sesamegap_policy::agreement::ProcessId;
use sesamegap_wire::Incarnation;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;
use view::Observer;

/// Time for the last bytes to reach whoever asks at a stop.
const FLUSH: Duration = Duration::from_secs(1);

/// Rounds in one length of the lease: enough to renew in time though some rounds fail.
const ROUNDS: u32 = 10;

/// What a controller is joined to.
#[derive(Debug, Clone)]
pub struct Links {
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// The platform's VM list.
    pub vms: Arc<dyn VmList>,
    /// Makes clients of engines.
    pub connect: Arc<dyn Connect>,
}

impl Links {
    /// Joins a controller over HTTP to what its settings name.
    pub fn http(config: &ProcessConfig) -> Self {
        let router::Links {
            log, vms, connect, ..
        } = router::Links::http(config);
        Self { log, vms, connect }
    }
}

/// What is shown in a dump.
#[derive(Debug, Default)]
pub struct Shown {
    state: Mutex<serde_json::Value>,
}

impl Shown {
    fn set(&self, state: serde_json::Value) {
        *lock(&self.state) = state;
    }

    /// The state after the last round.
    pub fn get(&self) -> serde_json::Value {
        lock(&self.state).clone()
    }
}

/// A controller that runs.
#[derive(Debug)]
pub struct Running {
    addr: SocketAddr,
    shown: Arc<Shown>,
    close: CancellationToken,
    server: JoinHandle<std::io::Result<()>>,
    rounds: JoinHandle<()>,
}

/// Starts a controller.
///
/// # Errors
/// If its address cannot be bound.
pub async fn start(config: ProcessConfig, links: Links) -> anyhow::Result<Running> {
    let listen = config.listen;
    let listener = TcpListener::bind(listen)
        .await
        .with_context(|| format!("cannot listen on {listen}"))?;
    let addr = listener.local_addr()?;
    let shown = Arc::new(Shown::default());
    let close = CancellationToken::new();
    let app = http::routes(Arc::clone(&shown), config.operator.clone());
    let server = Server::new_with_acceptor(TcpAcceptor::from_tokio(listener)?);
    let closed = close.clone().cancelled_owned();
    let serving = server.run_with_graceful_shutdown(app, closed, Some(FLUSH));
    let rounds = Rounds::new(config, links, Arc::clone(&shown))?;
    Ok(Running {
        addr,
        shown,
        server: tokio::spawn(serving),
        rounds: tokio::spawn(rounds.run(close.clone())),
        close,
    })
}

impl Running {
    /// Where the controller listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The state after the last round.
    pub fn dump(&self) -> serde_json::Value {
        self.shown.get()
    }

    /// Stops, giving the lease back once no order is in flight.
    pub async fn stop(self) {
        self.close.cancel();
        drop(self.rounds.await);
        drop(self.server.await);
    }

    /// Stops at once, as a crash would.
    pub fn kill(self) {
        self.rounds.abort();
        self.server.abort();
    }
}

struct Rounds {
    clock: BootClock,
    every: Duration,
    keeper: LeaseKeeper,
    observer: Observer,
    limit: Duration,
    shown: Arc<Shown>,
}

impl Rounds {
    fn new(config: ProcessConfig, links: Links, shown: Arc<Shown>) -> anyhow::Result<Self> {
        let me = ProcessId {
            vm: config.vm.clone(),
            incarnation: Incarnation(unix_ms()),
        };
        let limit = orders::limit(&config);
        let peers = PeerClient::new(&config)?;
        Ok(Self {
            clock: BootClock,
            every: config.timing.lease / ROUNDS,
            keeper: LeaseKeeper::new(me, links.log, &config, limit),
            observer: Observer::new(config, links.vms, links.connect, peers),
            limit,
            shown,
        })
    }

    async fn run(mut self, close: CancellationToken) {
        let mut ticks = interval(self.every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = close.cancelled() => break,
                _ = ticks.tick() => {}
            }
            self.round().await;
        }
        // All orders of the last round have been answered or given up, so none is in flight when
        // the lease is given back, and a successor need not wait.
        self.keeper.give_back().await;
    }

    async fn round(&mut self) {
        self.keeper.round(self.clock).await;
        let acting = self.keeper.may_order(self.clock.now()).is_some();
        if acting {
            self.act().await;
        }
        self.shown.set(serde_json::json!({
            "process": "controller",
            "acting": acting,
            "lease": self.keeper.dump(),
            "engines": self.observer.dump(),
        }));
    }

    async fn act(&mut self) {
        self.observer.look(self.clock.now()).await;
        let wanted = self.observer.plan(self.clock.now());
        let given = orders::give(&self.keeper, &self.observer, self.clock, wanted, self.limit);
        let given = given.await;
        for order in &given {
            tracing::info!(event = events::ORDER_GIVEN.number, %order, "order given");
        }
        self.observer.ordered(&given, self.clock.now());
    }
}
