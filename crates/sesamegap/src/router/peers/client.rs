//! Speaks to other routers.

use super::message::{HaveSettings, Hello, ProbeFor, Probed, Relay, Resume, WantSettings};
use crate::config::ProcessConfig;
use crate::router::core::Core;
use reqwest::{Client, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sesamegap_http::read_body;
use sesamegap_wire::peer::Warmth;
use sesamegap_wire::{ModelId, VmId, codec};
use smol_str::SmolStr;
use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Carries the shared secret.
pub const SECRET: &str = "sesamegap-secret";

/// Longest time for one relayed answer, whole or as a stream; longer than any class allows.
const RELAY_LONGEST: Duration = Duration::from_mins(10);

/// Largest answer that is read whole, in bytes; settings of thousands of teams are under it.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A peer that could not be asked.
#[derive(Debug, Clone)]
pub struct PeerError(String);

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "peer not asked: {}", self.0)
    }
}

impl Error for PeerError {}

/// A client of other routers' peer endpoints.
#[derive(Debug)]
pub struct PeerClient {
    http: Client,
    secret: SmolStr,
    limit: Duration,
}

impl PeerClient {
    /// Makes a client with the process's secret and time limits.
    ///
    /// # Errors
    /// If the HTTP client cannot be set up.
    pub fn new(config: &ProcessConfig) -> Result<Self, PeerError> {
        let http = Client::builder()
            .connect_timeout(config.timing.connect)
            .pool_idle_timeout(config.timing.age)
            .no_proxy()
            .build()
            .map_err(|error| PeerError(error.to_string()))?;
        Ok(Self {
            http,
            secret: config.secret.clone(),
            limit: config.timing.connect + config.timing.silence,
        })
    }

    /// Exchanges digests.
    ///
    /// # Errors
    /// If no usable answer comes in time.
    pub async fn hello(&self, to: SocketAddr, hello: &Hello) -> Result<Hello, PeerError> {
        self.ask(to, "hello", hello).await
    }

    /// Probes a peer.
    ///
    /// # Errors
    /// If no usable answer comes in time.
    pub async fn probe(&self, to: SocketAddr, probe: &Probed) -> Result<Probed, PeerError> {
        self.ask(to, "probe", probe).await
    }

    /// Asks a peer to probe another one.
    ///
    /// # Errors
    /// If no usable answer comes in time, of the peer or through it.
    pub async fn probe_for(&self, to: SocketAddr, ask: &ProbeFor) -> Result<Probed, PeerError> {
        self.ask(to, "probe-for", ask).await
    }

    /// Fetches what a peer knows of caches and heat.
    ///
    /// # Errors
    /// If no usable answer comes in time.
    pub async fn warmth(&self, to: SocketAddr) -> Result<Warmth, PeerError> {
        self.ask(to, "warmth", &()).await
    }

    /// Fetches the demand for each model, in prompt tokens a second.
    ///
    /// # Errors
    /// If no usable answer comes in time.
    pub async fn demand(&self, to: SocketAddr) -> Result<Vec<(ModelId, f64)>, PeerError> {
        self.ask(to, "demand", &()).await
    }

    /// Fetches newer settings.
    ///
    /// # Errors
    /// If no usable answer comes in time.
    pub async fn settings(
        &self,
        to: SocketAddr,
        want: WantSettings,
    ) -> Result<HaveSettings, PeerError> {
        self.ask(to, "settings", &want).await
    }

    /// Passes a request to the router that holds its key.
    ///
    /// # Errors
    /// If the router is unknown or does not answer; it may have run the request all the same.
    pub async fn relay(
        &self,
        core: &Core,
        vm: &VmId,
        relay: &Relay,
    ) -> Result<Response, PeerError> {
        self.send(find(core, vm)?, "relay", relay).await
    }

    /// Asks the router that ran a request for its answer.
    ///
    /// # Errors
    /// If the router is unknown or does not answer.
    pub async fn resume(&self, core: &Core, resume: &Resume) -> Result<Response, PeerError> {
        let to = find(core, &resume.request.vm)?;
        self.send(to, "resume", resume).await
    }

    /// Asks the router that runs a request to stop.
    ///
    /// # Errors
    /// If the router is unknown or does not answer.
    pub async fn cancel(&self, core: &Core, resume: &Resume) -> Result<Response, PeerError> {
        let to = find(core, &resume.request.vm)?;
        self.send(to, "cancel", resume).await
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        message: &impl Serialize,
    ) -> Result<T, PeerError> {
        let asked = async {
            let response = self.send(to, path, message).await?;
            let response = response.error_for_status().map_err(wrong)?;
            let bytes = read_body(response, MAX_ANSWER_BYTES, self.limit).await;
            let bytes = bytes.map_err(|error| PeerError(error.to_string()))?;
            codec::decode(&bytes).map_err(|error| PeerError(error.to_string()))
        };
        let asked = tokio::time::timeout(self.limit, asked).await;
        asked.unwrap_or_else(|_| Err(PeerError("no answer in time".into())))
    }

    async fn send(
        &self,
        to: SocketAddr,
        path: &str,
        message: &impl Serialize,
    ) -> Result<Response, PeerError> {
        let body = codec::encode(message).map_err(|error| PeerError(error.to_string()))?;
        let request = self
            .http
            .post(format!("http://{to}/peer/{path}"))
            .header(SECRET, self.secret.as_str())
            .timeout(RELAY_LONGEST)
            .body(body);
        request.send().await.map_err(wrong)
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the shape that map_err wants"
)]
fn wrong(error: reqwest::Error) -> PeerError {
    PeerError(error.to_string())
}

fn find(core: &Core, vm: &VmId) -> Result<SocketAddr, PeerError> {
    let peers = core.peers.live(&core.fleet.entries());
    let peer = peers.iter().find(|peer| peer.vm == *vm);
    peer.map(|peer| peer.router)
        .ok_or_else(|| PeerError(format!("`{vm}` is not alive")))
}
