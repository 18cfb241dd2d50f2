//! Sends a request to its upstream through a peer.
//!
//! The peer, the gateway, makes one attempt at the upstream that the sender chose, and streams the response back. All
//! decisions stay with the sender: placement, deadline, retries, and limits. Before the gateway has connected to the
//! upstream it may decline, and the request has provably not run; if the connection to the gateway breaks later, it may
//! have run. The response is framed anew on each hop, so that one that breaks off on either never looks complete.

use super::{Delimiter, Exchange, SendError, connect, exchange};
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, Request, StatusCode, Uri};
use hyper::body::Body;
use sesamegap_wire::UpstreamId;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

/// Path at which a gateway takes requests.
pub const PATH: &str = "/relay";

/// Header with the id of the upstream.
const UPSTREAM: HeaderName = HeaderName::from_static("sesamegap-upstream");

/// Header with the number of the upstream's incarnation.
const LIFE: HeaderName = HeaderName::from_static("sesamegap-life");

/// Header with the path and query of the request.
const TARGET: HeaderName = HeaderName::from_static("sesamegap-target");

/// Header of a request that the gateway must count, since the upstream is brittle.
const COUNTED: HeaderName = HeaderName::from_static("sesamegap-counted");

/// Header of a gateway's response with its [`RelayOutcome`].
const OUTCOME: HeaderName = HeaderName::from_static("sesamegap-relay");

/// Header of a gateway's response that ended with its connection at the upstream.
const UNFRAMED: HeaderName = HeaderName::from_static("sesamegap-unframed");

/// What became of a request at a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayOutcome {
    /// The upstream responded; the response follows.
    Answered,
    /// The upstream did not accept a connection of the gateway.
    Unreached,
    /// The gateway itself reaches no upstream.
    Partitioned,
    /// The gateway does not list this incarnation of the upstream, or knows that it is leaving.
    Unlisted,
    /// The gateway sends on as many requests as it may.
    Busy,
    /// The upstream is brittle and has no room, as the gateway counts, or its limit is used up.
    Full,
    /// The gateway is stopping.
    Stopping,
    /// The upstream accepted a connection and did not respond; the request may have run.
    Broken,
}

impl RelayOutcome {
    /// All outcomes.
    const ALL: [Self; 8] = [
        Self::Answered,
        Self::Unreached,
        Self::Partitioned,
        Self::Unlisted,
        Self::Busy,
        Self::Full,
        Self::Stopping,
        Self::Broken,
    ];

    /// Its name in messages and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Unreached => "unreached",
            Self::Partitioned => "partitioned",
            Self::Unlisted => "unlisted",
            Self::Busy => "busy",
            Self::Full => "full",
            Self::Stopping => "stopping",
            Self::Broken => "broken",
        }
    }
}

impl fmt::Display for RelayOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for RelayOutcome {
    type Err = UnknownOutcome;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.into_iter();
        all.find(|outcome| outcome.name() == name)
            .ok_or(UnknownOutcome)
    }
}

/// A gateway's response names no outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownOutcome;

impl fmt::Display for UnknownOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response without the outcome at the gateway")
    }
}

impl std::error::Error for UnknownOutcome {}

/// The upstream that a request is meant for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// Its id.
    pub id: UpstreamId,
    /// Number of its incarnation, the same in all VMs.
    pub life: u64,
}

/// Why a request got no response through a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayError {
    /// The gateway did not accept a connection; the request has not run.
    NoGateway(String),
    /// The gateway did not send the request on; it has not run.
    Declined(RelayOutcome),
    /// The request may have run.
    Broken(String),
}

/// Sends a request to its upstream through a gateway and waits for the response head. If it `is_counted`, the gateway
/// lets it through only if the upstream has room.
///
/// # Errors
/// Returns [`RelayError::Broken`] unless it is certain that the request has not run.
pub async fn send_through<B>(
    from: IpAddr,
    gateway: SocketAddr,
    destination: &Destination,
    is_counted: bool,
    request: Request<B>,
) -> Result<Exchange, RelayError>
where
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let request = wrap(destination, is_counted, request)
        .map_err(|error| RelayError::Broken(error.to_string()))?;
    let no_gateway = |error: SendError| RelayError::NoGateway(error.to_string());
    let stream = connect(from, gateway).await.map_err(no_gateway)?;
    // The gateway acquires the permit.
    let sent = exchange(stream, None, request, || {}).await;
    let mut exchange = sent.map_err(|error| match error {
        SendError::Unreached(why) => RelayError::NoGateway(why),
        SendError::Full | SendError::Limited => RelayError::Declined(RelayOutcome::Full),
        SendError::Broken(why) => RelayError::Broken(why),
    })?;
    let outcome = exchange.response.headers_mut().remove(OUTCOME);
    let outcome = outcome
        .as_ref()
        .and_then(|value| value.to_str().ok())
        .map_or(Err(UnknownOutcome), str::parse);
    if exchange.response.headers_mut().remove(UNFRAMED).is_some() {
        exchange.response.body_mut().set_confirmed();
    }
    match outcome {
        Ok(RelayOutcome::Answered) => Ok(exchange),
        Ok(RelayOutcome::Broken) => {
            Err(RelayError::Broken("no response to the gateway".to_owned()))
        }
        Ok(declined) => Err(RelayError::Declined(declined)),
        Err(error) => Err(RelayError::Broken(error.to_string())),
    }
}

/// Addresses a request to a gateway.
fn wrap<B>(
    destination: &Destination,
    is_counted: bool,
    mut request: Request<B>,
) -> Result<Request<B>, http::Error> {
    let target = request.uri().path_and_query();
    let target = target.map_or("/", |target| target.as_str());
    let target = HeaderValue::from_str(target)?;
    let id = HeaderValue::from_str(destination.id.as_str())?;
    let headers = request.headers_mut();
    headers.insert(TARGET, target);
    headers.insert(UPSTREAM, id);
    headers.insert(LIFE, HeaderValue::from(destination.life));
    if is_counted {
        headers.insert(COUNTED, HeaderValue::from_static("1"));
    }
    *request.uri_mut() = Uri::from_static(PATH);
    Ok(request)
}

/// Restores a request that a sender addressed to this gateway, and tells whether it must be counted; `None` if it is none.
pub fn unwrap<B>(mut request: Request<B>) -> Option<(Destination, bool, Request<B>)> {
    let is_relay = request.uri().path() == PATH;
    let headers = request.headers_mut();
    let destination = Destination {
        id: take(headers, &UPSTREAM)?,
        life: take(headers, &LIFE)?,
    };
    let is_counted = headers.remove(COUNTED).is_some();
    *request.uri_mut() = take(request.headers_mut(), &TARGET)?;
    is_relay.then_some((destination, is_counted, request))
}

/// Removes a header and parses its value.
fn take<T: FromStr>(headers: &mut HeaderMap, name: &HeaderName) -> Option<T> {
    headers.remove(name)?.to_str().ok()?.parse().ok()
}

/// Marks a response with the outcome.
pub fn mark(headers: &mut HeaderMap, outcome: RelayOutcome) {
    headers.insert(OUTCOME, HeaderValue::from_static(outcome.name()));
}

/// Marks a response that is framed anew for the peer, if only the end of its connection delimits it.
pub fn mark_unframed(headers: &mut HeaderMap, delimiter: Delimiter) {
    if delimiter == Delimiter::Connection {
        headers.insert(UNFRAMED, HeaderValue::from_static("1"));
    }
}

/// Status of a response that the gateway gives itself.
pub const DECLINED_STATUS: StatusCode = StatusCode::BAD_GATEWAY;
