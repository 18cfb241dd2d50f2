//! Starts a whole deployment and stops it.

use super::demand::Demand;
use super::routers::Routers;
use super::traffic::demo_key;
use crate::admin::{ChangeAnswer, TreeAnswer};
use crate::config::{CtlConfig, ProcessConfig, Timing};
use crate::controller;
use crate::ctl::client::Client;
use crate::ctl::file::Publishable;
use crate::ctl::publish::{Publication, edits, fresh_id};
use crate::locator;
use crate::router::Links;
use crate::site::Site;
use anyhow::{Context, Result, bail};
use futures_util::future::join_all;
use serde_json::{Value, json};
use sesamegap_platform::{VmEntry, VmRole, VmState};
use sesamegap_settings::{Catalogue, Findings, Tree, key_hash};
use sesamegap_standin::{Deployment as Standins, Restart};
use sesamegap_wire::{DomainId, SoftwareVersion, VmId};
use smol_str::{SmolStr, format_smolstr};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Secret of a demonstration's own processes.
const SECRET: &str = "demonstration-only-secret";

/// Key of a demonstration's operators.
pub const OPERATOR: &str = "operator-demo-key";

/// Longest wait for the first settings to be in force on every router.
const SETTLED: Duration = Duration::from_secs(20);

/// A deployment that serves on loopback.
#[derive(Debug)]
pub struct Deployment {
    site: Arc<Site>,
    demand: Arc<Demand>,
    catalogue: Catalogue,
    standins: Arc<Standins>,
    routers: Arc<Routers>,
    locators: Vec<locator::Running>,
    controllers: Vec<controller::Running>,
}

impl Deployment {
    /// Starts stand-ins, routers and locators, and waits until the site's tree is in force.
    ///
    /// # Errors
    /// If a port cannot be opened or the tree is not taken.
    pub async fn start(site: Arc<Site>) -> Result<Self> {
        let demand = site.demand.clone().context("the file has no `traffic`")?;
        let catalogue = Catalogue::resolve(&site.tree, &mut Findings::default());
        let plan = site.standins.clone().operator(OPERATOR).build();
        let standins = Arc::new(Standins::start(plan).await?);
        let routers = Arc::new(Routers::start(&site, &standins).await?);
        let locators = start_locators(&site, &standins, &routers).await?;
        let controllers = start_controllers(&site, &standins).await?;
        standins.on_restart(Arc::clone(&routers) as Arc<dyn Restart>);
        let deployment = Self {
            site,
            demand: Arc::new(demand),
            catalogue,
            standins,
            routers,
            locators,
            controllers,
        };
        let tree = deployment.site.tree.clone();
        deployment.publish(tree).await?;
        Ok(deployment)
    }

    /// The site.
    pub fn site(&self) -> &Arc<Site> {
        &self.site
    }

    /// What callers send.
    pub fn demand(&self) -> &Arc<Demand> {
        &self.demand
    }

    /// The settings that were published at the start.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// The stand-ins.
    pub fn standins(&self) -> &Arc<Standins> {
        &self.standins
    }

    /// The routers.
    pub fn routers(&self) -> &Arc<Routers> {
        &self.routers
    }

    /// Where the locators listen.
    pub fn locators(&self) -> Vec<SocketAddr> {
        self.locators.iter().map(locator::Running::addr).collect()
    }

    /// The controllers' states after their last rounds.
    pub fn controllers(&self) -> Vec<Value> {
        self.controllers
            .iter()
            .map(controller::Running::dump)
            .collect()
    }

    /// What a person or another program needs to use the deployment.
    pub fn greeting(&self) -> Value {
        let urls = |addrs: Vec<SocketAddr>| -> Vec<String> {
            addrs.iter().map(|addr| format!("http://{addr}")).collect()
        };
        let teams = self.catalogue.teams.keys();
        let keys: serde_json::Map<String, Value> = teams
            .map(|team| (team.to_string(), demo_key(team).into()))
            .collect();
        json!({
            "locators": urls(self.locators()),
            "routers": urls(self.routers.addrs()),
            "standins": format!("http://{}", self.standins.addresses().control),
            "teams": keys,
            "operator": OPERATOR,
            "services": self.catalogue.services.keys().collect::<Vec<_>>(),
            "models": self.catalogue.models.keys().collect::<Vec<_>>(),
        })
    }

    /// Stops as planned: no request in flight is cut.
    pub async fn stop(self) {
        join_all(self.controllers.into_iter().map(controller::Running::stop)).await;
        self.routers.stop().await;
        join_all(self.locators.into_iter().map(locator::Running::stop)).await;
    }

    /// Asks a router for the operators' view of the settings.
    ///
    /// # Errors
    /// If no router answers.
    pub async fn tree(&self) -> Result<TreeAnswer> {
        Ok(self.client(&self.routers.addrs())?.tree().await?)
    }

    /// A client of the operators' interface of some routers.
    ///
    /// # Errors
    /// If the HTTP client cannot be set up.
    pub fn client(&self, routers: &[SocketAddr]) -> Result<Client> {
        let urls = routers.iter().map(|addr| format_smolstr!("http://{addr}"));
        let config = CtlConfig {
            routers: urls.collect(),
            key: Some(OPERATOR.into()),
            by: "sesamegap-local".into(),
            ..CtlConfig::default()
        };
        Ok(Client::new(config)?)
    }

    async fn publish(&self, tree: Tree) -> Result<()> {
        let client = self.client(&self.routers.addrs())?;
        let current = client.tree().await?;
        let edits = edits(Publishable::Tree(Box::new(tree)), &current)?;
        let publication = Publication {
            base: current.revision,
            by: "sesamegap-local".into(),
            note: "the site's tree".to_owned(),
            id: fresh_id(),
        };
        match client.change(&publication.request(edits)).await? {
            ChangeAnswer::Accepted { revision, .. } => self.settled(revision).await,
            other => bail!("the site's tree was not taken: {other:?}"),
        }
    }

    /// Waits until a revision is in force on every router.
    ///
    /// # Errors
    /// If it takes too long.
    pub async fn settled(&self, revision: sesamegap_wire::Offset) -> Result<()> {
        let until = Instant::now() + SETTLED;
        for addr in self.routers.addrs() {
            let client = self.client(&[addr])?;
            loop {
                let tree = client.tree().await;
                if tree.is_ok_and(|tree| tree.revision >= revision) {
                    break;
                }
                if Instant::now() >= until {
                    bail!("revision {revision} is not in force at {addr}");
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }
}

async fn start_locators(
    site: &Site,
    standins: &Standins,
    routers: &Routers,
) -> Result<Vec<locator::Running>> {
    let mut locators = Vec::new();
    for (index, router) in routers.addrs().into_iter().enumerate() {
        let config = process(site, standins, index, "locator")?;
        let entry = |locator| VmEntry {
            role: VmRole::Entry {
                vm: config.vm.clone(),
                locator,
            },
            addr: router,
            domain: config.domain.clone(),
            state: VmState::Live,
            software: SoftwareVersion::default(),
        };
        standins.enlist(&entry(router));
        let vms = Links::http(&config).vms;
        let running = locator::start(config.clone(), vms).await?;
        standins.enlist(&entry(running.addr()));
        locators.push(running);
    }
    Ok(locators)
}

async fn start_controllers(site: &Site, standins: &Standins) -> Result<Vec<controller::Running>> {
    let mut controllers = Vec::new();
    for index in 0..site.routers {
        let config = process(site, standins, index, "controller")?;
        let links = controller::Links::http(&config);
        controllers.push(controller::start(config, links).await?);
    }
    Ok(controllers)
}

pub(super) fn process(
    site: &Site,
    standins: &Standins,
    index: usize,
    what: &str,
) -> Result<ProcessConfig> {
    let vm: VmId = format!("entry-{}", index + 1)
        .parse()
        .with_context(|| format!("no name for {what} {index}"))?;
    let domain: DomainId = site.domains[index % site.domains.len()].clone();
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let url = |addr: SocketAddr| -> SmolStr { format_smolstr!("http://{addr}") };
    let platform = standins.addresses();
    let config = ProcessConfig::builder(vm, domain, listen)
        .log(url(platform.log))
        .vms(url(platform.vms))
        .weights(url(platform.weights))
        .secret(SECRET)
        .operator(key_hash(OPERATOR))
        .timing(Timing::default())
        .build()?;
    Ok(config)
}
