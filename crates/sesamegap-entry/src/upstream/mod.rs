//! One request on a connection of its own to an upstream.
//!
//! A pooled client cannot say whether a byte was written, nor refuse a connection on which
//! something unexpected lies: a late answer to an earlier request, an extra answer, an idle
//! connection closed or mute. On a fresh connection the first answer belongs to the one request,
//! and a failed connect proves that nothing ran. Measured upstreams take a millisecond for it.
//! So this speaks through `hyper`'s connection interface, below what `reqwest` offers.

use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Time to open a connection: many times the delay within a region, so that a full or dead
/// upstream is told while another can still answer in time.
const CONNECT: Duration = Duration::from_millis(300);

/// Time after which unacknowledged bytes close a connection: with the other end cut off, nothing
/// else would tell for minutes.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);

/// Silence after which the other end is probed; a mute connection is closed after three probes.
const PROBED: Duration = Duration::from_secs(1);

/// Why a request brought no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// No connection: the upstream has not seen the request.
    Unreached(String),
    /// Something may have been written, so the request may run.
    Broken(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreached(why) => write!(f, "no connection: {why}"),
            Self::Broken(why) => write!(f, "no whole answer: {why}"),
        }
    }
}

impl std::error::Error for SendError {}

/// Closes the connection when dropped, which tells the upstream to stop working.
#[derive(Debug)]
pub struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An answer whose body is still to come.
#[derive(Debug)]
pub struct Exchange {
    /// The head and the body.
    pub response: Response<Incoming>,
    /// The connection, which must outlive the body.
    pub connection: Connection,
}

/// Sends a request and waits for the head of its answer; the caller bounds the wait.
///
/// # Errors
/// [`SendError::Unreached`] only if no byte was written.
pub async fn send(addr: SocketAddr, request: Request<Full<Bytes>>) -> Result<Exchange, SendError> {
    let stream = connect(addr).await?;
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake
        .await
        .map_err(|error| SendError::Unreached(error.to_string()))?;
    let driven = tokio::spawn(async move {
        // The same error reaches whoever reads the answer.
        drop(connection.await);
    });
    let connection = Connection(driven);
    let response = sender
        .send_request(request)
        .await
        .map_err(|error| SendError::Broken(describe(&error)))?;
    Ok(Exchange {
        response,
        connection,
    })
}

async fn connect(addr: SocketAddr) -> Result<TcpStream, SendError> {
    let unreached = |error: std::io::Error| SendError::Unreached(error.to_string());
    let stream = match timeout(CONNECT, TcpStream::connect(addr)).await {
        Ok(connected) => connected.map_err(unreached)?,
        Err(_) => return Err(SendError::Unreached("connect timed out".to_owned())),
    };
    stream.set_nodelay(true).map_err(unreached)?;
    let socket = SockRef::from(&stream);
    let alive = TcpKeepalive::new()
        .with_time(PROBED)
        .with_interval(PROBED)
        .with_retries(3);
    socket.set_tcp_keepalive(&alive).map_err(unreached)?;
    socket
        .set_tcp_user_timeout(Some(UNACKNOWLEDGED))
        .map_err(unreached)?;
    Ok(stream)
}

/// The error and its cause in one line, since the outer one alone tells little.
pub fn describe(error: &hyper::Error) -> String {
    use std::error::Error;
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}
