//! Rounds of probes, and news pushed to all.

use super::message::{Hello, Welcome, learn, named};
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

/// Time between rounds: a dead VM is noticed by one of its peers within about this time, and each
/// VM sends one probe a round however many there are.
const ROUND: Duration = Duration::from_millis(500);

/// Longest wait for a peer's answer; some hundred times the delay within a region.
const ANSWER: Duration = Duration::from_millis(350);

/// Longest wait for the store's list of entry VMs.
const LISTED: Duration = Duration::from_millis(100);

/// Listed VMs that are asked then.
const MOST_ASKED: usize = 8;

/// The client for all peers.
///
/// # Panics
/// Never: a client without TLS and proxy has nothing to fail on.
pub fn build() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(ANSWER)
        .timeout(ANSWER)
        .pool_idle_timeout(Duration::from_secs(20))
        .tcp_nodelay(true)
        .build()
        .expect("a client without TLS and proxy has nothing to fail on")
}

/// Probes peers until the process ends.
pub async fn run_probes(core: Arc<Core>) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(clock::now().0);
    tokio::spawn(ask_listed(Arc::clone(&core)));
    ask_seeds(&core).await;
    while core.phase() < Phase::Ended {
        if core.peers.count() == 1 {
            ask_seeds(&core).await;
        }
        let probe = core.peers.tick(&mut rng);
        if let Some(probe) = probe {
            let core = Arc::clone(&core);
            tokio::spawn(async move {
                let found = ask(&core, probe.addr, probe.updates).await;
                if let Err(error) = found {
                    warn!(event = events::PEER, peer = %probe.target, error, "no answer to a probe");
                    core.peers.lock().probe_failed(&probe.target, clock::now());
                }
            });
        }
        let spread = rng.random_range(0.9..1.1);
        sleep(ROUND.mul_f64(spread)).await;
    }
}

/// Asks the VMs that the settings name, which is how a new one is heard of at all.
async fn ask_seeds(core: &Core) {
    let settings = core.settings();
    let me = settings.listen.peers;
    let seeds = settings.seeds.iter().filter(|seed| **seed != me);
    ask_all(core, seeds.copied()).await;
}

/// Asks some VMs that the store lists: those that the settings name may all be down.
async fn ask_listed(core: Arc<Core>) {
    let until = clock::now() + LISTED;
    let listed =
        || -> Vec<SocketAddr> { core.peers.lock().seed_addrs().take(MOST_ASKED).collect() };
    while listed().is_empty() && clock::now() < until {
        sleep(LISTED / 5).await;
    }
    ask_all(&core, listed().into_iter()).await;
}

async fn ask_all(core: &Core, addrs: impl Iterator<Item = SocketAddr>) {
    let asked = addrs.map(|addr| async move {
        match ask(core, addr, Vec::new()).await {
            Ok(()) => {
                core.peers.met.send_replace(true);
            }
            Err(error) => {
                info!(
                    event = events::PEER,
                    error, "a VM that was asked first did not answer"
                );
            }
        }
    });
    join_all(asked).await;
}

/// Tells all peers of this process's own state, as when it is about to stop.
pub async fn broadcast_state(core: &Core) {
    let peers = core.peers.addrs_by_status().alive;
    let told = peers.into_iter().map(|peer| ask(core, peer, Vec::new()));
    for outcome in join_all(told).await {
        if let Err(error) = outcome {
            info!(event = events::PEER, error, "a peer did not hear");
        }
    }
}

async fn ask(core: &Core, addr: SocketAddr, news: Vec<MemberUpdate>) -> Result<(), String> {
    let hello = Hello {
        me: core.peers.me_now(),
        news,
        revision: core.revision(),
        weights: named(core),
    };
    let welcome: Welcome = post(core, addr, "hello", &hello).await?;
    let now = clock::now();
    let source = welcome.me.who.vm.to_smolstr();
    {
        let mut members = core.peers.lock();
        members.apply_update(&welcome.me, now);
        members.apply_updates(&welcome.news, now);
    }
    learn(core, welcome.document, &welcome.weights, &source);
    Ok(())
}

async fn post<Q: Serialize, A: DeserializeOwned>(
    core: &Core,
    addr: SocketAddr,
    name: &str,
    message: &Q,
) -> Result<A, String> {
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
    rmp_serde::from_slice(&bytes).map_err(|error| error.to_string())
}
