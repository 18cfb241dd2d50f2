//! Keeps a locator's view of the routers up to date.

use super::state::Seen;
use crate::config::ProcessConfig;
use anyhow::Context;
use futures_util::future::join_all;
use rand::seq::SliceRandom;
use reqwest::Client;
use sesamegap_platform::VmList;
use sesamegap_wire::{DomainId, VmId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval};

/// Routers probed in one round: all of today's deployments, and a bounded number of a larger one,
/// so that neither a locator's cost nor a router's grows with their number.
const PROBED: usize = 12;

/// Reads the VM list again and again.
pub async fn list(vms: Arc<dyn VmList>, seen: Arc<Seen>, every: Duration) {
    let mut ticks = interval(every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        read_list(vms.as_ref(), &seen).await;
    }
}

/// Reads the VM list once; if it cannot be read, the last one stays in use.
pub async fn read_list(vms: &dyn VmList, seen: &Seen) {
    match vms.list().await {
        Ok(list) => seen.take_list(&list),
        Err(error) => tracing::debug!(%error, "VM list not read"),
    }
}

/// Asks routers whether they serve.
#[derive(Debug)]
pub struct Prober {
    http: Client,
    seen: Arc<Seen>,
}

impl Prober {
    /// Makes a prober with the process's time limits.
    ///
    /// # Errors
    /// If the HTTP client cannot be set up.
    pub fn new(config: &ProcessConfig, seen: Arc<Seen>) -> anyhow::Result<Self> {
        let http = Client::builder()
            .connect_timeout(config.timing.connect)
            .timeout(config.timing.silence)
            .pool_max_idle_per_host(1)
            .no_proxy()
            .build()
            .context("cannot set up the HTTP client")?;
        Ok(Self { http, seen })
    }

    /// Probes round after round.
    pub async fn run(self, every: Duration) {
        let mut ticks = interval(every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.round().await;
        }
    }

    /// Probes a bounded number of routers, those of the own failure domain first.
    pub async fn round(&self) {
        let targets = pick(self.seen.listed(), self.seen.home());
        let probes = targets.iter().map(|(vm, addr)| self.probe(vm, *addr));
        join_all(probes).await;
    }

    async fn probe(&self, vm: &VmId, addr: SocketAddr) {
        let asked = self.http.get(format!("http://{addr}/healthz")).send().await;
        let serves = asked.ok().map(|answer| answer.status().is_success());
        self.seen.probed(vm, serves);
    }
}

fn pick(mut listed: Vec<(VmId, SocketAddr, DomainId)>, home: &DomainId) -> Vec<(VmId, SocketAddr)> {
    listed.shuffle(&mut rand::rng());
    listed.sort_by_key(|(_, _, domain)| domain != home);
    // A third of the round goes to other failure domains, however many routers the own one has:
    // when it is lost as a whole, callers must be told of others at once.
    let own = listed.iter().take_while(|(_, _, domain)| domain == home);
    let own = own.count();
    let keep = own.min(PROBED - PROBED / 3);
    listed.drain(keep..own);
    let chosen = listed.into_iter().take(PROBED);
    chosen.map(|(vm, addr, _)| (vm, addr)).collect()
}
