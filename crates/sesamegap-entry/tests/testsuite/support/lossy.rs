//! A network path for datagrams that loses some of them.

use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Longest datagram between entry VMs, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_500;

/// Passes the datagrams that arrive at an address on to another one, but only one of each `pass_one_in`.
pub async fn lossy_path(at: SocketAddr, to: SocketAddr, pass_one_in: usize) {
    let socket = UdpSocket::bind(at).await.unwrap();
    tokio::spawn(async move {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        for no in 0_usize.. {
            let (length, _) = socket.recv_from(&mut buffer).await.unwrap();
            if no.is_multiple_of(pass_one_in) {
                socket.send_to(&buffer[..length], to).await.unwrap();
            }
        }
    });
}
