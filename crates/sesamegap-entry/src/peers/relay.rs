//! Events for all peers, in large fleets by way of relays.
//!
//! The sender divides the peers into groups and sends each event to one peer of each group, with the addresses of the
//! others ([`relay_groups`]). The peers of a group are in one failure domain as far as possible, so that an event crosses
//! to another domain once per group. Groups are drawn anew for each event, so that a relay that is down costs a VM one
//! event and not all of them. What a VM missed it gets from the sender of the next event.

use super::datagrams::{Datagram, MAX_DATAGRAM_BYTES, handle};
use crate::core::Core;
use crate::quarantine;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use sesamegap_policy::resumption;
use sesamegap_policy::routing::dissemination::relay_groups;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// Bytes that an address takes in a datagram.
const ADDR_BYTES: usize = 5;

/// Bytes of the origin and of the encoding around an event.
const FRAME_BYTES: usize = 32;

/// An event with the VMs to which its receiver relays it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Relayed {
    /// IPv4 address of the VM that sent the event first.
    origin: u32,
    /// IPv4 addresses of the VMs to relay it to.
    targets: Vec<u32>,
    event: Box<Datagram>,
}

/// Sends an event to all peers that are alive.
pub(super) async fn broadcast(core: &Core, event: Datagram) {
    let Some(bytes) = event.encode() else {
        return;
    };
    let mut peers = core.peers.datagram_addrs();
    peers.shuffle(&mut rand::rng());
    core.peers.sort_by_domain(&mut peers);
    let room = MAX_DATAGRAM_BYTES.saturating_sub(bytes.len() + FRAME_BYTES);
    let me = ipv4(core.settings().listen.peers.ip());
    for group in relay_groups(&peers, room / ADDR_BYTES) {
        let Some((first, others)) = group.split_first() else {
            continue;
        };
        let targets: Option<Vec<u32>> = others.iter().map(|addr| ipv4(addr.ip())).collect();
        match (me, targets) {
            (Some(origin), Some(targets)) if !targets.is_empty() => {
                let relayed = Datagram::Relayed(Relayed {
                    origin,
                    targets,
                    event: Box::new(event.clone()),
                });
                if let Some(bytes) = relayed.encode() {
                    core.peers.socket.send(&bytes, *first).await;
                }
            }
            // Addresses of another family cannot be relayed.
            _ => {
                for addr in group {
                    core.peers.socket.send(&bytes, *addr).await;
                }
            }
        }
    }
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
