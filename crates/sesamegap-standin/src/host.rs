//! The machine that a stand-in runs on: its gate, its failure domain and its faults.

use crate::faults::Switches;
use crate::gate::{Gate, GateAcceptor};
use poem::{Endpoint, EndpointExt, IntoEndpoint, Request, Response, Server};
use sesamegap_http::pool::DOMAIN_HEADER;
use sesamegap_wire::DomainId;
use std::io::Result as IoResult;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Largest request taken, in bytes.
pub(crate) const MAX_BODY: usize = 32 << 20;

/// Any free loopback port.
pub(crate) const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The machine that a stand-in runs on.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) gate: Gate,
    pub(crate) switches: Switches,
    domain: Option<DomainId>,
    between: Duration,
}

impl Host {
    /// Opens a machine in a failure domain on any free port.
    pub(crate) async fn open(
        domain: &DomainId,
        between: Duration,
    ) -> IoResult<(Arc<Self>, GateAcceptor)> {
        Self::build(ANY_PORT, Some(domain.clone()), between).await
    }

    /// Opens a machine that is equally far from everybody.
    pub(crate) async fn open_central(addr: SocketAddr) -> IoResult<(Arc<Self>, GateAcceptor)> {
        Self::build(addr, None, Duration::ZERO).await
    }

    async fn build(
        addr: SocketAddr,
        domain: Option<DomainId>,
        between: Duration,
    ) -> IoResult<(Arc<Self>, GateAcceptor)> {
        let (gate, acceptor) = Gate::open(addr).await?;
        let host = Arc::new(Self {
            gate,
            switches: Switches::default(),
            domain,
            between,
        });
        Ok((host, acceptor))
    }

    /// Time that a caller's round trip takes, by the domain that its request names.
    fn distance(&self, request: &Request) -> Duration {
        match (&self.domain, request.header(DOMAIN_HEADER)) {
            (Some(own), Some(caller)) if own.as_str() != caller => self.between,
            _ => Duration::ZERO,
        }
    }

    /// Serves an endpoint behind the gate.
    pub(crate) fn serve<E>(self: &Arc<Self>, acceptor: GateAcceptor, endpoint: E) -> Task
    where
        E: IntoEndpoint,
        E::Endpoint: 'static,
    {
        let host = Arc::clone(self);
        let far = endpoint.into_endpoint().around(move |inner, request| {
            let distance = host.distance(&request);
            async move { travel(inner, request, distance).await }
        });
        let serving = Server::new_with_acceptor(acceptor).run(far);
        Task(tokio::spawn(async move {
            if let Err(error) = serving.await {
                tracing::warn!(%error, "stand-in stopped serving");
            }
        }))
    }
}

async fn travel<E: Endpoint>(
    inner: Arc<E>,
    request: Request,
    distance: Duration,
) -> poem::Result<Response> {
    if !distance.is_zero() {
        sleep(distance).await;
    }
    Ok(inner.get_response(request).await)
}

/// A task that ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Task(JoinHandle<()>);

impl Task {
    /// Runs a future until this is dropped.
    pub(crate) fn spawn(work: impl Future<Output = ()> + Send + 'static) -> Self {
        Self(tokio::spawn(work))
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}
