//! The ways by which an attempt may reach its upstream.

use super::dispatch::build_request;
use crate::clock;
use crate::core::Core;
use crate::fleet::{Flight, GatePass};
use crate::job::Job;
use crate::limits::acquire::{Closed, acquire, renew};
use crate::limits::permit::SendPermit;
use crate::ports::Dispatch;
use crate::telemetry::events;
use crate::upstream::gateway::{Destination, RelayError, RelayOutcome};
use crate::upstream::routes::Routes;
use crate::upstream::{OpenConnections, SendError};
use http::Request;
use http_body_util::Full;
use sesamegap_policy::routing::gateways::MAX_GATEWAYS;
use sesamegap_wire::Moment;
use std::net::{IpAddr, SocketAddr};
use tracing::info;

/// The ways from this VM to the upstream of an attempt.
pub(super) struct AttemptRoutes<'a> {
    pub(super) core: &'a Core,
    pub(super) job: &'a Job,
    pub(super) flight: &'a Flight,
    pub(super) dispatch: &'a mut Dispatch,
    /// The permit with which the upstream was chosen.
    pub(super) permit: Option<SendPermit>,
}

impl Routes for AttemptRoutes<'_> {
    type Pass = GatePass;

    fn upstream(&self) -> Destination {
        self.flight.destination()
    }

    fn addrs(&self) -> (IpAddr, SocketAddr) {
        let from = self.core.settings().listen.callers.ip();
        (from, self.flight.addr)
    }

    fn is_brittle(&self) -> bool {
        let fleet = self.core.fleet.lock();
        fleet.is_brittle(self.job.service(), clock::now())
    }

    fn is_partitioned(&self) -> bool {
        self.core.fleet.lock().is_partitioned()
    }

    fn counting_vms(&self) -> Vec<Option<SocketAddr>> {
        let peers = &self.core.peers;
        let mut vms = peers.first_ranked(MAX_GATEWAYS, self.flight.life());
        vms.retain(|vm| vm.is_none_or(|vm| !peers.is_gateway_avoided(vm)));
        vms
    }

    fn gateways(&self) -> Vec<SocketAddr> {
        self.core.peers.gateways_to(&self.flight.domain)
    }

    fn take_pass(&self) -> Option<GatePass> {
        let Flight { id, .. } = self.flight;
        GatePass::take(&self.core.fleet, id, self.flight.life(), clock::now())
    }

    fn build_request(&mut self) -> Result<Request<Full<hyper::body::Bytes>>, SendError> {
        // The time that failed ways took is no longer left.
        self.dispatch.time_left = self.job.time_left();
        let request = build_request(self.core, self.job, self.dispatch);
        request.map_err(|error| SendError::Broken(error.to_string()))
    }

    async fn acquire_permit(&mut self) -> Result<SendPermit, SendError> {
        match self.permit.take() {
            Some(permit) => self.renew_permit(permit).await,
            None => limited(acquire(self.core, &self.upstream(), &self.job.head.id).await),
        }
    }

    async fn renew_permit(&mut self, permit: SendPermit) -> Result<SendPermit, SendError> {
        limited(renew(self.core, &self.upstream(), &self.job.head.id, permit).await)
    }

    fn connections(&self) -> &OpenConnections {
        &self.core.connections
    }

    fn record_connection(&self, began: Moment, is_connected: bool) {
        let life = self.flight.life();
        self.core.record_connection(life, began, is_connected);
    }

    fn record_relay(&self, gateway: SocketAddr, outcome: Result<(), &RelayError>) {
        let error = outcome.err();
        info!(event = events::GATEWAY, request = %self.job.head.id, upstream = %self.flight.id, %gateway, ?error, "sent through a peer");
        match error {
            Some(RelayError::Declined(RelayOutcome::Unreached)) => {
                self.flight.record_peer_failure(clock::now());
            }
            None
            | Some(
                RelayError::Broken(_)
                | RelayError::Declined(RelayOutcome::Unlisted | RelayOutcome::Full),
            ) => {}
            Some(RelayError::Declined(_) | RelayError::NoGateway(_)) => {
                self.core.peers.avoid_gateway(gateway);
            }
        }
    }
}

fn limited(permit: Result<SendPermit, Closed>) -> Result<SendPermit, SendError> {
    permit.map_err(|Closed| SendError::Limited)
}
