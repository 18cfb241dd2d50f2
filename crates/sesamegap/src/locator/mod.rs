//! Tells callers which addresses to use.
//!
//! No balancer stands before the routers: a caller asks the locator of any entry VM, keeps the
//! answer for its time to live, and connects directly. [`follow`] reads the VM list and asks a
//! bounded number of routers each round whether they serve; [`choice`] picks a few of them, the
//! caller's own failure domain first; [`http`] answers. A locator keeps nothing and agrees with
//! nobody: each answers from what it sees itself, so any one of them is as good as another.

pub mod choice;
pub mod follow;
pub mod http;
pub mod state;

pub use choice::{Candidate, choose};
pub use state::Seen;

use crate::config::ProcessConfig;
use anyhow::Context;
use poem::Server;
use poem::listener::TcpAcceptor;
use sesamegap_platform::VmList;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Time for the last bytes to reach callers at a stop.
const FLUSH: Duration = Duration::from_secs(1);

/// A locator that serves.
#[derive(Debug)]
pub struct Running {
    addr: SocketAddr,
    seen: Arc<Seen>,
    close: CancellationToken,
    server: JoinHandle<std::io::Result<()>>,
    followers: Vec<JoinHandle<()>>,
}

/// Starts a locator.
///
/// # Errors
/// If its address cannot be bound.
pub async fn start(config: ProcessConfig, vms: Arc<dyn VmList>) -> anyhow::Result<Running> {
    let listen = config.listen;
    let listener = TcpListener::bind(listen)
        .await
        .with_context(|| format!("cannot listen on {listen}"))?;
    let addr = listener.local_addr()?;
    let seen = Arc::new(Seen::new(config.vm.clone(), config.domain.clone()));
    let prober = follow::Prober::new(&config, Arc::clone(&seen))?;
    // One whole round before the port answers: a locator that has just started would otherwise
    // tell its first callers that nobody serves.
    follow::read_list(vms.as_ref(), &seen).await;
    prober.round().await;
    let close = CancellationToken::new();
    let app = http::routes(Arc::clone(&seen), config.timing.address);
    let server = Server::new_with_acceptor(TcpAcceptor::from_tokio(listener)?);
    let closed = close.clone().cancelled_owned();
    let server = tokio::spawn(async move {
        server
            .run_with_graceful_shutdown(app, closed, Some(FLUSH))
            .await
    });
    let followers = vec![
        tokio::spawn(follow::list(vms, Arc::clone(&seen), config.timing.list)),
        tokio::spawn(prober.run(config.timing.gossip)),
    ];
    Ok(Running {
        addr,
        seen,
        close,
        server,
        followers,
    })
}

impl Running {
    /// Where the locator listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// What the locator knows, for tests.
    pub fn seen(&self) -> &Seen {
        &self.seen
    }

    /// Stops; callers ask another locator.
    pub async fn stop(self) {
        self.close.cancel();
        drop(self.server.await);
        for follower in self.followers {
            follower.abort();
        }
    }
}
