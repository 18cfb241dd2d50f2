//! Decides by which way a request goes to its upstream: over a connection of this VM, or through a peer.
//!
//! A VM that reaches no upstream sends through any peer that does. While upstreams are brittle, all VMs send through the
//! one that counts the requests for the upstream. No way is tried after one on which the request may have run.

use super::gateway::{Destination, RelayError, RelayOutcome, send_through};
use super::{Exchange, OpenConnections, SendError, connect, send};
use crate::clock;
use crate::limits::permit::SendPermit;
use http::Request;
use http_body_util::Full;
use hyper::body::Bytes;
use sesamegap_wire::Moment;
use std::net::{IpAddr, SocketAddr};
use tokio::net::TcpStream;

/// The ways of one attempt, and what becomes known by using them.
pub trait Routes {
    /// Counts a request at a brittle upstream until it is dropped.
    type Pass;

    /// The upstream.
    fn upstream(&self) -> Destination;

    /// The address to connect from, and that of the upstream.
    fn addrs(&self) -> (IpAddr, SocketAddr);

    /// Whether the upstream falls over when it rejects too much.
    fn is_brittle(&self) -> bool;

    /// Whether this VM counts as partitioned from all upstreams.
    fn is_partitioned(&self) -> bool;

    /// The VMs that count the requests for the upstream, the first one first; `None` is this VM.
    fn counting_vms(&self) -> Vec<Option<SocketAddr>>;

    /// Peers that may send the request on, the best first.
    fn gateways(&self) -> Vec<SocketAddr>;

    /// Counts the request, or returns `None` if the upstream has no room.
    fn take_pass(&self) -> Option<Self::Pass>;

    /// Builds the request with the time that is left now.
    ///
    /// # Errors
    /// If the request has an invalid part.
    fn build_request(&mut self) -> Result<Request<Full<Bytes>>, SendError>;

    /// Permits the request to be sent from this VM.
    ///
    /// # Errors
    /// Returns [`SendError::Limited`] if the upstream takes no more for now.
    fn acquire_permit(&mut self) -> impl Future<Output = Result<SendPermit, SendError>> + Send;

    /// Returns the permit if it still holds, or else another one.
    ///
    /// # Errors
    /// As [`Routes::acquire_permit`].
    fn renew_permit(
        &mut self,
        permit: SendPermit,
    ) -> impl Future<Output = Result<SendPermit, SendError>> + Send;

    /// The connections of this process to upstreams.
    fn connections(&self) -> &OpenConnections;

    /// Records whether the upstream accepted a connection that was attempted since `began`.
    fn record_connection(&self, began: Moment, is_connected: bool);

    /// Records what became of the request at a peer.
    fn record_relay(&self, gateway: SocketAddr, outcome: Result<(), &RelayError>);
}

/// Sends a request to its upstream; a pass is returned if this VM counts the requests there.
///
/// # Errors
/// Returns [`SendError::Broken`] if the request may have run.
pub async fn exchange<R: Routes>(routes: &mut R) -> Result<(Exchange, Option<R::Pass>), SendError> {
    if !routes.is_brittle() {
        return Ok((exchange_uncounted(routes).await?, None));
    }
    for vm in routes.counting_vms() {
        let Some(gateway) = vm else {
            let pass = routes.take_pass().ok_or(SendError::Full)?;
            return Ok((exchange_uncounted(routes).await?, Some(pass)));
        };
        if let Some(sent) = try_gateway(routes, gateway, true).await {
            return Ok((sent?, None));
        }
    }
    // Rejections are the lesser harm if none of the VMs that would count responds.
    Ok((exchange_uncounted(routes).await?, None))
}

async fn exchange_uncounted<R: Routes>(routes: &mut R) -> Result<Exchange, SendError> {
    if !routes.is_partitioned() {
        let permit = routes.acquire_permit().await?;
        match connect_directly(routes).await {
            Ok(stream) => {
                let permit = routes.renew_permit(permit).await?;
                let request = routes.build_request()?;
                return send(stream, routes.connections(), request, permit).await;
            }
            Err(error) if !routes.is_partitioned() => return Err(error),
            // This failure shows that the VM is partitioned, so the upstream may be well.
            Err(_) => {}
        }
    }
    for gateway in routes.gateways() {
        if let Some(sent) = try_gateway(routes, gateway, false).await {
            return sent;
        }
    }
    Err(SendError::Unreached("no peer sends it on".to_owned()))
}

async fn connect_directly<R: Routes>(routes: &R) -> Result<TcpStream, SendError> {
    let began = clock::now();
    let (from, addr) = routes.addrs();
    let connected = connect(from, addr).await;
    routes.record_connection(began, connected.is_ok());
    connected
}

/// Sends a request through a peer; returns `None` if another peer may send it on.
async fn try_gateway<R: Routes>(
    routes: &mut R,
    gateway: SocketAddr,
    is_counted: bool,
) -> Option<Result<Exchange, SendError>> {
    let request = match routes.build_request() {
        Ok(request) => request,
        Err(error) => return Some(Err(error)),
    };
    let (from, _) = routes.addrs();
    let sent = send_through(from, gateway, &routes.upstream(), is_counted, request).await;
    routes.record_relay(gateway, sent.as_ref().map(drop));
    match sent {
        Ok(exchange) => Some(Ok(exchange)),
        Err(RelayError::Broken(why)) => Some(Err(SendError::Broken(why))),
        Err(RelayError::Declined(RelayOutcome::Full)) => Some(Err(SendError::Full)),
        Err(RelayError::Declined(RelayOutcome::Unreached)) => {
            let why = "not reached by a peer".to_owned();
            Some(Err(SendError::Unreached(why)))
        }
        Err(RelayError::Declined(_) | RelayError::NoGateway(_)) => None,
    }
}
