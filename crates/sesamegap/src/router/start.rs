//! Starts a router: makes its parts, learns what others know, and opens its port.

use super::callers;
use super::clock::{Clock, unix_ms};
use super::core::{Core, body_room};
use super::deciding::{self, DeciderThread};
use super::demand::Demand;
use super::door::Door;
use super::fleet::{Connect, Fleet, HttpConnect, follow, http_settings};
use super::follow_log;
use super::learn;
use super::once::follow::SharedClaims;
use super::once::{self, Appender, Once, Pending};
use super::operators;
use super::peers::{PeerClient, Peers, ProbedPeers, endpoints, gossip, probing};
use super::phase::Phases;
use super::running::Running;
use super::streams::AnswerStore;
use super::tree::{SettingsTree, TreeReader, snapshots};
use crate::config::ProcessConfig;
use crate::events;
use crate::telemetry::Telemetry;
use anyhow::Context;
use poem::{EndpointExt, Route};
use sesamegap_platform::{HttpLog, HttpVms, Log, VmList};
use sesamegap_policy::DeciderBuilder;
use sesamegap_policy::agreement::ProcessId;
use sesamegap_wire::{Incarnation, UpstreamId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Listings of engines that may wait to be asked for.
const LISTS: usize = 256;

/// What a router is joined to.
#[derive(Debug, Clone)]
pub struct Links {
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// The platform's VM list.
    pub vms: Arc<dyn VmList>,
    /// Makes clients of upstreams.
    pub connect: Arc<dyn Connect>,
    /// Who else is alive; without one, probes find out.
    pub peers: Option<Arc<dyn Peers>>,
}

impl Links {
    /// Joins a router over HTTP to what its settings name.
    pub fn http(config: &ProcessConfig) -> Self {
        let settings = http_settings(config);
        Self {
            log: Arc::new(HttpLog::new(config.log.as_str(), settings.clone())),
            vms: Arc::new(HttpVms::new(config.vms.as_str(), settings)),
            connect: Arc::new(HttpConnect::new(config)),
            peers: None,
        }
    }
}

/// A router about to start.
#[derive(Debug)]
pub struct Router {
    config: ProcessConfig,
    links: Links,
}

impl Router {
    /// Takes the process's settings and what it is joined to.
    pub fn new(config: ProcessConfig, links: Links) -> Self {
        Self { config, links }
    }

    /// Starts serving; the port answers once the router knows what its peers know.
    ///
    /// # Errors
    /// If the address cannot be bound or the system gives no thread.
    pub async fn start(self) -> anyhow::Result<Running> {
        let listen = self.config.listen;
        let listener = TcpListener::bind(listen)
            .await
            .with_context(|| format!("cannot listen on {listen}"))?;
        let addr = listener.local_addr()?;
        self.start_on(listener, addr).await
    }

    async fn start_on(self, listener: TcpListener, addr: SocketAddr) -> anyhow::Result<Running> {
        let Self { config, links } = self;
        let parts = Parts::new(config, &links, addr)?;
        let core = Arc::clone(&parts.core);
        // If it cannot be read now, its follower goes on trying and says so.
        drop(follow::read_list(&core, links.vms.as_ref()).await);
        let followers = CancellationToken::new();
        let decider = parts.follow(links, &followers)?;
        learn::all(&core).await;
        let close = CancellationToken::new();
        let server = serve(&core, listener, close.clone());
        let gossip = tokio::spawn(speak(Arc::clone(&core)));
        tracing::info!(
            event = events::ROUTER_STARTED.number,
            %addr,
            vm = %core.config.vm,
            "router serves"
        );
        Ok(Running {
            core,
            addr,
            decider,
            followers,
            close,
            server,
            gossip,
        })
    }
}

/// Speaks to other routers until the task is dropped.
async fn speak(core: Arc<Core>) {
    tokio::join!(gossip::run(Arc::clone(&core)), probing::run(core));
}

/// The parts of a router before anything follows the world.
struct Parts {
    core: Arc<Core>,
    decider: DeciderThread,
    lists: mpsc::Receiver<UpstreamId>,
    claims: SharedClaims,
    records: mpsc::Receiver<Pending>,
}

impl Parts {
    fn new(config: ProcessConfig, links: &Links, addr: SocketAddr) -> anyhow::Result<Self> {
        let me = ProcessId {
            vm: config.vm.clone(),
            incarnation: Incarnation(unix_ms()),
        };
        let clock = Clock::start();
        let (to_list, lists) = mpsc::channel(LISTS);
        let decider = DeciderBuilder::new(config.domain.clone())
            .seed(rand::random())
            .build();
        let (handle, decider) = deciding::start(decider, clock, &config.bounds, to_list)?;
        let (appender, records) = Appender::new();
        let claims = SharedClaims::new(config.timing.retention);
        let at = reached_at(&config, addr);
        let members = ProbedPeers::new(me.clone(), at, clock, config.timing.gossip);
        let members = Arc::new(members);
        let probed = || Arc::clone(&members) as Arc<dyn Peers>;
        let core = Arc::new(Core {
            incarnation: me.incarnation,
            clock,
            decider: handle.clone(),
            fleet: Fleet::new(Arc::clone(&links.connect)),
            kept: AnswerStore::new(config.timing.keep, config.bounds.kept),
            once: Once::new(me, claims.clone(), appender, &config.timing),
            peers: links.peers.clone().unwrap_or_else(probed),
            members,
            peer_client: PeerClient::new(&config)?,
            demand: Demand::new(clock),
            log: Arc::clone(&links.log),
            telemetry: Telemetry::new()?,
            tree: SettingsTree::new(handle),
            phases: Phases::default(),
            flights: TaskTracker::new(),
            bodies: body_room(&config.bounds),
            cut: CancellationToken::new(),
            queued: AtomicUsize::new(0),
            minted: AtomicU64::new(0),
            config,
        });
        Ok(Self {
            core,
            decider,
            lists,
            claims,
            records,
        })
    }

    /// Follows fleet and log, each on a thread of its own, until the token is cancelled.
    fn follow(self, links: Links, stop: &CancellationToken) -> anyhow::Result<DeciderThread> {
        let core = Arc::clone(&self.core);
        let lists = self.lists;
        follow::spawn("fleet", stop.clone(), async move {
            tokio::join!(
                follow::list(Arc::clone(&core), links.vms),
                follow::engines(core, links.connect, lists),
            );
        })?;
        let (core, log) = (self.core, links.log);
        let limit = core.config.timing.log;
        let source = core.tree.source().clone();
        let tree = TreeReader(Arc::clone(&core));
        let (claims, records) = (self.claims, self.records);
        follow::spawn("log", stop.clone(), async move {
            tokio::join!(
                follow_log::follow(Arc::clone(&log), source, limit, tree),
                follow_log::follow(Arc::clone(&log), once::follow::source(), limit, claims),
                once::append(log, records, limit),
                snapshots::run(core),
            );
        })?;
        Ok(self.decider)
    }
}

/// Where others reach the router: as advertised, or where it listens on a port of its own choice.
fn reached_at(config: &ProcessConfig, addr: SocketAddr) -> SocketAddr {
    if config.advertise.port() == 0 {
        addr
    } else {
        config.advertise
    }
}

fn serve(core: &Arc<Core>, listener: TcpListener, close: CancellationToken) -> JoinHandle<()> {
    let route = callers::routes(Route::new());
    let route = endpoints::routes(route);
    let app = operators::routes(route)
        .data(Arc::clone(core))
        .catch_all_error(async |error| callers::from_library(error));
    let door = Door::new(Arc::clone(core), listener, close);
    tokio::spawn(door.run(app.map_to_response().boxed()))
}
