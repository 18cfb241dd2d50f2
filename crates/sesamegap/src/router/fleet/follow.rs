//! Follows the VM list, the engines' reports and their cache events.
//!
//! All of this runs on a thread of its own with its own connections, so that callers' traffic
//! cannot delay it, nor it them. Each engine is followed by two tasks, which end when the list no
//! longer names the engine at that address.

use crate::events;
use crate::router::core::Core;
use crate::router::fleet::Connect;
use futures_util::{StreamExt, stream};
use sesamegap_platform::VmList;
use sesamegap_policy::Observation;
use sesamegap_upstream::Engine;
use sesamegap_wire::engine::LoadReport;
use sesamegap_wire::{Incarnation, UpstreamId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// How long one read of cache events waits for news.
const EVENT_WAIT: Duration = Duration::from_secs(1);

/// Pause after a failed read of cache events, so that a dead engine is not asked without end.
const EVENT_PAUSE: Duration = Duration::from_millis(200);

/// Engines asked at once at the start.
const AT_ONCE: usize = 64;

/// Shortest time between two listings of one engine, which are large.
const LISTING_PAUSE: Duration = Duration::from_millis(500);

/// Follows the VM list until the task is dropped.
pub async fn list(core: Arc<Core>, vms: Arc<dyn VmList>) {
    let span = core.config.timing.list;
    let mut down = false;
    loop {
        let read = read_list(&core, vms.as_ref()).await;
        // An outage is told once, not at every read of it.
        match &read {
            Err(error) if !down => {
                tracing::warn!(
                    event = events::LIST_FAILED.number,
                    error,
                    "VM list not read"
                );
            }
            Ok(()) if down => tracing::info!(event = events::LIST_BACK.number, "VM list read"),
            _ => {}
        }
        down = read.is_err();
        tokio::time::sleep(span).await;
    }
}

/// Reads the VM list once.
///
/// # Errors
/// With the cause in words if it could not be read; the last one stays in use.
pub async fn read_list(core: &Core, vms: &dyn VmList) -> Result<(), String> {
    let limit = core.config.timing.log;
    let list = match timeout(limit, vms.list()).await {
        Ok(Ok(list)) => list,
        Ok(Err(error)) => return Err(error.to_string()),
        Err(_) => return Err(format!("no answer within {limit:?}")),
    };
    if core.fleet.update(&list) {
        tracing::info!(event = events::LIST_CHANGED.number, "VM list changed");
        core.decider
            .observe_reliably(Observation::Fleet(core.fleet.engines()));
        core.decider
            .observe_reliably(Observation::Store(core.fleet.store()));
    }
    Ok(())
}

/// Follows every engine of the list until the task is dropped.
pub async fn engines(
    core: Arc<Core>,
    connect: Arc<dyn Connect>,
    mut lists: mpsc::Receiver<UpstreamId>,
) {
    let mut followed = Followed::default();
    let mut tick = tokio::time::interval(core.config.timing.list);
    loop {
        tokio::select! {
            _ = tick.tick() => followed.renew(&core, connect.as_ref()),
            wanted = lists.recv() => match wanted {
                Some(engine) => followed.want_listing(&engine),
                None => return,
            },
        }
    }
}

#[derive(Debug, Default)]
struct Followed {
    engines: HashMap<UpstreamId, Follower>,
}

#[derive(Debug)]
struct Follower {
    addr: SocketAddr,
    listing: mpsc::Sender<()>,
    _tasks: JoinSet<()>,
}

impl Followed {
    fn renew(&mut self, core: &Arc<Core>, connect: &dyn Connect) {
        let now = core.fleet.addresses();
        self.engines
            .retain(|id, follower| now.contains(&(id.clone(), follower.addr)));
        for (id, addr) in now {
            self.engines
                .entry(id)
                .or_insert_with_key(|id| Follower::start(core, connect.engine(id, addr), id, addr));
        }
    }

    fn want_listing(&self, engine: &UpstreamId) {
        if let Some(follower) = self.engines.get(engine) {
            // A wish that is already waiting serves for this one too.
            let _ = follower.listing.try_send(());
        }
    }
}

impl Follower {
    fn start(core: &Arc<Core>, client: Arc<dyn Engine>, id: &UpstreamId, addr: SocketAddr) -> Self {
        let (listing, wanted) = mpsc::channel(1);
        let mut tasks = JoinSet::new();
        tasks.spawn(reports(Arc::clone(core), Arc::clone(&client), id.clone()));
        tasks.spawn(cache(Arc::clone(core), Arc::clone(&client), id.clone()));
        tasks.spawn(listings(Arc::clone(core), client, id.clone(), wanted));
        Self {
            addr,
            listing,
            _tasks: tasks,
        }
    }
}

/// Reads every engine's report once.
///
/// Without it a router that has just started would refuse its first callers, since it would know
/// of no engine that holds their model.
pub async fn first_reports(core: &Core) {
    let limit = core.config.timing.connect + core.config.timing.silence;
    let ids = core.fleet.addresses().into_iter().map(|(id, _)| id);
    let asked = stream::iter(ids).map(|id| async move {
        if let Some(engine) = core.fleet.engine(&id)
            && let Ok(report) = engine.load().await
        {
            core.fleet.reported(&id, Some(&report));
            core.decider.observe(Observation::Report(id, report));
        }
    });
    let all = asked.buffer_unordered(AT_ONCE).for_each(|()| async {});
    // Engines that do not answer are heard later, if at all.
    drop(timeout(limit, all).await);
}

async fn reports(core: Arc<Core>, client: Arc<dyn Engine>, id: UpstreamId) {
    let timing = &core.config.timing;
    let limit = timing.connect + timing.silence;
    loop {
        if let Ok(Ok(report)) = timeout(limit, client.load()).await {
            take_report(&core, &id, report);
        } else {
            core.fleet.reported(&id, None);
            core.decider.observe(Observation::EngineFailed(id.clone()));
        }
        tokio::time::sleep(timing.report).await;
    }
}

fn take_report(core: &Core, id: &UpstreamId, report: LoadReport) {
    if report.leaving {
        core.fleet.leaving(id, &core.decider);
    } else if core.fleet.staying(id) {
        core.decider
            .observe_reliably(Observation::Fleet(core.fleet.engines()));
    }
    core.fleet.reported(id, Some(&report));
    core.decider
        .observe(Observation::Report(id.clone(), report));
}

async fn cache(core: Arc<Core>, client: Arc<dyn Engine>, id: UpstreamId) {
    let mut after = 0;
    let mut life: Option<Incarnation> = None;
    let limit = EVENT_WAIT + core.config.timing.connect + core.config.timing.silence;
    loop {
        let Ok(Ok(batch)) = timeout(limit, client.events(after, EVENT_WAIT)).await else {
            tokio::time::sleep(EVENT_PAUSE).await;
            continue;
        };
        // Another life counts its events from the start, so the old number means nothing to it.
        if life.replace(batch.incarnation) != Some(batch.incarnation) && after > 0 {
            after = 0;
            continue;
        }
        let Some((last, _)) = batch.events.last() else {
            continue;
        };
        after = *last;
        core.decider.observe(Observation::Cache(id.clone(), batch));
    }
}

async fn listings(
    core: Arc<Core>,
    client: Arc<dyn Engine>,
    id: UpstreamId,
    mut wanted: mpsc::Receiver<()>,
) {
    let limit = core.config.timing.log;
    while wanted.recv().await.is_some() {
        if let Ok(Ok(listing)) = timeout(limit, client.listing()).await {
            core.decider
                .observe(Observation::Listing(id.clone(), listing));
        }
        tokio::time::sleep(LISTING_PAUSE).await;
    }
}

/// Runs the followers on a thread of their own until the token is cancelled.
///
/// # Errors
/// If the operating system gives no thread.
pub fn spawn(
    name: &str,
    stop: CancellationToken,
    work: impl Future<Output = ()> + Send + 'static,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    std::thread::Builder::new()
        .name(name.into())
        .spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = work => {}
                }
            });
        })
}
