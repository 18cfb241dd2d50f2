//! Starts a router and stops it.

use super::callers;
use super::clock::{Clock, unix_ms};
use super::core::{Core, body_room};
use super::deciding::{self, DeciderThread};
use super::demand::Demand;
use super::door::Door;
use super::fleet::{Connect, Fleet, HttpConnect, follow, http_settings};
use super::follow_log;
use super::once::follow::SharedClaims;
use super::once::{self, Appender, Once};
use super::operators;
use super::peers::{PeerClient, Peers, ProbedPeers, endpoints, gossip, probing};
use super::phase::{Phase, Phases};
use super::streams::Kept;
use super::tree::{SettingsTree, TreeReader, snapshots, sync};
use crate::config::ProcessConfig;
use crate::events;
use crate::telemetry::Telemetry;
use anyhow::Context;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use poem::{EndpointExt, Route, Server};
use rand::seq::SliceRandom;
use sesamegap_platform::{HttpLog, HttpVms, Log, VmList};
use sesamegap_policy::agreement::Holder;
use sesamegap_policy::{DeciderBuilder, Observation};
use sesamegap_wire::Incarnation;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Listings of engines that may wait to be asked for.
const LISTS: usize = 256;

/// Peers asked at once for what they know of caches and heat; the first answer counts.
const WARMTH_ASKED: usize = 3;

/// Idle connections are closed after this, so that a caller that sends half a request and stops
/// cannot hold one for good; longer than any class waits for a whole answer.
const IDLE: Duration = Duration::from_mins(10);

/// Rounds of probes within which every locator has heard that a router is leaving.
const LOCATOR_ROUNDS: u32 = 2;

/// Time for the last bytes to reach callers once every request is done.
const FLUSH: Duration = Duration::from_secs(5);

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

/// A router that serves.
#[derive(Debug)]
pub struct Running {
    core: Arc<Core>,
    addr: SocketAddr,
    decider: DeciderThread,
    followers: CancellationToken,
    close: CancellationToken,
    server: JoinHandle<std::io::Result<()>>,
    gossip: JoinHandle<()>,
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
        let incarnation = Incarnation(unix_ms());
        let clock = Clock::start();
        let (lists, wanted_lists) = mpsc::channel(LISTS);
        let decider = DeciderBuilder::new(config.vm.clone(), config.domain.clone())
            .seed(rand::random())
            .build();
        let (handle, thread) = deciding::start(decider, clock, &config.bounds, lists)?;
        let (appender, records) = Appender::new();
        let me = Holder {
            vm: config.vm.clone(),
            incarnation,
        };
        let claims = SharedClaims::new(config.timing.retention);
        let members = Arc::new(ProbedPeers::new(
            me.clone(),
            reached_at(&config, addr),
            clock,
            config.timing.gossip,
        ));
        let peers = links
            .peers
            .unwrap_or_else(|| Arc::clone(&members) as Arc<dyn Peers>);
        let core = Arc::new(Core {
            incarnation,
            clock,
            decider: handle.clone(),
            fleet: Fleet::new(Arc::clone(&links.connect)),
            kept: Kept::new(config.timing.keep, config.bounds.kept),
            once: Once::new(me, claims.clone(), appender, &config.timing),
            peers,
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
            queued: std::sync::atomic::AtomicUsize::new(0),
            minted: std::sync::atomic::AtomicU64::new(0),
            config,
        });
        let followers = CancellationToken::new();
        let limit = core.config.timing.log;
        follow::read_list(&core, links.vms.as_ref()).await;
        follow::spawn("fleet", followers.clone(), {
            let core = Arc::clone(&core);
            async move {
                tokio::join!(
                    follow::list(Arc::clone(&core), links.vms),
                    follow::engines(core, links.connect, wanted_lists),
                );
            }
        })?;
        follow::spawn("log", followers.clone(), {
            let log = Arc::clone(&links.log);
            let core = Arc::clone(&core);
            let tree = TreeReader(Arc::clone(&core));
            let source = core.tree.source().clone();
            async move {
                tokio::join!(
                    follow_log::follow(Arc::clone(&log), source, limit, tree),
                    follow_log::follow(Arc::clone(&log), once::follow::source(), limit, claims),
                    once::append(log, records, limit),
                    snapshots::run(core),
                );
            }
        })?;
        learn(&core).await;
        let close = CancellationToken::new();
        let server = serve(&core, listener, close.clone())?;
        let gossip = tokio::spawn({
            let core = Arc::clone(&core);
            async move {
                tokio::join!(gossip::run(Arc::clone(&core)), probing::run(core));
            }
        });
        tracing::info!(event = events::ROUTER_STARTED.number, %addr, vm = %core.config.vm, "router serves");
        Ok(Running {
            core,
            addr,
            decider: thread,
            followers,
            close,
            server,
            gossip,
        })
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

/// Learns what peers know, so that the first request is served as well as any later one.
///
/// Settings come from whoever answers first, a peer or the log; without either the router serves
/// all the same, and refuses until it has them.
async fn learn(core: &Arc<Core>) {
    let engines = async {
        follow::first_reports(core).await;
        // What engines hold can be believed only once their incarnations are known.
        warm_up(core).await;
    };
    let settings = async {
        sync::from_peers(core, false).await;
        drop(timeout(core.config.timing.log, core.tree.known()).await);
    };
    tokio::join!(engines, settings);
}

async fn warm_up(core: &Core) {
    // Other peers than those that each router asks first: routers also restart in herds.
    let mut peers = core.peers.live(&core.fleet.entries());
    peers.shuffle(&mut rand::rng());
    peers.truncate(WARMTH_ASKED);
    let asked = peers.into_iter().map(|peer| async move {
        let warmth = core.peer_client.warmth(peer.router).await;
        warmth.map(|warmth| (peer.vm, warmth))
    });
    let mut answers: FuturesUnordered<_> = asked.collect();
    while let Some(answer) = answers.next().await {
        if let Ok((from, warmth)) = answer {
            tracing::info!(event = events::WARM_START.number, %from, "knowledge taken over");
            core.decider.observe(Observation::Warm(warmth));
            return;
        }
    }
}

fn serve(
    core: &Arc<Core>,
    listener: TcpListener,
    close: CancellationToken,
) -> anyhow::Result<JoinHandle<std::io::Result<()>>> {
    let route = callers::routes(Route::new());
    let route = endpoints::routes(route);
    let app = operators::routes(route)
        .data(Arc::clone(core))
        .catch_all_error(async |error| callers::from_library(error));
    let most = core.config.bounds.connections;
    let door = Door::new(listener, most, core.cut.clone())?;
    let server = Server::new_with_acceptor(door).idle_timeout(IDLE);
    Ok(tokio::spawn(async move {
        server
            .run_with_graceful_shutdown(app, close.cancelled_owned(), Some(FLUSH))
            .await
    }))
}

impl Running {
    /// Where the router listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The shared parts, for tests and for programs that run routers as threads.
    pub fn core(&self) -> &Arc<Core> {
        &self.core
    }

    /// Stops as planned: leaving, refusing, the last request done.
    ///
    /// No request in flight is cut unless it takes longer than the configured stop.
    pub async fn stop(mut self) {
        let timing = self.core.config.timing.clone();
        tracing::info!(event = events::ROUTER_LEAVING.number, "router is leaving");
        self.core.phases.enter(Phase::Leaving);
        gossip::round(&self.core).await;
        // Callers keep this address for its time to live and must be served meanwhile. A locator
        // may name it once more until its next round of probes has ended.
        tokio::time::sleep(timing.address + timing.gossip * LOCATOR_ROUNDS).await;
        tracing::info!(
            event = events::ROUTER_REFUSING.number,
            "router refuses new requests"
        );
        self.core.phases.enter(Phase::Refusing);
        self.core.once.close(timing.log).await;
        self.core.flights.close();
        if timeout(timing.stop, self.core.flights.wait())
            .await
            .is_err()
        {
            tracing::warn!(
                event = events::ROUTER_CUT.number,
                "requests still in flight"
            );
        }
        self.close.cancel();
        drop((&mut self.server).await);
        self.end();
    }

    /// Stops at once, as a crash would.
    pub async fn kill(mut self) {
        self.server.abort();
        drop((&mut self.server).await);
        self.end();
    }

    fn end(self) {
        self.core.cut.cancel();
        self.gossip.abort();
        self.followers.cancel();
        self.core.decider.stop();
        self.decider.join();
        tracing::info!(event = events::ROUTER_STOPPED.number, "router stopped");
    }
}
