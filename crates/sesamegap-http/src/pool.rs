//! A pool of connections to one target.

use crate::failure::Failure;
use crate::settings::Settings;
use bytes::{Bytes, BytesMut};
use reqwest::{Client, Method, RequestBuilder, Response, redirect, retry};
use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Header that carries the sender's failure domain.
pub const DOMAIN_HEADER: &str = "sesamegap-domain";

/// Unanswered keepalive probes after which the kernel closes an idle connection.
const KEEPALIVE_PROBES: u32 = 3;

#[derive(Debug)]
struct Connections {
    client: Client,
    created: Instant,
}

/// A pool of connections to one target, replaced at a maximum age and after a broken exchange.
#[derive(Debug, Clone)]
pub struct Pool {
    base: String,
    settings: Settings,
    current: Arc<Mutex<Connections>>,
}

impl Pool {
    /// Creates a pool for the target `http://IP:PORT` without connecting to it.
    pub fn new(base: impl Into<String>, settings: Settings) -> Self {
        let base = base.into();
        let connections = Connections {
            client: build_client(&settings),
            created: Instant::now(),
        };
        Self {
            base: base.trim_end_matches('/').to_owned(),
            settings,
            current: Arc::new(Mutex::new(connections)),
        }
    }

    /// Returns the timeouts and size limits.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Builds a request to a path of the target, on connections below the maximum age.
    pub fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let request = self
            .client()
            .request(method, format!("{}{path}", self.base));
        match &self.settings.domain {
            Some(domain) => request.header(DOMAIN_HEADER, domain.as_str()),
            None => request,
        }
    }

    /// Discards all pooled connections without aborting the requests in flight on them.
    ///
    /// Whatever made one connection stall or deliver another request's response may affect the
    /// other connections too, and a request sent on one of those would fail only after the read
    /// timeout.
    pub fn discard_connections(&self) {
        let fresh = Connections {
            client: build_client(&self.settings),
            created: Instant::now(),
        };
        *self.current.lock().unwrap_or_else(PoisonError::into_inner) = fresh;
    }

    /// Sends a request and waits for the response head, at most the read timeout plus `extra`.
    ///
    /// # Errors
    /// [`Failure::Unreached`] only if nothing was sent.
    pub async fn send(
        &self,
        request: RequestBuilder,
        extra: Duration,
    ) -> Result<Response, Failure> {
        let limit = self.settings.read_timeout + extra;
        let outcome = match timeout(limit, request.send()).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(Failure::from_send_error(&error)),
            Err(_) => Err(Failure::timed_out()),
        };
        self.discard_if_broken(outcome)
    }

    /// Reads a complete body within the read timeout, the body timeout and the size limit.
    ///
    /// # Errors
    /// If the body is truncated, exceeds a timeout or is too large.
    pub async fn read_body(&self, response: Response) -> Result<Bytes, Failure> {
        let outcome = timeout(self.settings.body_timeout, self.collect_body(response)).await;
        self.discard_if_broken(outcome.unwrap_or_else(|_| Err(Failure::timed_out())))
    }

    /// Waits for a future that reads from the target, at most the read timeout.
    ///
    /// # Errors
    /// If the timeout expires; the pooled connections are then discarded.
    pub async fn with_read_timeout<T>(
        &self,
        waiting: impl Future<Output = T>,
    ) -> Result<T, Failure> {
        let outcome = timeout(self.settings.read_timeout, waiting).await;
        self.discard_if_broken(outcome.map_err(|_| Failure::timed_out()))
    }

    async fn collect_body(&self, mut response: Response) -> Result<Bytes, Failure> {
        let limit = self.settings.max_body_bytes;
        let mut body = BytesMut::new();
        loop {
            let next = timeout(self.settings.read_timeout, response.chunk()).await;
            let chunk = match next {
                Ok(Ok(Some(chunk))) => chunk,
                Ok(Ok(None)) => return Ok(body.freeze()),
                Ok(Err(error)) => return Err(Failure::Broken(error.to_string())),
                Err(_) => return Err(Failure::timed_out()),
            };
            if body.len() + chunk.len() > limit {
                return Err(Failure::Oversized(limit));
            }
            body.extend_from_slice(&chunk);
        }
    }

    /// Discards the pooled connections if the exchange broke.
    fn discard_if_broken<T>(&self, outcome: Result<T, Failure>) -> Result<T, Failure> {
        if matches!(outcome, Err(Failure::Broken(_))) {
            self.discard_connections();
        }
        outcome
    }

    fn client(&self) -> Client {
        let mut connections = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if connections.created.elapsed() > self.settings.max_connection_age {
            connections.client = build_client(&self.settings);
            connections.created = Instant::now();
        }
        connections.client.clone()
    }
}

/// Builds a client that never retries, follows no redirect and uses no proxy.
fn build_client(settings: &Settings) -> Client {
    let builder = Client::builder()
        .no_proxy()
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .connect_timeout(settings.connect_timeout)
        .pool_idle_timeout(settings.idle_timeout)
        .tcp_nodelay(true)
        .tcp_keepalive(settings.idle_timeout)
        .tcp_keepalive_interval(settings.idle_timeout)
        .tcp_keepalive_retries(KEEPALIVE_PROBES);
    // Without this, unacknowledged data keeps a dead connection open for about 15 minutes; with
    // it, the kernel closes the connection after a few read timeouts.
    #[cfg(target_os = "linux")]
    let builder = builder.tcp_user_timeout(settings.read_timeout * KEEPALIVE_PROBES);
    builder
        .build()
        .expect("building a client without TLS and proxy cannot fail")
}
