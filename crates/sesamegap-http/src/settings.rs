//! Timeouts and size limits of a client of one target.

use sesamegap_wire::DomainId;
use std::time::Duration;

/// Timeouts and size limits of a client of one target.
#[derive(Debug, Clone)]
pub struct Settings {
    pub(crate) connect_timeout: Duration,
    pub(crate) read_timeout: Duration,
    pub(crate) max_connection_age: Duration,
    pub(crate) idle_timeout: Duration,
    pub(crate) body_timeout: Duration,
    pub(crate) max_body_bytes: usize,
    pub(crate) max_event_bytes: usize,
    pub(crate) domain: Option<DomainId>,
}

impl Settings {
    /// Returns a builder with the default settings.
    pub fn builder() -> SettingsBuilder {
        SettingsBuilder(Self::default())
    }

    /// Longest wait for the next bytes of a response.
    pub fn read_timeout(&self) -> Duration {
        self.read_timeout
    }

    /// Largest accepted body, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.max_body_bytes
    }

    /// Largest accepted event of a stream, in bytes.
    pub fn max_event_bytes(&self) -> usize {
        self.max_event_bytes
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(250),
            read_timeout: Duration::from_millis(400),
            max_connection_age: Duration::from_mins(1),
            idle_timeout: Duration::from_secs(20),
            body_timeout: Duration::from_secs(30),
            max_body_bytes: 8 << 20,
            max_event_bytes: 64 << 10,
            domain: None,
        }
    }
}

/// Builds [`Settings`].
#[derive(Debug)]
pub struct SettingsBuilder(Settings);

impl SettingsBuilder {
    /// Longest time to establish a connection.
    #[must_use]
    pub fn connect_timeout(mut self, time: Duration) -> Self {
        self.0.connect_timeout = time;
        self
    }

    /// Longest wait for the next bytes of a response.
    #[must_use]
    pub fn read_timeout(mut self, time: Duration) -> Self {
        self.0.read_timeout = time;
        self
    }

    /// Age at which the connections are replaced by new ones.
    #[must_use]
    pub fn max_connection_age(mut self, time: Duration) -> Self {
        self.0.max_connection_age = time;
        self
    }

    /// Time after which an unused connection is closed; also the interval of TCP keepalive probes.
    #[must_use]
    pub fn idle_timeout(mut self, time: Duration) -> Self {
        self.0.idle_timeout = time;
        self
    }

    /// Longest time to read a complete body, so that one sent very slowly still ends.
    #[must_use]
    pub fn body_timeout(mut self, time: Duration) -> Self {
        self.0.body_timeout = time;
        self
    }

    /// Largest accepted body, in bytes.
    #[must_use]
    pub fn max_body_bytes(mut self, bytes: usize) -> Self {
        self.0.max_body_bytes = bytes;
        self
    }

    /// Largest accepted event of a stream, in bytes.
    #[must_use]
    pub fn max_event_bytes(mut self, bytes: usize) -> Self {
        self.0.max_event_bytes = bytes;
        self
    }

    /// Failure domain of this client, sent to the target in a header.
    #[must_use]
    pub fn domain(mut self, domain: DomainId) -> Self {
        self.0.domain = Some(domain);
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.0
    }
}
