//! The connections to one target.

use crate::failure::Failure;
use crate::settings::Settings;
use bytes::{Bytes, BytesMut};
use reqwest::{Client, Method, RequestBuilder, Response, redirect, retry};
use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Header by which a caller names its failure domain.
pub const DOMAIN_HEADER: &str = "sesamegap-domain";

/// Probes that may go unanswered before the kernel closes an idle connection.
const KEEPALIVE_PROBES: u32 = 3;

#[derive(Debug)]
struct Connections {
    client: Client,
    created: Instant,
}

/// The connections to one target, replaced when they are old or one of them misbehaved.
#[derive(Debug, Clone)]
pub struct Pool {
    base: String,
    settings: Settings,
    current: Arc<Mutex<Connections>>,
}

impl Pool {
    /// A pool for a target given as `http://IP:PORT`; nothing is connected yet.
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

    /// The limits.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Starts a request to a path of the target, on connections young enough.
    pub fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let request = self
            .client()
            .request(method, format!("{}{path}", self.base));
        match &self.settings.domain {
            Some(domain) => request.header(DOMAIN_HEADER, domain.as_str()),
            None => request,
        }
    }

    /// Gives up all pooled connections; what is in flight on them is left alone.
    ///
    /// When one connection went mute or crossed answers, whatever did that to it may have done it
    /// to its neighbours. Requests sent on those would be noticed only after the silence limit.
    pub fn discard_connections(&self) {
        let fresh = Connections {
            client: build_client(&self.settings),
            created: Instant::now(),
        };
        *self.current.lock().unwrap_or_else(PoisonError::into_inner) = fresh;
    }

    /// Sends a request and waits for the head of the answer, at most the silence limit plus `extra`.
    ///
    /// # Errors
    /// [`Failure::Unreached`] only if no connection was made.
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

    /// Reads a whole body, within the limits on silence, time and size.
    ///
    /// # Errors
    /// If the body breaks off, goes silent or is too long.
    pub async fn read_body(&self, response: Response) -> Result<Bytes, Failure> {
        let outcome = timeout(self.settings.body_timeout, self.collect_body(response)).await;
        self.discard_if_broken(outcome.unwrap_or_else(|_| Err(Failure::timed_out())))
    }

    /// Limits how long a future may stay without bytes from the target.
    ///
    /// # Errors
    /// If it did not end in time; the pooled connections are then given up.
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

    /// Gives up the pooled connections after a failure on one of them.
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

/// A client with no connection yet.
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
    // Bytes that the other end never acknowledges would keep a dead connection open for a
    // quarter of an hour; this closes it after about the silence limit.
    #[cfg(target_os = "linux")]
    let builder = builder.tcp_user_timeout(settings.read_timeout * KEEPALIVE_PROBES);
    builder
        .build()
        .expect("a client without TLS and proxy has nothing to fail on")
}
