//! Starts a process, and stops it without cutting a request.

pub mod stopping;

use self::stopping::Times;
use crate::core::{Core, Phase};
use crate::follow;
use crate::intake;
use crate::kept;
use crate::peers;
use crate::ports::Table;
use crate::quarantine;
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

/// How often the settings file is read again: it may change without a signal.
const REREAD: Duration = Duration::from_secs(10);

/// Time without a request after which a process that leaves has nothing to wait for.
const QUIET: Duration = Duration::from_millis(1_500);

/// Requests named in the line about those that were cut.
const NAMED: usize = 8;

/// How often a stopping process looks at what it waits for.
const LOOK: Duration = Duration::from_millis(50);

/// What the platform asks a process, served by its adapter.
pub struct Doors {
    /// Readiness checks.
    pub ready: BoxEndpoint<'static>,
    /// Callers that ask which address to use.
    pub locator: BoxEndpoint<'static>,
}

impl std::fmt::Debug for Doors {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Doors").finish_non_exhaustive()
    }
}

/// Runs a process until it is told to stop.
///
/// # Errors
/// If it cannot listen.
pub async fn run(core: Arc<Core>, doors: Doors, reload: &Reload<'_>) -> anyhow::Result<()> {
    let listen = core.settings().listen;
    let callers = bind(listen.callers).await?;
    serve(listen.ready, doors.ready).await?;
    serve(listen.locator, doors.locator).await?;
    let peers = peers::endpoints(Arc::clone(&core)).into_endpoint();
    serve(listen.peers, peers).await?;
    let operators = telemetry::endpoints::endpoints(Arc::clone(&core)).into_endpoint();
    serve(listen.operators, operators).await?;
    info!(event = events::STARTED, vm = %core.settings().vm, domain = %core.settings().domain, callers = %listen.callers, "started");
    for table in [Table::Settings, Table::Fleet] {
        tokio::spawn(follow::follow(Arc::clone(&core), table));
    }
    tokio::spawn(follow::vms(Arc::clone(&core)));
    tokio::spawn(peers::run_probes(Arc::clone(&core)));
    tokio::spawn(peers::run_datagrams(Arc::clone(&core)));
    tokio::spawn(roll::run(Arc::clone(&core)));
    tokio::spawn(intake::serve(Arc::clone(&core), callers));
    tokio::spawn(kept::watch(Arc::clone(&core)));
    tokio::spawn(quarantine::sync(Arc::clone(&core)));
    until_told(&core, reload).await?;
    stop(&core).await;
    Ok(())
}

/// Reads the settings file again.
pub type Reload<'a> = dyn Fn() -> anyhow::Result<Settings> + Send + Sync + 'a;

/// Waits until the process is told to stop; takes changed settings meanwhile.
async fn until_told(core: &Core, reload: &Reload<'_>) -> anyhow::Result<()> {
    let mut stops = signal(SignalKind::terminate()).context("cannot wait for SIGTERM")?;
    let mut changes = signal(SignalKind::hangup()).context("cannot wait for SIGHUP")?;
    loop {
        tokio::select! {
            _ = stops.recv() => return Ok(()),
            _ = changes.recv() => {}
            () = sleep(REREAD) => {}
        }
        match reload() {
            Ok(settings) if settings == *core.settings() => {}
            Ok(settings) => core.reload(settings),
            Err(error) => {
                // What was read before stays in use.
                warn!(
                    event = events::RELOADED,
                    error = format!("{error:#}"),
                    "settings file not read"
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
            warn!(event = events::BOUND, %addr, %error, "a server ended");
        }
    });
    Ok(())
}

/// Ends all requests, as far as the platform gives time for.
async fn stop(core: &Core) {
    let told = Instant::now();
    let grace = core.settings().durations.grace;
    let times = Times::of(grace);
    info!(
        event = events::STOPPING,
        active = core.active(),
        grace_s = grace.as_secs_f64(),
        "told to stop"
    );
    core.advance_phase(Phase::Leaving);
    core.peers.leave();
    peers::broadcast_state(core).await;
    sleep(times.lingers.saturating_sub(told.elapsed())).await;
    core.advance_phase(Phase::Closing);
    let mut busy = Instant::now();
    while told.elapsed() < times.accepts && busy.elapsed() < QUIET {
        if core.active() > 0 {
            busy = Instant::now();
        }
        sleep(LOOK).await;
    }
    core.advance_phase(Phase::Ended);
    // What was accepted last is read only now, and counts as active from then on.
    sleep(LOOK).await;
    while core.active() > 0 && told.elapsed() < times.ends {
        sleep(LOOK).await;
    }
    let ids = core.active.ids();
    if !ids.is_empty() {
        let named = &ids[..ids.len().min(NAMED)];
        warn!(event = events::CUT, active = ids.len(), requests = ?named, "stopped with requests in flight");
    }
    info!(
        event = events::STOPPED,
        took_ms = crate::clock::millis(told.elapsed()),
        "stopped"
    );
}
