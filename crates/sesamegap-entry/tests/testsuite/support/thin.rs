//! A network path that carries a limited number of bytes a second towards the side that connects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, watch};

/// Bytes that are passed on at once: what a packet carries.
const PACKET_BYTES: usize = 1_400;

/// Shorter ones take longer than asked for.
const SHORTEST_SLEEP: Duration = Duration::from_millis(1);

/// What a path does, for the test that made it.
#[derive(Debug, Default)]
pub struct ThinPath {
    /// Bytes passed on towards the side that connects.
    carried: AtomicUsize,
    /// Reads of what the connecting side sends: a small request each.
    asked: AtomicUsize,
    is_closed: watch::Sender<bool>,
    /// All connections share the link.
    link: Mutex<()>,
}

impl ThinPath {
    /// Listens at an address and connects to another one for each connection.
    pub async fn open(at: SocketAddr, to: SocketAddr, bytes_per_s: f64) -> Arc<Self> {
        let listener = TcpListener::bind(at).await.unwrap();
        let path = Arc::new(Self::default());
        let shared = Arc::clone(&path);
        tokio::spawn(async move {
            let mut closed = shared.is_closed.subscribe();
            loop {
                let near = tokio::select! {
                    Ok((near, _)) = listener.accept() => near,
                    _ = closed.wait_for(|is_closed| *is_closed) => return,
                };
                let path = Arc::clone(&shared);
                tokio::spawn(async move { path.join(near, to, bytes_per_s).await });
            }
        });
        path
    }

    /// Bytes passed on so far.
    pub fn carried(&self) -> usize {
        self.carried.load(Ordering::Relaxed)
    }

    /// Ends all connections, and accepts none any more.
    pub fn close(&self) {
        self.is_closed.send_replace(true);
    }

    /// Small requests passed on so far.
    pub fn asked(&self) -> usize {
        self.asked.load(Ordering::Relaxed)
    }

    async fn join(&self, near: TcpStream, to: SocketAddr, bytes_per_s: f64) {
        let Ok(far) = TcpStream::connect(to).await else {
            return;
        };
        let (mut near_in, mut near_out) = near.into_split();
        let (mut far_in, mut far_out) = far.into_split();
        let asked = async {
            let mut buffer = vec![0; PACKET_BYTES];
            while let Ok(length @ 1..) = near_in.read(&mut buffer).await {
                self.asked.fetch_add(1, Ordering::Relaxed);
                if far_out.write_all(&buffer[..length]).await.is_err() {
                    return;
                }
            }
        };
        let answered = async {
            let mut buffer = vec![0; PACKET_BYTES];
            while let Ok(length @ 1..) = far_in.read(&mut buffer).await {
                let _turn = self.link.lock().await;
                let time = Duration::from_secs_f64(length as f64 / bytes_per_s);
                if time >= SHORTEST_SLEEP {
                    tokio::time::sleep(time).await;
                }
                self.carried.fetch_add(length, Ordering::Relaxed);
                if near_out.write_all(&buffer[..length]).await.is_err() {
                    return;
                }
            }
        };
        let mut closed = self.is_closed.subscribe();
        tokio::select! {
            _ = closed.wait_for(|is_closed| *is_closed) => {}
            () = asked => {}
            () = answered => {}
        }
    }
}
