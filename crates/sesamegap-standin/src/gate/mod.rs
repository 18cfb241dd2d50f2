//! The door through which all connections to a stand-in pass.
//!
//! A real failure often lies below HTTP: a host dies, or a box between two ends forgets a
//! connection. The gate brings these about. A *cut* connection fails at once. A *mute* one stays
//! open and carries nothing in either direction any longer, while new ones work. A gate that is
//! *down* has no listening socket, so that connecting fails.

mod io;

pub use io::Wire;

use io::Line;
use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use std::io::Result as IoResult;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Between two tries to listen again on a port that something else holds for the moment.
const REBIND: Duration = Duration::from_millis(10);

/// Mute sockets kept open; beyond this the oldest is closed, lest a long run exhaust descriptors.
const MUTE_KEPT: usize = 512;

#[derive(Debug)]
struct Shared {
    addr: SocketAddr,
    lines: Mutex<Vec<Weak<Line>>>,
    mute: Mutex<Vec<TcpStream>>,
    down: watch::Sender<bool>,
}

/// Control over the connections of one stand-in.
#[derive(Debug, Clone)]
pub struct Gate(Arc<Shared>);

impl Gate {
    /// Listens on an address; port 0 is any free one.
    ///
    /// # Errors
    /// If the address cannot be listened on.
    pub async fn open(addr: SocketAddr) -> IoResult<(Self, GateAcceptor)> {
        let listener = TcpListener::bind(addr).await?;
        let shared = Arc::new(Shared {
            addr: listener.local_addr()?,
            lines: Mutex::new(Vec::new()),
            mute: Mutex::new(Vec::new()),
            down: watch::Sender::new(false),
        });
        let acceptor = GateAcceptor {
            listener: Some(listener),
            down: shared.down.subscribe(),
            shared: Arc::clone(&shared),
        };
        Ok((Self(shared), acceptor))
    }

    /// Where the stand-in listens.
    pub fn addr(&self) -> SocketAddr {
        self.0.addr
    }

    /// Breaks all open connections.
    pub fn cut(&self) {
        for line in self.lines() {
            line.cut();
        }
    }

    /// Breaks the connection from one address.
    pub fn cut_from(&self, peer: SocketAddr) {
        for line in self.lines() {
            if line.peer() == peer {
                line.cut();
            }
        }
    }

    /// Makes the connection from one address mute for good.
    pub fn silence_from(&self, peer: SocketAddr) {
        for line in self.lines() {
            if line.peer() == peer {
                line.silence();
            }
        }
    }

    /// Sends bytes behind all that the connection from one address is to carry now.
    pub fn append(&self, peer: SocketAddr, bytes: &[u8]) {
        for line in self.lines() {
            if line.peer() == peer {
                line.append(bytes);
            }
        }
    }

    /// Makes all open connections mute for good, and returns how many there were.
    pub fn silence(&self) -> usize {
        let lines = self.lines();
        for line in &lines {
            line.silence();
        }
        lines.len()
    }

    /// Closes the listening socket and breaks all connections, or listens again.
    pub fn set_down(&self, down: bool) {
        self.0.down.send_replace(down);
        if down {
            self.cut();
        }
    }

    /// Whether the gate is down.
    pub fn is_down(&self) -> bool {
        *self.0.down.borrow()
    }

    fn lines(&self) -> Vec<Arc<Line>> {
        let lines = self.0.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().filter_map(Weak::upgrade).collect()
    }
}

impl Shared {
    fn admit(self: &Arc<Self>, tcp: TcpStream, peer: SocketAddr) -> Wire {
        let line = Arc::new(Line::new(peer));
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.retain(|line| line.strong_count() > 0);
        lines.push(Arc::downgrade(&line));
        Wire::new(tcp, line, Arc::clone(self))
    }

    /// Keeps a mute socket open after its server side is done with it.
    fn keep(&self, tcp: TcpStream) {
        let mut mute = self.mute.lock().unwrap_or_else(PoisonError::into_inner);
        if mute.len() >= MUTE_KEPT {
            mute.remove(0);
        }
        mute.push(tcp);
    }
}

/// Accepts connections while the gate is not down.
#[derive(Debug)]
pub struct GateAcceptor {
    listener: Option<TcpListener>,
    down: watch::Receiver<bool>,
    shared: Arc<Shared>,
}

impl GateAcceptor {
    async fn listen(&mut self) -> IoResult<()> {
        // An error would mean that the gate is gone, and then nobody can take it down any more.
        drop(self.down.wait_for(|down| !down).await);
        while self.listener.is_none() {
            match TcpListener::bind(self.shared.addr).await {
                Ok(listener) => self.listener = Some(listener),
                Err(_) => sleep(REBIND).await,
            }
        }
        Ok(())
    }
}

impl Acceptor for GateAcceptor {
    type Io = Wire;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.shared.addr.into())]
    }

    async fn accept(&mut self) -> IoResult<(Wire, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            if *self.down.borrow_and_update() {
                self.listener = None;
            }
            self.listen().await?;
            let Some(listener) = &self.listener else {
                continue;
            };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted?,
                Ok(()) = self.down.changed() => continue,
            };
            let (tcp, peer) = accepted;
            tcp.set_nodelay(true)?;
            let local = LocalAddr(self.shared.addr.into());
            let wire = self.shared.admit(tcp, peer);
            return Ok((wire, local, RemoteAddr(peer.into()), Scheme::HTTP));
        }
    }
}
