//! Sends each request to an upstream on a new connection.
//!
//! A client with a connection pool cannot tell whether any byte of a request was written, and cannot rule out an
//! unusable connection: one with a late response to an earlier request, with an extra response, or one that was closed
//! or went silent while idle. On a new connection the first response belongs to the only request, and a failed connect
//! proves that the request did not run. Connecting takes a millisecond with the upstreams measured. This module
//! therefore uses `hyper`'s connection API, which is below the level of `reqwest`.

mod body;
mod connections;
pub mod gateway;
mod held;
pub mod routes;

pub use body::{BrokenBody, Delimiter, Part, ResponseBody, TimeLimit};
pub use connections::{OpenConnections, OpenTime};
pub use held::{GaveWay, HeldAnswers, HeldBytes, ReadError, collect};

use crate::limits::permit::SendPermit;
use connections::{Watch, WatchedStream};
use http::{Request, Response};
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::fmt;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Longest head of a response, in bytes; an upstream in trouble may send one without end.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum time to connect: many times the network delay within a region, and short enough that after a failure to
/// reach an overloaded or dead upstream another one can still respond in time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of connections by which an upstream is found to be running.
const CONFIRMATIONS: usize = 3;

/// How often a connection is looked at on which a response head is awaited: often enough to tell when an answer ended.
const HEAD_LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Time within which a connection is closed that was accepted for a process that does not run any more.
pub const CLOSE_TIMEOUT: Duration = Duration::from_millis(25);

/// Time after which unacknowledged data closes a connection: otherwise a network failure would go unnoticed for
/// minutes.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle time before the first TCP keepalive probe, and interval between probes.
///
/// With [`TCP_USER_TIMEOUT`] set, the kernel closes a connection at the first probe that is due after that time without
/// any packet, and disregards the number of probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Error of a request that received no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// No connection was made, so the upstream has not received the request.
    Unreached(String),
    /// The VM that counts the requests of a brittle upstream let this one not through.
    Full,
    /// The upstream takes no more requests for now, by the limit that it names.
    Limited,
    /// Part of the request may have been written, so the upstream may run it.
    Broken(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreached(reason) => write!(f, "no connection: {reason}"),
            Self::Full => f.write_str("no room at a brittle upstream"),
            Self::Limited => f.write_str("the upstream's limit is used up"),
            Self::Broken(reason) => write!(f, "no complete response: {reason}"),
        }
    }
}

impl std::error::Error for SendError {}

/// A connection to an upstream. Dropping it closes the connection, which tells the upstream to cancel the request.
#[derive(Debug)]
pub struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A response whose body has not been read yet, with its connection.
#[derive(Debug)]
pub struct Exchange {
    /// The response head and the body to read.
    pub response: Response<ResponseBody>,
    /// The connection, which must outlive the body.
    pub connection: Connection,
    watch: Watch,
}

impl Exchange {
    /// Confirms the end of a response with neither a length nor chunks. Such a response ends with its connection, also if
    /// the upstream crashes or gives the request up at its `limit`; it is complete only if it ends well before that, and
    /// `is_running` finds the upstream running at that moment. It is given when the connection was last seen open.
    #[must_use]
    pub fn confirm_end<F>(
        self,
        limit: TimeLimit,
        is_running: impl FnOnce(Arc<OpenTime>) -> F,
    ) -> Self
    where
        F: Future<Output = bool> + Send + 'static,
    {
        if self.response.body().delimiter() != Delimiter::Connection {
            return self;
        }
        let is_running = is_running(self.watch.time());
        let watch = self.watch.clone();
        Self {
            response: self
                .response
                .map(|body| body.confirm_end(watch, limit, is_running)),
            ..self
        }
    }
}

/// Sends a request to an upstream on a new connection and waits for the response head, without a timeout of its own.
///
/// # Errors
/// Returns [`SendError::Unreached`] only if no byte of the request was written.
pub async fn send<B>(
    stream: TcpStream,
    connections: &OpenConnections,
    request: Request<B>,
    permit: SendPermit,
) -> Result<Exchange, SendError>
where
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let connections = Some(connections);
    exchange(stream, connections, request, || permit.use_up()).await
}

/// Sends a request on a new connection; `on_send` is called when it may be written from then on.
async fn exchange<B>(
    stream: TcpStream,
    connections: Option<&OpenConnections>,
    request: Request<B>,
    on_send: impl FnOnce() + Send,
) -> Result<Exchange, SendError>
where
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let (stream, watch) = WatchedStream::new(stream, connections);
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake
        .await
        .map_err(|error| SendError::Unreached(error.to_string()))?;
    let driver = tokio::spawn(async move {
        // Errors are also returned to the reader of the response.
        drop(connection.await);
    });
    let connection = Connection(driver);
    on_send();
    let mut response = std::pin::pin!(sender.send_request(request));
    let response = loop {
        match timeout(HEAD_LOOK_INTERVAL, &mut response).await {
            Ok(response) => break response,
            Err(_) => _ = watch.look(),
        }
    };
    let response = response.map_err(|error| SendError::Broken(error_with_cause(&error)))?;
    Ok(Exchange {
        response: ResponseBody::of(response),
        connection,
        watch,
    })
}

/// Whether the process still runs that listens at an address.
///
/// A process that ends, or a load balancer before it, may accept a connection and close it at once. An upstream that has no
/// room does the same, so that several connections are made.
pub async fn is_running(from: IpAddr, addr: SocketAddr) -> bool {
    for _ in 0..CONFIRMATIONS {
        match open(from, addr).await {
            Ok(stream) if !closes_soon(&stream).await => return true,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => return false,
            _ => {}
        }
    }
    false
}

async fn closes_soon(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let closed = timeout(CLOSE_TIMEOUT, stream.peek(&mut byte)).await;
    matches!(closed, Ok(Ok(0) | Err(_)))
}

/// Opens a connection for a request.
///
/// # Errors
/// Returns [`SendError::Unreached`] if no connection is made in time.
pub async fn connect(from: IpAddr, addr: SocketAddr) -> Result<TcpStream, SendError> {
    let opened = open(from, addr).await;
    opened.map_err(|error| SendError::Unreached(error.to_string()))
}

/// Opens a connection from a local address.
///
/// A VM may have several addresses; upstreams and operators know it by one of them.
///
/// # Errors
/// If no connection is made in time, or it cannot be set up.
pub async fn open(from: IpAddr, addr: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match from {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(from, 0))?;
    let timed_out = |_| std::io::Error::new(ErrorKind::TimedOut, "connect timed out");
    let connected = timeout(CONNECT_TIMEOUT, socket.connect(addr)).await;
    let stream = connected.map_err(timed_out)??;
    configure(&stream)?;
    Ok(stream)
}

/// Sends small writes at once, and detects a peer that is gone.
///
/// # Errors
/// If the system rejects an option of the socket.
pub fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let alive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&alive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Formats an error with its cause, since the outer message alone says little.
pub fn error_with_cause(error: &hyper::Error) -> String {
    use std::error::Error;
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}
