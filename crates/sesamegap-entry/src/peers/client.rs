//! Periodic probes of peers, and broadcasts of this process's own state.

use super::datagrams::{Datagram, encode_limits};
use super::error::PeerError;
use super::message::{Hello, HelloReply, apply_state, named_weights};
use super::relay::broadcast;
use super::server::MAX_MESSAGE_BYTES;
use crate::catalogue::Quotas;
use crate::clock;
use crate::core::{Core, Phase};
use crate::follow::{self, DocumentQuestion, DocumentReply, PullReply, PullRequest};
use crate::ports::Table;
use crate::telemetry::events;
use futures_util::future::join_all;
use http::StatusCode;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sesamegap_http::read_body;
use sesamegap_policy::agreement::membership::{MemberUpdate, Probe, Status};
use sesamegap_policy::routing::dissemination::MAX_DIRECT;
use sesamegap_policy::routing::upstream_limits;
use smol_str::ToSmolStr;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

/// Time between probes. A peer detects a dead VM within about this time, and each VM sends one probe per interval
/// however many VMs there are.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for a peer's reply, about a hundred times the latency within a region.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);

/// Timeout of a request for a peer's copy of a whole table, some times what a small VM's link needs.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest wait at startup for the store's list of entry VMs.
const LIST_TIMEOUT: Duration = Duration::from_millis(100);

/// Most listed VMs that are contacted at startup.
const MAX_LISTED: usize = 8;

/// Most VMs of a long list that are contacted at startup: enough to find one that is alive. With more, every VM of a
/// fleet that restarts would receive that many documents at once.
const MAX_OF_LONG_LIST: usize = 3;

/// Delay after which a process announces its start.
const ANNOUNCE_DELAY: Range<Duration> = Duration::from_millis(300)..Duration::from_secs(1);

/// Delays of the copies of what peers know of all VMs: peers that started at the same time know more by then, and the last
/// comes before a listed VM that nobody heard is taken for dead.
const COPY_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(1_200),
    Duration::from_millis(1_200),
];

/// Peers that are asked for such a copy.
const COPY_TRIES: usize = 2;

/// How often a VM's update on itself is spread by relays, each time by other ones.
const MEMBER_SENDS: usize = 2;

/// Reply from which its size is logged, in bytes; the reply to a probe is far smaller.
const LARGE_REPLY_BYTES: usize = 4_096;

/// Builds the HTTP client for all peers.
///
/// # Panics
/// Never: building a client without TLS and proxy cannot fail.
pub fn build() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(PROBE_TIMEOUT)
        .pool_idle_timeout(Duration::from_secs(20))
        .tcp_nodelay(true)
        .build()
        .expect("building a client without TLS and proxy cannot fail")
}

/// Probes peers until the process ends.
pub async fn run_probes(core: Arc<Core>) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(clock::now().0);
    tokio::spawn(follow::fetch_documents(Arc::clone(&core)));
    contact_first(&core).await;
    tokio::spawn(announce(Arc::clone(&core)));
    tokio::spawn(copy_members(Arc::clone(&core)));
    let mut was_cut_off = false;
    while core.phase() < Phase::Exiting {
        let vms = core.peers.count();
        core.store.set_vms(vms);
        if vms == 1 {
            contact_seeds(&core).await;
        }
        let is_cut_off = core.peers.is_cut_off();
        let is_alarm = core.peers.lock().take_alarm();
        if (was_cut_off && !is_cut_off) || is_alarm {
            tokio::spawn(copy_members(Arc::clone(&core)));
        }
        was_cut_off = is_cut_off;
        answer_suspicions(&core);
        for probe in core.peers.tick(&mut rng) {
            tokio::spawn(run_probe(Arc::clone(&core), probe));
        }
        let jitter = rng.random_range(0.9..1.1);
        sleep(PROBE_INTERVAL.mul_f64(jitter)).await;
    }
}

async fn run_probe(core: Arc<Core>, probe: Probe) {
    let began = clock::now();
    let limit = core.peers.lock_probing().timeout(PROBE_TIMEOUT);
    if let Err(error) = send_hello_within(&core, probe.addr, probe.updates, limit).await {
        let is_failed = error != PeerError::Late
            || core
                .peers
                .lock_probing()
                .record_late(&probe.addr.ip(), began);
        warn!(event = events::PEER, peer = %probe.target, %error, limit_ms = clock::millis(limit), is_failed, "no answer to a probe");
        if is_failed {
            core.peers.record_failed_probe(&probe.target);
        }
        return;
    }
    core.peers.lock_probing().record_answer();
    // A peer that took this VM for failed tells all others once it hears from it directly.
    if answer_suspicions(&core)
        && let Err(error) = send_hello(&core, probe.addr, Vec::new()).await
    {
        info!(event = events::PEER, peer = %probe.target, %error, "a peer was not told that this VM is alive");
    }
}

/// Tells all peers that this process is alive, if some took it for suspect or dead. Its entry may have been removed from the
/// store's list in the latter case.
///
/// Returns whether some did.
pub(super) fn answer_suspicions(core: &Core) -> bool {
    let refuted = core.peers.lock().take_refutation();
    if refuted.is_some() {
        core.peers.outbox.put_member(core.peers.local_update());
    }
    if refuted == Some(Status::Dead) {
        core.peers.list_doubted.notify_one();
    }
    refuted.is_some()
}

/// Copies what peers know of all VMs: for a process that has just begun or was cut off, and after many peers failed, since
/// updates on some may have been lost. By itself it would find out one probe after another.
async fn copy_members(core: Arc<Core>) {
    for delay in COPY_DELAYS {
        sleep(delay).await;
        request_limits(&core);
        for _ in 0..COPY_TRIES {
            if copy_members_once(&core).await {
                break;
            }
        }
    }
}

/// Asks a peer for the limits of upstreams that it knows; a VM that does not learn of one gets it with an answer.
fn request_limits(core: &Core) {
    let peer = core
        .peers
        .datagram_addrs()
        .choose(&mut rand::rng())
        .copied();
    if let Some(peer) = peer
        && let Some(bytes) = encode_limits(&upstream_limits::Message::Copy)
    {
        core.peers.socket.try_send(&bytes, peer);
    }
}

/// Copies what one peer knows of all VMs; returns whether it answered.
async fn copy_members_once(core: &Core) -> bool {
    let Some(peer) = core.peers.random_confirmed() else {
        return false;
    };
    let request = PullRequest {
        table: Table::Vms,
        since: None,
        revision: core.revision(),
    };
    match pull(core, peer, &request).await {
        Ok(PullReply::Members(members)) => core.peers.import(&members),
        // A peer of an earlier release does not send what it knows.
        Ok(_) => return false,
        Err(error) => {
            info!(event = events::PEER, %peer, %error, "a peer does not send what it knows of the entry VMs");
            return false;
        }
    }
    true
}

/// Tells all peers that this process has started. Gossip takes half a minute to bring the news of 985 processes that start
/// together to all of them.
async fn announce(core: Arc<Core>) {
    // In a large fleet, hundreds of VMs that start together send to all others; copies bring what was lost.
    let is_large = core.peers.datagram_addrs().len() > MAX_DIRECT;
    let sends = if is_large { 1 } else { MEMBER_SENDS };
    for _ in 0..sends {
        // Peers that start at the same time receive datagrams by then.
        let delay = rand::rng().random_range(ANNOUNCE_DELAY);
        sleep(delay).await;
        spread_own_update(&core).await;
    }
}

async fn spread_own_update(core: &Core) {
    let domain = core.settings().domain.clone();
    broadcast(
        core,
        Datagram::Member(core.peers.local_update(), Some(domain)),
    )
    .await;
}

/// Contacts the VMs named in the settings, through which a new VM joins.
async fn contact_seeds(core: &Core) {
    let settings = core.settings();
    let me = settings.listen.peers;
    let seeds = settings.seeds.iter().filter(|seed| **seed != me);
    contact_all(core, seeds.copied()).await;
}

/// Contacts the first peers: those named in the settings, and some that the store lists, because all of the former may
/// be down.
///
/// The VMs of a long list are contacted at random, and those named in the settings only if none of them responds:
/// otherwise all VMs of a fleet that restarts would contact the same three.
async fn contact_first(core: &Arc<Core>) {
    let (listed, is_long) = wait_for_listed(core).await;
    if is_long {
        contact_all(core, listed.into_iter()).await;
        if !*core.peers.peer_state_applied.borrow() {
            contact_seeds(core).await;
        }
        return;
    }
    tokio::join!(contact_seeds(core), contact_all(core, listed.into_iter()));
}

/// Waits for the store's list for a short time; returns some VMs of it, and whether it is long.
async fn wait_for_listed(core: &Core) -> (Vec<SocketAddr>, bool) {
    let deadline = clock::now() + LIST_TIMEOUT;
    while core.peers.lock().seed_addrs().next().is_none() && clock::now() < deadline {
        sleep(LIST_TIMEOUT / 20).await;
    }
    let listed: Vec<SocketAddr> = core.peers.lock().seed_addrs().collect();
    let is_long = listed.len() > super::MAX_CONTACTED;
    let count = if is_long {
        MAX_OF_LONG_LIST
    } else {
        MAX_LISTED
    };
    let chosen = listed.sample(&mut rand::rng(), count).copied().collect();
    (chosen, is_long)
}

async fn contact_all(core: &Core, addrs: impl Iterator<Item = SocketAddr>) {
    let contacts = addrs.map(|addr| async move {
        match send_hello(core, addr, Vec::new()).await {
            Ok(()) => {
                core.peers.peer_state_applied.send_replace(true);
            }
            Err(error) => {
                info!(
                    event = events::PEER,
                    %error, "a VM contacted at startup did not respond"
                );
            }
        }
    });
    join_all(contacts).await;
}

/// Sends this process's own state to all peers, for example before shutdown.
///
/// In a large fleet, relays spread it in datagrams: hundreds of calls would occupy a small VM for most of its shutdown.
pub async fn broadcast_state(core: &Core) {
    if core.peers.datagram_addrs().len() > MAX_DIRECT {
        for _ in 0..MEMBER_SENDS {
            spread_own_update(core).await;
        }
        return;
    }
    let peers = core.peers.addrs_by_status().alive;
    let sends = peers
        .into_iter()
        .map(|peer| send_hello(core, peer, Vec::new()));
    for outcome in join_all(sends).await {
        if let Err(error) = outcome {
            info!(
                event = events::PEER,
                %error, "a peer did not receive this process's state"
            );
        }
    }
}

async fn send_hello(
    core: &Core,
    addr: SocketAddr,
    updates: Vec<MemberUpdate>,
) -> Result<(), PeerError> {
    send_hello_within(core, addr, updates, PROBE_TIMEOUT).await
}

async fn send_hello_within(
    core: &Core,
    addr: SocketAddr,
    updates: Vec<MemberUpdate>,
    limit: Duration,
) -> Result<(), PeerError> {
    let hello = Hello {
        me: core.peers.local_update(),
        updates,
        revision: core.revision(),
        weights: named_weights(core),
    };
    let (mut reply, quotas): (HelloReply, Option<Quotas>) =
        post(core, addr, "hello", &hello, limit).await?;
    if let (Some(document), Some(quotas)) = (&mut reply.document, quotas) {
        document.set_quotas(quotas);
    }
    let now = clock::now();
    let source = reply.me.who.vm.to_smolstr();
    let is_back = {
        let mut members = core.peers.lock();
        let is_back = members.apply_update(&reply.me, now);
        members.apply_updates(&reply.updates, now);
        is_back
    };
    if is_back {
        core.peers.outbox.put_member(reply.me.clone());
    }
    core.record_revision(reply.revision);
    apply_state(core, reply.document, &reply.weights, &source);
    Ok(())
}

/// Asks a peer for its copy of a table.
///
/// # Errors
/// If the peer does not reply in time, or its release knows no such request.
pub async fn pull(
    core: &Core,
    addr: SocketAddr,
    request: &PullRequest,
) -> Result<PullReply, PeerError> {
    let limit = match request.table {
        Table::Vms => PROBE_TIMEOUT,
        Table::Settings | Table::Fleet | Table::Quarantine | Table::Versions => COPY_TIMEOUT,
    };
    let (reply, _): (PullReply, Option<()>) = post(core, addr, "table", request, limit).await?;
    Ok(reply)
}

/// Asks a peer about its document.
///
/// # Errors
/// If the peer does not reply in time, or its release knows no such request.
pub async fn ask_document(
    core: &Core,
    addr: SocketAddr,
    question: &DocumentQuestion,
) -> Result<DocumentReply, PeerError> {
    let (reply, _): (DocumentReply, Option<()>) =
        post(core, addr, "document", question, COPY_TIMEOUT).await?;
    Ok(reply)
}

/// Sends a message; returns the reply and what follows it, if the peer's release sends that.
async fn post<Q: Serialize, A: DeserializeOwned, B: DeserializeOwned>(
    core: &Core,
    addr: SocketAddr,
    name: &str,
    message: &Q,
    limit: Duration,
) -> Result<(A, Option<B>), PeerError> {
    let body = rmp_serde::to_vec(message).map_err(PeerError::failed)?;
    let sent = core
        .peers
        .client
        .post(format!("http://{addr}/peers/{name}"))
        .body(body)
        .send();
    let began = clock::now();
    let answer = timeout(limit, sent).await.map_err(|_| PeerError::Late)?;
    let answer = answer.map_err(|error| {
        if error.is_timeout() {
            PeerError::Late
        } else {
            PeerError::failed(error)
        }
    })?;
    core.peers.record_heard(addr.ip());
    match answer.status() {
        status if status.is_success() => {}
        StatusCode::NOT_FOUND => return Err(PeerError::Unknown),
        status => return Err(PeerError::Failed(format!("{addr} answered {status}"))),
    }
    // An answer that is arriving is not given up: over a thin link the next one would take as long.
    let bytes = read_body(answer, MAX_MESSAGE_BYTES, limit)
        .await
        .map_err(PeerError::failed)?;
    if bytes.len() >= LARGE_REPLY_BYTES {
        info!(event = events::LARGE_REPLY, peer = %addr, call = name, bytes = bytes.len(), took_ms = clock::millis(clock::now().since(began)), "large answer of a peer");
    }
    let mut rest = bytes.as_ref();
    let reply = rmp_serde::from_read(&mut rest).map_err(PeerError::failed)?;
    let following = if rest.is_empty() {
        None
    } else {
        Some(rmp_serde::from_read(&mut rest).map_err(PeerError::failed)?)
    };
    Ok((reply, following))
}
