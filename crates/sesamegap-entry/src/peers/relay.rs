//! Events for all peers, in large fleets by way of relays.
//!
//! The sender divides the peers into groups and sends each event to one peer of each group, with the addresses of the
//! others ([`relayed_groups`]). The peers of a group are in one failure domain as far as possible, so that an event crosses
//! to another domain once per group. Groups are drawn anew for each event, so that a relay that is down costs a VM one
//! event and not all of them. What a VM missed it gets from the sender of the next event.
//!
//! A reading of the store may be longer than a datagram by far: when a release replaces most upstreams, or a failure domain
//! comes back. It is sent in parts, along a path that the VM's link can bear, and paced so that the link's queue does not drop
//! the last parts. Peers that miss some ask for them, which takes the same link again.

use super::datagrams::{Datagram, MAX_DATAGRAM_BYTES, handle};
use crate::clock;
use crate::core::{Core, Phase};
use crate::follow::{TablePart, TableReading};
use crate::quarantine;
use rand::seq::{IndexedRandom, SliceRandom};
use serde::{Deserialize, Serialize};
use sesamegap_policy::resumption;
use sesamegap_policy::routing::dissemination::{MAX_DIRECT, Path, pace, relayed_groups};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Bytes that an address takes in a datagram.
const ADDR_BYTES: usize = 5;

/// Bytes of the origin and of the encoding around an event.
const FRAME_BYTES: usize = 32;

/// How often the task checks whether the process ends.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// An event with the VMs to which its receiver relays it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Relayed {
    /// IPv4 address of the VM that sent the event first.
    origin: u32,
    /// IPv4 addresses of the VMs to relay it to.
    targets: Vec<u32>,
    event: Box<Datagram>,
}

/// An event that its receiver sends to all VMs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Delegated {
    /// IPv4 address of the VM that sent the event first.
    origin: u32,
    event: Box<Datagram>,
}

/// Sends an event to all peers that are alive, in large fleets by way of relays; returns the bytes sent.
pub(super) async fn broadcast(core: &Core, event: Datagram) -> usize {
    let is_relayed = core.peers.datagram_addrs().len() > MAX_DIRECT;
    let origin = ipv4(core.settings().listen.peers.ip());
    send_to_all(core, event, origin.filter(|_| is_relayed)).await
}

/// Sends an event to each peer that is alive; returns the bytes sent.
pub(super) async fn broadcast_directly(core: &Core, event: Datagram) -> usize {
    send_to_all(core, event, None).await
}

/// Sends an event to all peers that are alive by way of relays, however few they are; returns the bytes sent.
pub(super) async fn broadcast_by_relays(core: &Core, event: Datagram) -> usize {
    let origin = ipv4(core.settings().listen.peers.ip());
    send_to_all(core, event, origin).await
}

/// Lets a peer that is alive send an event to all others; returns the bytes sent.
pub(super) async fn delegate(core: &Core, event: Datagram) -> usize {
    let peers = core.peers.datagram_addrs();
    let Some(delegate) = peers.choose(&mut rand::rng()).copied() else {
        return 0;
    };
    let Some(origin) = ipv4(core.settings().listen.peers.ip()) else {
        return broadcast_directly(core, event).await;
    };
    let delegated = Datagram::Delegated(Delegated {
        origin,
        event: Box::new(event),
    });
    let Some(bytes) = delegated.encode() else {
        return 0;
    };
    core.peers.socket.send(&bytes, delegate).await;
    bytes.len()
}

/// Sends an event to all VMs for the one that sent it first, and applies it.
pub(super) async fn send_for(core: &Arc<Core>, delegated: Delegated) {
    let event = *delegated.event;
    send_to_all(core, event.clone(), Some(delegated.origin)).await;
    handle(core, event, datagram_addr(core, delegated.origin)).await;
}

/// Sends an event to all peers that are alive, by way of relays if its origin is given; returns the bytes sent.
async fn send_to_all(core: &Core, event: Datagram, origin: Option<u32>) -> usize {
    let Some(bytes) = event.encode() else {
        return 0;
    };
    let mut sent = 0;
    let mut peers = core.peers.datagram_addrs();
    peers.shuffle(&mut rand::rng());
    core.peers.sort_by_domain(&mut peers);
    let room = MAX_DATAGRAM_BYTES.saturating_sub(bytes.len() + FRAME_BYTES);
    let capacity = if origin.is_some() {
        room / ADDR_BYTES
    } else {
        0
    };
    for group in relayed_groups(&peers, capacity) {
        let Some((first, others)) = group.split_first() else {
            continue;
        };
        let targets: Option<Vec<u32>> = others.iter().map(|addr| ipv4(addr.ip())).collect();
        match (origin, targets) {
            (Some(origin), Some(targets)) if !targets.is_empty() => {
                let relayed = Datagram::Relayed(Relayed {
                    origin,
                    targets,
                    event: Box::new(event.clone()),
                });
                if let Some(bytes) = relayed.encode() {
                    sent += bytes.len();
                    core.peers.socket.send(&bytes, *first).await;
                }
            }
            // Addresses of another family cannot be relayed.
            _ => {
                for addr in group {
                    sent += bytes.len();
                    core.peers.socket.send(&bytes, *addr).await;
                }
            }
        }
    }
    sent
}

/// Relays an event and applies it.
pub(super) async fn relay(core: &Arc<Core>, relayed: Relayed) {
    if let Some(bytes) = relayed.event.encode() {
        for target in &relayed.targets {
            core.peers
                .socket
                .send(&bytes, datagram_addr(core, *target))
                .await;
        }
    }
    let origin = datagram_addr(core, relayed.origin);
    handle(core, *relayed.event, origin).await;
}

/// Sends quarantine records to all peers.
pub async fn broadcast_quarantine(core: &Core, message: quarantine::Message) {
    broadcast(core, Datagram::Quarantine(message)).await;
}

/// Sends a message about upstreams that may have restarted to all peers.
pub async fn broadcast_resumption(core: &Core, message: resumption::Message) {
    broadcast(core, Datagram::Resumption(message)).await;
}

fn ipv4(ip: IpAddr) -> Option<u32> {
    match ip {
        IpAddr::V4(ip) => Some(ip.to_bits()),
        IpAddr::V6(_) => None,
    }
}

fn datagram_addr(core: &Core, ip: u32) -> SocketAddr {
    let port = core.settings().listen.loads.port();
    SocketAddr::new(Ipv4Addr::from_bits(ip).into(), port)
}

/// Sends readings until the process ends.
pub(super) async fn run_readings(core: Arc<Core>) {
    while core.phase() < Phase::Exiting {
        let readings = core.peers.outbox.readings();
        if readings.is_empty() {
            let queued = core.peers.outbox.reading_queued.notified();
            drop(timeout(CHECK_INTERVAL, queued).await);
        }
        for reading in readings {
            send_reading(&core, reading).await;
        }
    }
}

async fn send_reading(core: &Core, reading: TableReading) {
    let at = reading.at();
    let parts = reading.into_parts();
    let link_mbps = core.settings().link_mbps;
    let bytes = parts.iter().map(encoded_len).sum();
    let path = Path::choose(core.peers.datagram_addrs().len(), bytes, link_mbps);
    let is_long = parts.len() > 1;
    for part in parts {
        let event = Datagram::Part(part, clock::wire_millis(clock::now().since(at)));
        let sent = match path {
            Path::Direct => broadcast_directly(core, event).await,
            Path::Relays => broadcast_by_relays(core, event).await,
            Path::Delegates => delegate(core, event).await,
        };
        if is_long {
            sleep(pace(sent, link_mbps)).await;
        }
    }
}

fn encoded_len(part: &TablePart) -> usize {
    let datagram = Datagram::Part(part.clone(), 0);
    datagram.encode().map_or(0, |bytes| bytes.len())
}
