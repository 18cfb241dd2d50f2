//! The routers of a local deployment, each with threads of its own.

use super::deployment::process;
use crate::config::ProcessConfig;
use crate::router::{Links, Router, Running};
use crate::site::Site;
use anyhow::{Context, Result};
use futures_util::future::join_all;
use sesamegap_standin::{Deployment as Standins, FaultError, Restart};
use sesamegap_wire::VmId;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::runtime::{Builder, Handle, Runtime};

/// Threads of one router; a small entry VM has about as many.
const ROUTER_THREADS: usize = 2;

/// One router with threads of its own.
///
/// A crash ends its threads, and with them its connections, as the end of a process would; tasks
/// on shared threads would go on answering callers for a router that is dead.
#[derive(Debug)]
struct Own {
    runtime: Runtime,
    running: Running,
}

impl Own {
    async fn start(config: &ProcessConfig) -> Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(ROUTER_THREADS)
            .enable_all()
            .build()
            .context("cannot start a router's threads")?;
        let router = Router::new(config.clone(), Links::http(config));
        let started = runtime.spawn(router.start()).await?;
        match started {
            Ok(running) => Ok(Self { runtime, running }),
            Err(error) => {
                runtime.shutdown_background();
                Err(error)
            }
        }
    }

    async fn crash(self) {
        let killed = self.runtime.spawn(self.running.kill()).await;
        if let Err(error) = killed {
            tracing::error!(%error, "router not killed");
        }
        self.runtime.shutdown_background();
    }

    async fn stop(self) {
        let stopped = self.runtime.spawn(self.running.stop()).await;
        if let Err(error) = stopped {
            tracing::error!(%error, "router did not stop as planned");
        }
        self.runtime.shutdown_background();
    }
}

/// What is needed to start one router again.
#[derive(Debug)]
struct Slot {
    config: ProcessConfig,
    own: Option<Own>,
}

/// The routers of a deployment, which can be killed and started anew.
#[derive(Debug)]
pub struct Routers {
    runtime: Handle,
    slots: Mutex<Vec<Slot>>,
    addrs: Vec<SocketAddr>,
}

impl Routers {
    pub(super) async fn start(site: &Site, standins: &Standins) -> Result<Self> {
        let mut slots = Vec::new();
        let mut addrs = Vec::new();
        for index in 0..site.routers {
            let mut config = process(site, standins, index, "router")?;
            let own = Own::start(&config).await?;
            config.listen = own.running.addr();
            config.advertise = config.listen;
            addrs.push(config.listen);
            slots.push(Slot {
                config,
                own: Some(own),
            });
        }
        Ok(Self {
            runtime: Handle::current(),
            slots: Mutex::new(slots),
            addrs,
        })
    }

    /// Where the routers listen.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.addrs.clone()
    }

    /// The routers' VMs.
    pub fn vms(&self) -> Vec<VmId> {
        let slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots.iter().map(|slot| slot.config.vm.clone()).collect()
    }

    /// Kills a router as a crash would, and starts it anew on the same address.
    ///
    /// # Errors
    /// If it cannot be started.
    pub async fn crash(&self, index: usize) -> Result<()> {
        let (config, own) = self.take(index);
        if let Some(own) = own {
            own.crash().await;
        }
        self.start_again(index, config).await
    }

    /// Stops a router as planned and starts it anew on the same address.
    ///
    /// # Errors
    /// If it cannot be started.
    pub async fn replace(&self, index: usize) -> Result<()> {
        let (config, own) = self.take(index);
        if let Some(own) = own {
            own.stop().await;
        }
        self.start_again(index, config).await
    }

    pub(super) async fn stop(&self) {
        let all: Vec<Own> = {
            let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
            slots.iter_mut().filter_map(|s| s.own.take()).collect()
        };
        join_all(all.into_iter().map(Own::stop)).await;
    }

    fn take(&self, index: usize) -> (ProcessConfig, Option<Own>) {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = &mut slots[index];
        (slot.config.clone(), slot.own.take())
    }

    /// Kills some routers and starts them anew.
    ///
    /// All die before the first comes back, as when one update reaches all VMs at once.
    async fn restart_all(&self, chosen: &[usize]) {
        let taken = chosen.iter().map(|index| (*index, self.take(*index)));
        let dying = taken.map(async |(index, (config, own))| {
            if let Some(own) = own {
                own.crash().await;
            }
            (index, config)
        });
        let dead = join_all(dying).await;
        let starts = dead.into_iter().map(async |(index, config)| {
            if let Err(error) = self.start_again(index, config).await {
                tracing::error!(%error, "router not started again");
            }
        });
        join_all(starts).await;
    }

    async fn start_again(&self, index: usize, config: ProcessConfig) -> Result<()> {
        let own = start_patiently(&config).await?;
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots[index].own = Some(own);
        Ok(())
    }
}

/// Starts a router on an address that its former life may still be giving back.
async fn start_patiently(config: &ProcessConfig) -> Result<Own> {
    const TRIES: u32 = 50;
    let mut tries = 0;
    loop {
        let started = Own::start(config).await;
        tries += 1;
        if started.is_ok() || tries >= TRIES {
            return started;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Restarts routers when the stand-ins' control address is asked to.
impl Restart for Routers {
    fn restart(&self, router: Option<&str>) -> Result<(), FaultError> {
        let vms = self.vms();
        let chosen: Vec<usize> = match router {
            None => (0..vms.len()).collect(),
            Some(name) => vms
                .iter()
                .position(|vm| vm.as_str() == name)
                .into_iter()
                .collect(),
        };
        if chosen.is_empty() {
            return Err(FaultError::new("there is no such router"));
        }
        tokio::task::block_in_place(|| self.runtime.block_on(self.restart_all(&chosen)));
        Ok(())
    }
}
