//! An upstream whose process ends under a marked request, and starts again after a while.

use super::upstream::{header, read};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// What a body contains that ends the upstream which runs it.
pub const CRASH_MARK: &str = "crash";

/// Time that a request runs before its first byte, and between two events.
const STEP: Duration = Duration::from_millis(10);

/// Events of an answer.
const EVENTS: u64 = 4;

/// Counts of one upstream.
#[derive(Debug, Default)]
pub struct Counts {
    /// Marked requests that reached it.
    pub marked: usize,
    /// Times that it ended.
    pub crashes: usize,
}

/// An upstream that ends and starts again at the same address.
#[derive(Debug, Clone)]
pub struct CrashingUpstream {
    pub addr: SocketAddr,
    counts: Arc<Mutex<Counts>>,
    ends: Arc<Notify>,
}

impl CrashingUpstream {
    /// Starts it; after each end it is down for a while, and `started` is called with the number of each start.
    pub async fn start(down: Duration, started: impl Fn(usize) + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mortal = Self {
            addr: listener.local_addr().unwrap(),
            counts: Arc::default(),
            ends: Arc::default(),
        };
        started(0);
        tokio::spawn(mortal.clone().live(listener, down, started));
        mortal
    }

    /// Its counts.
    pub fn counts(&self) -> std::sync::MutexGuard<'_, Counts> {
        self.counts.lock().unwrap()
    }

    /// Ends it now, by no request's fault.
    pub fn crash(&self) {
        self.ends.notify_one();
    }

    async fn live(
        self,
        mut listener: TcpListener,
        down: Duration,
        started: impl Fn(usize) + Send + 'static,
    ) {
        loop {
            self.serve(&listener).await;
            let times = {
                let mut counts = self.counts();
                counts.crashes += 1;
                counts.crashes
            };
            // Without a pause its supervisor holds the socket and hands it to the next start.
            if !down.is_zero() {
                drop(listener);
                sleep(down).await;
                listener = self.listen().await;
            }
            started(times);
        }
    }

    /// Serves until it ends, and closes all at once then.
    async fn serve(&self, listener: &TcpListener) {
        let mut requests = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    requests.spawn(self.clone().answer(stream));
                },
                () = self.ends.notified() => return,
            }
        }
    }

    async fn listen(&self) -> TcpListener {
        loop {
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_reuseaddr(true).unwrap();
            if socket.bind(self.addr).is_ok() {
                return socket.listen(128).unwrap();
            }
            sleep(STEP).await;
        }
    }

    async fn answer(self, mut stream: TcpStream) {
        let Some(request) = read(&mut stream).await else {
            return;
        };
        sleep(STEP).await;
        if request.contains(CRASH_MARK) {
            self.counts().marked += 1;
            self.ends.notify_one();
            std::future::pending::<()>().await;
        }
        let id = header(&request, "x-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        drop(stream.write_all(head.as_bytes()).await);
        for no in 0..EVENTS {
            let event = format!("id: {no}\ndata: t\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            drop(stream.write_all(chunk.as_bytes()).await);
            sleep(STEP).await;
        }
        drop(stream.write_all(b"0\r\n\r\n").await);
    }
}
