//! The datagram socket, as the parts of a process that send messages to peers share it.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use tokio::net::UdpSocket;
use tracing::{debug, info};

/// The process's datagram socket, once it is bound; nothing is sent before.
#[derive(Debug, Default)]
pub struct PeerSocket(OnceLock<Arc<UdpSocket>>);

impl PeerSocket {
    /// Sets the socket; a second call has no effect.
    pub fn set(&self, socket: Arc<UdpSocket>) {
        if self.0.set(socket).is_err() {
            info!("the socket for datagrams is already set");
        }
    }

    /// Sends a datagram, which the network or a saturated link may drop: important content is sent again.
    pub async fn send(&self, bytes: &[u8], to: SocketAddr) {
        if let Some(socket) = self.0.get() {
            drop(socket.send_to(bytes, to).await);
        }
    }

    /// Sends a datagram without waiting for room in the socket's buffer.
    pub fn try_send(&self, bytes: &[u8], to: SocketAddr) {
        if let Some(socket) = self.0.get()
            && let Err(error) = socket.try_send_to(bytes, to)
        {
            debug!(%to, %error, "a datagram was not sent");
        }
    }
}
