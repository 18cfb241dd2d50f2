//! An upstream that crashes when it runs a marked request, and restarts after a delay.

use super::upstream::{header, read};
use super::{Vm, entry, offset};
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_wire::UpstreamId;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// A request whose body contains this crashes the upstream that runs it.
pub const CRASH_MARK: &str = "crash";

/// A request whose body contains this gets an answer with neither a length nor chunks.
pub const UNFRAMED_MARK: &str = "unframed";

/// A request whose body contains this crashes the upstream between two events of its answer.
pub const MIDWAY_MARK: &str = "midway";

/// Time before the first byte of an answer, and between two events.
const STEP: Duration = Duration::from_millis(10);

/// Events in an answer.
const EVENTS: u64 = 4;

/// Counts of an upstream.
#[derive(Debug, Default)]
pub struct Counts {
    /// Marked requests that it received.
    pub marked: usize,
    /// Number of crashes.
    pub crashes: usize,
}

/// An upstream that crashes and restarts at the same address.
#[derive(Debug, Clone)]
pub struct CrashingUpstream {
    pub addr: SocketAddr,
    counts: Arc<Mutex<Counts>>,
    crash: Arc<Notify>,
}

impl CrashingUpstream {
    /// Starts the upstream; after each crash it is down for `down`.
    ///
    /// `on_start` is called at each start with the number of crashes so far.
    pub async fn start(down: Duration, on_start: impl Fn(usize) + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Self {
            addr: listener.local_addr().unwrap(),
            counts: Arc::default(),
            crash: Arc::default(),
        };
        on_start(0);
        tokio::spawn(upstream.clone().run(listener, down, on_start));
        upstream
    }

    pub fn counts(&self) -> std::sync::MutexGuard<'_, Counts> {
        self.counts.lock().unwrap()
    }

    /// Crashes the upstream independently of any request.
    pub fn crash(&self) {
        self.crash.notify_one();
    }

    async fn run(
        self,
        mut listener: TcpListener,
        down: Duration,
        on_start: impl Fn(usize) + Send + 'static,
    ) {
        loop {
            self.serve(&listener).await;
            let crashes = {
                let mut counts = self.counts();
                counts.crashes += 1;
                counts.crashes
            };
            // Without downtime the listening socket stays open, as if a supervisor passed it to the
            // next start.
            if !down.is_zero() {
                drop(listener);
                sleep(down).await;
                listener = self.listen().await;
            }
            on_start(crashes);
        }
    }

    /// Serves until the next crash, which closes all connections at once.
    async fn serve(&self, listener: &TcpListener) {
        let mut requests = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    requests.spawn(self.clone().answer(stream));
                },
                () = self.crash.notified() => return,
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
            self.crash.notify_one();
            std::future::pending::<()>().await;
        }
        let id = header(&request, "x-id").unwrap_or_default();
        let is_framed = !request.contains(UNFRAMED_MARK);
        let framing = if is_framed {
            "transfer-encoding: chunked\r\n"
        } else {
            ""
        };
        let head = format!("HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: s\r\n{framing}\r\n");
        drop(stream.write_all(head.as_bytes()).await);
        for no in 0..EVENTS {
            if no == EVENTS / 2 && request.contains(MIDWAY_MARK) {
                self.crash.notify_one();
                std::future::pending::<()>().await;
            }
            let mut event = format!("id: {no}\ndata: t\n\n");
            if is_framed {
                event = format!("{:x}\r\n{event}\r\n", event.len());
            }
            drop(stream.write_all(event.as_bytes()).await);
            sleep(STEP).await;
        }
        if is_framed {
            drop(stream.write_all(b"0\r\n\r\n").await);
        }
    }
}

/// Starts engines that all VMs list; each start of an engine gets a new id.
pub async fn crashing_engines(vms: &[Vm], count: usize, down: Duration) -> Vec<CrashingUpstream> {
    let position = Arc::new(AtomicU64::new(0));
    let mut all = Vec::new();
    for no in 0..count {
        let cores: Vec<Arc<Core>> = vms.iter().map(|vm| Arc::clone(&vm.core)).collect();
        let position = Arc::clone(&position);
        let addr = Arc::new(OnceLock::<SocketAddr>::new());
        let own = Arc::clone(&addr);
        let list = move |start: usize| {
            let Some(addr) = own.get() else { return };
            let id = |start: usize| format!("e{no}-{start}").parse::<UpstreamId>().unwrap();
            for core in &cores {
                let mut fleet = core.fleet.lock();
                let at = || offset(position.fetch_add(1, Ordering::Relaxed));
                if start > 0 {
                    fleet.remove(&id(start - 1), at(), clock::now());
                }
                fleet.apply(&id(start), entry("engines", *addr), at(), clock::now());
            }
        };
        let first = list.clone();
        let engine = CrashingUpstream::start(down, list).await;
        addr.set(engine.addr).unwrap();
        first(0);
        all.push(engine);
    }
    all
}

/// Marked requests that these engines have received.
pub fn marked(engines: &[CrashingUpstream]) -> usize {
    engines.iter().map(|engine| engine.counts().marked).sum()
}
