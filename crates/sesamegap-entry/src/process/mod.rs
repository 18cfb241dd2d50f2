//! Starts the process, and stops it without cutting requests.

pub mod stopping;

use self::stopping::StopDeadlines;
use crate::core::{Core, Phase};
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
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
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

/// Runs the process until it receives SIGTERM.
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
    wait_for_stop(&core, reload).await?;
    stop(&core).await;
    Ok(())
}

/// Reads the settings file again.
pub type Reload<'a> = dyn Fn() -> anyhow::Result<Settings> + Send + Sync + 'a;

/// Waits for SIGTERM, and applies changed settings meanwhile.
async fn wait_for_stop(core: &Core, reload: &Reload<'_>) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("cannot wait for SIGTERM")?;
    let mut hangup = signal(SignalKind::hangup()).context("cannot wait for SIGHUP")?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = hangup.recv() => {}
            () = sleep(RELOAD_INTERVAL) => {}
        }
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
    let stop_requested = core.begin_stop();
    let grace = core.settings().spans.grace;
    let deadlines = StopDeadlines::new(grace);
    info!(
        event = events::STOPPING,
        active = core.active(),
        grace_s = grace.as_secs_f64(),
        "asked to stop"
    );
    core.advance_phase(Phase::Leaving);
    core.peers.leave();
    quota::stop(core);
    peers::broadcast_state(core).await;
    sleep(
        deadlines
            .close_idle
            .saturating_sub(stop_requested.elapsed()),
    )
    .await;
    core.advance_phase(Phase::Closing);
    let mut last_active = Instant::now();
    while stop_requested.elapsed() < deadlines.stop_accepting && last_active.elapsed() < QUIET_TIME
    {
        if core.active() > 0 {
            last_active = Instant::now();
        }
        sleep(POLL_INTERVAL).await;
    }
    core.advance_phase(Phase::Ended);
    // Requests on the last accepted connections are read and counted as active only now.
    sleep(POLL_INTERVAL).await;
    while core.active() > 0 && stop_requested.elapsed() < deadlines.exit {
        sleep(POLL_INTERVAL).await;
    }
    let cut = core.active.all();
    if !cut.is_empty() {
        let logged = cut.iter().take(MAX_LOGGED_IDS);
        let requests: Vec<String> = logged.map(ToString::to_string).collect();
        warn!(event = events::REQUESTS_CUT, active = cut.len(), phase = ?core.phase(), ?requests, "stopped with requests in flight");
    }
    info!(
        event = events::STOPPED,
        took_ms = crate::clock::millis(stop_requested.elapsed()),
        "stopped"
    );
}
