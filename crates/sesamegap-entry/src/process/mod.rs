//! Starts the process, and stops it without cutting requests.

use crate::core::{Client, Core, Phase};
use crate::follow;
use crate::gateway;
use crate::intake;
use crate::kept;
use crate::peers;
use crate::ports::Table;
use crate::quarantine;
use crate::quota;
use crate::resumption;
use crate::roll;
use crate::settings::Settings;
use crate::telemetry::{self, events};
use anyhow::Context;
use poem::endpoint::BoxEndpoint;
use poem::listener::TcpAcceptor;
use poem::{IntoEndpoint, Server};
use sesamegap_policy::routing::stopping::StopDeadlines;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, sleep};
use tracing::{info, warn};

/// Interval of reading the settings file again, as it may change without a SIGHUP.
const RELOAD_INTERVAL: Duration = Duration::from_secs(10);

/// Time without requests after which a stopping process no longer accepts connections.
const QUIET_TIME: Duration = Duration::from_millis(1_500);

/// Maximum number of cut requests whose ids are logged.
const MAX_LOGGED_IDS: usize = 8;

/// Interval at which a stopping process checks for active requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Endpoints for the platform, implemented by its adapter.
pub struct PlatformEndpoints {
    /// Readiness checks.
    pub ready: BoxEndpoint<'static>,
    /// Queries of callers for addresses of entry VMs.
    pub locator: BoxEndpoint<'static>,
}

impl std::fmt::Debug for PlatformEndpoints {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlatformEndpoints").finish_non_exhaustive()
    }
}

/// Runs the process until it receives SIGTERM, and stops it.
///
/// # Errors
/// If a socket cannot be bound or a signal handler cannot be installed.
pub async fn run(
    core: Arc<Core>,
    endpoints: PlatformEndpoints,
    reload: &Reload<'_>,
) -> anyhow::Result<()> {
    let listen = core.settings().listen;
    let callers = bind(listen.callers).await?;
    serve(listen.ready, endpoints.ready).await?;
    serve(listen.locator, endpoints.locator).await?;
    let peers = peers::endpoints(Arc::clone(&core)).into_endpoint();
    serve(listen.peers, peers).await?;
    let operators = telemetry::endpoints::endpoints(Arc::clone(&core)).into_endpoint();
    serve(listen.operators, operators).await?;
    info!(event = events::STARTED, vm = %core.settings().vm, domain = %core.settings().domain, callers = %listen.callers, "started");
    for table in [Table::Settings, Table::Fleet] {
        tokio::spawn(follow::follow(Arc::clone(&core), table));
    }
    tokio::spawn(follow::follow_vms(Arc::clone(&core)));
    tokio::spawn(peers::run_probes(Arc::clone(&core)));
    tokio::spawn(peers::run_datagrams(Arc::clone(&core)));
    tokio::spawn(gateway::serve(Arc::clone(&core)));
    tokio::spawn(gateway::test_connections(Arc::clone(&core)));
    tokio::spawn(roll::run(Arc::clone(&core)));
    tokio::spawn(intake::serve(Arc::clone(&core), callers));
    tokio::spawn(kept::watch(Arc::clone(&core)));
    tokio::spawn(quarantine::sync(Arc::clone(&core)));
    tokio::spawn(resumption::run_history(Arc::clone(&core)));
    tokio::spawn(resumption::run_log(Arc::clone(&core)));
    let mut signals = Signals::new()?;
    tokio::select! {
        _ = signals.terminate.recv() => {}
        () = apply_settings(&core, reload, &mut signals.hangup) => {}
    }
    // The file may have changed without a signal.
    reload_settings(&core, reload);
    tokio::select! {
        () = stop(&core) => {}
        () = apply_settings(&core, reload, &mut signals.hangup) => {}
    }
    Ok(())
}

/// Reads the settings file again.
pub type Reload<'a> = dyn Fn() -> anyhow::Result<Settings> + Send + Sync + 'a;

/// The signals that the process handles.
#[derive(Debug)]
struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).context("cannot wait for SIGTERM")?,
            hangup: signal(SignalKind::hangup()).context("cannot wait for SIGHUP")?,
        })
    }
}

/// Applies changed settings, without end.
async fn apply_settings(core: &Core, reload: &Reload<'_>, hangup: &mut Signal) {
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = sleep(RELOAD_INTERVAL) => {}
        }
        reload_settings(core, reload);
    }
}

fn reload_settings(core: &Core, reload: &Reload<'_>) {
    match reload() {
        Ok(settings) if settings == *core.settings() => {}
        Ok(settings) => core.reload(settings),
        Err(error) => {
            // The previous settings stay in force.
            warn!(
                event = events::RELOADED,
                error = format!("{error:#}"),
                "cannot read the settings file; keeping the previous settings"
            );
        }
    }
}

async fn bind(addr: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .with_context(|| format!("cannot listen on {addr}"))
}

async fn serve<E>(addr: SocketAddr, endpoint: E) -> anyhow::Result<()>
where
    E: poem::Endpoint + 'static,
{
    let acceptor = TcpAcceptor::from_tokio(bind(addr).await?)?;
    tokio::spawn(async move {
        if let Err(error) = Server::new_with_acceptor(acceptor).run(endpoint).await {
            warn!(event = events::CALLER_CONNECTION, %addr, %error, "HTTP server failed");
        }
    });
    Ok(())
}

/// Lets requests complete for as long as the grace period lasts.
pub async fn stop(core: &Core) {
    core.begin_stop();
    info!(
        event = events::STOPPING,
        active = core.active(),
        callers = core.open_connections(Client::Caller),
        grace_s = core.settings().spans.grace.as_secs_f64(),
        "asked to stop"
    );
    core.advance_phase(Phase::Leaving);
    core.peers.leave();
    quota::stop(core);
    peers::broadcast_state(core).await;
    wait_in_stop(core, |deadlines, elapsed| elapsed >= deadlines.close_idle).await;
    core.advance_phase(Phase::Closing);
    let mut last_active = Instant::now();
    wait_in_stop(core, |deadlines, elapsed| {
        if core.active() > 0 {
            last_active = Instant::now();
        }
        elapsed >= deadlines.stop_accepting || last_active.elapsed() >= QUIET_TIME
    })
    .await;
    core.advance_phase(Phase::Ended);
    // Requests on the last accepted connections are read and counted as active only now.
    pause_in_stop(core).await;
    wait_in_stop(core, |deadlines, elapsed| {
        core.active() == 0 || elapsed >= deadlines.answer
    })
    .await;
    core.advance_phase(Phase::Exiting);
    // An answer that has ended here may still be on its way to a slow caller or peer.
    wait_in_stop(core, |deadlines, elapsed| {
        let clients = [Client::Caller, Client::Peer];
        let are_closed = clients.map(|client| core.open_connections(client)) == [0, 0];
        (core.active() == 0 && are_closed) || elapsed >= deadlines.exit
    })
    .await;
    let cut = core.active.all();
    if !cut.is_empty() {
        let logged = cut.iter().take(MAX_LOGGED_IDS);
        let requests: Vec<String> = logged.map(ToString::to_string).collect();
        warn!(
            event = events::REQUESTS_CUT,
            active = cut.len(),
            ?requests,
            "stopped with requests in flight"
        );
    }
    info!(
        event = events::STOPPED,
        callers = core.open_connections(Client::Caller),
        peers = core.open_connections(Client::Peer),
        took_ms = core.time_in_stop(Instant::now()).map(crate::clock::millis),
        delay_ms = crate::clock::millis(core.timer_delay()),
        "stopped"
    );
}

/// Waits until a condition on the deadlines and the time since the signal holds.
async fn wait_in_stop(core: &Core, mut is_met: impl FnMut(StopDeadlines, Duration) -> bool) {
    loop {
        let elapsed = core.time_in_stop(Instant::now()).unwrap_or_default();
        if is_met(core.stop_deadlines(), elapsed) {
            return;
        }
        pause_in_stop(core).await;
    }
}

/// Sleeps for [`POLL_INTERVAL`], and records by how much it took longer.
async fn pause_in_stop(core: &Core) {
    let began = Instant::now();
    sleep(POLL_INTERVAL).await;
    core.record_timer_delay(began.elapsed().saturating_sub(POLL_INTERVAL));
}
