//! Making a process's settings in code, as tests and `sesamegap-local` do.

use super::{Bounds, ProcessConfig, Timing};
use sesamegap_settings::{Findings, SettingsError};
use sesamegap_wire::{DomainId, VmId};
use smol_str::SmolStr;
use std::net::SocketAddr;

/// Collects a process's settings.
#[derive(Debug, Clone)]
pub struct ProcessBuilder {
    config: ProcessConfig,
}

impl ProcessConfig {
    /// Starts from where the process runs; all else is empty or default.
    pub fn builder(vm: VmId, domain: DomainId, listen: SocketAddr) -> ProcessBuilder {
        let config = Self {
            vm,
            domain,
            listen,
            advertise: listen,
            log: SmolStr::default(),
            vms: SmolStr::default(),
            weights: SmolStr::default(),
            secret: SmolStr::default(),
            operator: SmolStr::default(),
            json_logs: false,
            timing: Timing::default(),
            bounds: Bounds::default(),
        };
        ProcessBuilder { config }
    }
}

impl ProcessBuilder {
    /// Sets the address told to others.
    #[must_use]
    pub fn advertise(mut self, addr: SocketAddr) -> Self {
        self.config.advertise = addr;
        self
    }

    /// Sets the platform's log.
    #[must_use]
    pub fn log(mut self, server: impl Into<SmolStr>) -> Self {
        self.config.log = server.into();
        self
    }

    /// Sets the platform's VM list.
    #[must_use]
    pub fn vms(mut self, server: impl Into<SmolStr>) -> Self {
        self.config.vms = server.into();
        self
    }

    /// Sets the platform's weight store.
    #[must_use]
    pub fn weights(mut self, server: impl Into<SmolStr>) -> Self {
        self.config.weights = server.into();
        self
    }

    /// Sets the secret shared by the system's own processes.
    #[must_use]
    pub fn secret(mut self, secret: impl Into<SmolStr>) -> Self {
        self.config.secret = secret.into();
        self
    }

    /// Sets the BLAKE3 hash of the operators' key.
    #[must_use]
    pub fn operator(mut self, hash: impl Into<SmolStr>) -> Self {
        self.config.operator = hash.into();
        self
    }

    /// Sets whether logs are JSON lines.
    #[must_use]
    pub fn json_logs(mut self, json: bool) -> Self {
        self.config.json_logs = json;
        self
    }

    /// Sets spans of time.
    #[must_use]
    pub fn timing(mut self, timing: Timing) -> Self {
        self.config.timing = timing;
        self
    }

    /// Sets bounds on memory.
    #[must_use]
    pub fn bounds(mut self, bounds: Bounds) -> Self {
        self.config.bounds = bounds;
        self
    }

    /// Finishes.
    ///
    /// # Errors
    /// With findings, if values contradict one another.
    pub fn build(self) -> Result<ProcessConfig, SettingsError> {
        let mut findings = Findings::default();
        self.config.check(&mut findings);
        if findings.is_empty() {
            Ok(self.config)
        } else {
            Err(SettingsError::Invalid(findings))
        }
    }
}
