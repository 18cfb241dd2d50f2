//! Clients that speak HTTP.

use super::Connect;
use crate::config::ProcessConfig;
use sesamegap_http::Settings;
use sesamegap_upstream::{Engine, HttpEngine, HttpWorker, PlainService};
use sesamegap_wire::UpstreamId;
use std::net::SocketAddr;
use std::sync::Arc;

/// Makes clients that speak HTTP.
#[derive(Debug, Clone)]
pub struct HttpConnect {
    settings: Settings,
}

impl HttpConnect {
    /// Takes the process's time limits.
    pub fn new(config: &ProcessConfig) -> Self {
        Self {
            settings: http_settings(config),
        }
    }
}

/// Limits on connections to platform and upstreams.
pub fn http_settings(config: &ProcessConfig) -> Settings {
    Settings::builder()
        .connect_timeout(config.timing.connect)
        .read_timeout(config.timing.silence)
        .max_connection_age(config.timing.age)
        .domain(config.domain.clone())
        .build()
}

impl Connect for HttpConnect {
    fn engine(&self, _id: &UpstreamId, addr: SocketAddr) -> Arc<dyn Engine> {
        let base = format!("http://{addr}");
        Arc::new(HttpEngine::new(base, self.settings.clone()))
    }

    fn worker(&self, _id: &UpstreamId, addr: SocketAddr) -> Arc<dyn PlainService> {
        let base = format!("http://{addr}");
        Arc::new(HttpWorker::new(base, self.settings.clone()))
    }
}
