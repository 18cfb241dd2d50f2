//! Periodic probes of peers, and broadcasts of this process's own state.

use super::message::{Hello, HelloReply, apply_state, named_weights};
use crate::catalogue::Quotas;
use crate::clock;
use crate::core::{Core, Phase};
use crate::telemetry::events;
use futures_util::future::join_all;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sesamegap_policy::agreement::membership::MemberUpdate;
use smol_str::ToSmolStr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use tracing::{info, warn};

/// Time between probes. A peer detects a dead VM within about this time, and each VM sends one probe per interval
/// however many VMs there are.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for a peer's reply, about a hundred times the latency within a region.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);

/// Longest wait at startup for the store's list of entry VMs.
const LIST_TIMEOUT: Duration = Duration::from_millis(100);

/// Most listed VMs that are contacted at startup.
const MAX_LISTED: usize = 8;

/// Builds the HTTP client for all peers.
///
/// # Panics
/// Never: building a client without TLS and proxy cannot fail.
pub fn build() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(PROBE_TIMEOUT)
        .timeout(PROBE_TIMEOUT)
        .pool_idle_timeout(Duration::from_secs(20))
        .tcp_nodelay(true)
        .build()
        .expect("building a client without TLS and proxy cannot fail")
}

/// Probes peers until the process ends.
pub async fn run_probes(core: Arc<Core>) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(clock::now().0);
    tokio::spawn(contact_listed(Arc::clone(&core)));
    contact_seeds(&core).await;
    while core.phase() < Phase::Ended {
        if core.peers.count() == 1 {
            contact_seeds(&core).await;
        }
        let probe = core.peers.tick(&mut rng);
        if let Some(probe) = probe {
            let core = Arc::clone(&core);
            tokio::spawn(async move {
                let reply = send_hello(&core, probe.addr, probe.updates).await;
                if let Err(error) = reply {
                    warn!(event = events::PEER, peer = %probe.target, error, "no answer to a probe");
                    core.peers.lock().probe_failed(&probe.target, clock::now());
                }
            });
        }
        let jitter = rng.random_range(0.9..1.1);
        sleep(PROBE_INTERVAL.mul_f64(jitter)).await;
    }
}

/// Contacts the VMs named in the settings, through which a new VM joins.
async fn contact_seeds(core: &Core) {
    let settings = core.settings();
    let me = settings.listen.peers;
    let seeds = settings.seeds.iter().filter(|seed| **seed != me);
    contact_all(core, seeds.copied()).await;
}

/// Contacts some VMs listed in the store, because the VMs named in the settings may all be down.
async fn contact_listed(core: Arc<Core>) {
    let deadline = clock::now() + LIST_TIMEOUT;
    let listed =
        || -> Vec<SocketAddr> { core.peers.lock().seed_addrs().take(MAX_LISTED).collect() };
    while listed().is_empty() && clock::now() < deadline {
        sleep(LIST_TIMEOUT / 5).await;
    }
    contact_all(&core, listed().into_iter()).await;
}

async fn contact_all(core: &Core, addrs: impl Iterator<Item = SocketAddr>) {
    let contacts = addrs.map(|addr| async move {
        match send_hello(core, addr, Vec::new()).await {
            Ok(()) => {
                core.peers.peer_state_applied.send_replace(true);
            }
            Err(error) => {
                info!(
                    event = events::PEER,
                    error, "a VM contacted at startup did not respond"
                );
            }
        }
    });
    join_all(contacts).await;
}

/// Sends this process's own state to all peers, for example before shutdown.
pub async fn broadcast_state(core: &Core) {
    let peers = core.peers.addrs_by_status().alive;
    let sends = peers
        .into_iter()
        .map(|peer| send_hello(core, peer, Vec::new()));
    for outcome in join_all(sends).await {
        if let Err(error) = outcome {
            info!(
                event = events::PEER,
                error, "a peer did not receive this process's state"
            );
        }
    }
}

async fn send_hello(
    core: &Core,
    addr: SocketAddr,
    updates: Vec<MemberUpdate>,
) -> Result<(), String> {
    let hello = Hello {
        me: core.peers.local_update(),
        updates,
        revision: core.revision(),
        weights: named_weights(core),
    };
    let (mut reply, quotas): (HelloReply, Option<Quotas>) =
        post(core, addr, "hello", &hello).await?;
    if let (Some(document), Some(quotas)) = (&mut reply.document, quotas) {
        document.set_quotas(quotas);
    }
    let now = clock::now();
    let source = reply.me.who.vm.to_smolstr();
    {
        let mut members = core.peers.lock();
        members.apply_update(&reply.me, now);
        members.apply_updates(&reply.updates, now);
    }
    apply_state(core, reply.document, &reply.weights, &source);
    Ok(())
}

/// Sends a message; returns the reply and what follows it, if the peer's release sends that.
async fn post<Q: Serialize, A: DeserializeOwned, B: DeserializeOwned>(
    core: &Core,
    addr: SocketAddr,
    name: &str,
    message: &Q,
) -> Result<(A, Option<B>), String> {
    let body = rmp_serde::to_vec(message).map_err(|error| error.to_string())?;
    let sent = core
        .peers
        .client
        .post(format!("http://{addr}/peers/{name}"))
        .body(body)
        .send();
    let answer = sent.await.map_err(|error| error.to_string())?;
    if !answer.status().is_success() {
        return Err(format!("{addr} answered {}", answer.status()));
    }
    let bytes = answer.bytes().await.map_err(|error| error.to_string())?;
    let mut rest = bytes.as_ref();
    let reply = rmp_serde::from_read(&mut rest).map_err(|error| error.to_string())?;
    let following = if rest.is_empty() {
        None
    } else {
        Some(rmp_serde::from_read(&mut rest).map_err(|error| error.to_string())?)
    };
    Ok((reply, following))
}
