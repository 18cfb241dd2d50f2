//! Which VMs the locator names to callers.

use crate::support::{Platform, add_peer, settings};
use sesamegap_entry::core::{Core, Phase};
use sesamegap_entry::locator;
use sesamegap_entry::telemetry::Logging;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// Number of VMs on the store's list, more than a process contacts at its start.
const LISTED: u8 = 40;

fn peer_addr(no: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 40, no], 9_000))
}

/// An entry VM that has just begun and has read the list.
fn beginning_vm() -> Core {
    let platform = Arc::new(Platform::default());
    let core = Core::new(
        settings("vm-1", Vec::new()),
        platform.ports(),
        Logging::disabled(),
    );
    let core = core.unwrap();
    let list = (0..LISTED).map(|no| (format!("listed-{no}").parse().unwrap(), peer_addr(no)));
    core.peers.seed_members(list.collect());
    core
}

fn named(core: &Core) -> Vec<IpAddr> {
    let (addrs, _) = locator::answer(core);
    addrs.into_iter().map(|addr| addr.ip()).collect()
}

/// Guards against callers that are sent to VMs which left long ago: their entries stay on the list, and a process that
/// has just begun takes every listed VM for alive.
#[tokio::test]
async fn a_listed_vm_that_nobody_heard_is_not_named() {
    let core = beginning_vm();
    let own = core.settings().listen.callers.ip();
    assert_eq!(named(&core), [own]);
    add_peer(&core, "listed-7", peer_addr(7));
    assert_eq!(named(&core), [peer_addr(7).ip()]);
}

/// Guards against callers that get no address from a VM that stops, if it has heard no other one.
#[tokio::test]
async fn a_vm_that_stops_names_listed_ones_rather_than_none() {
    let core = beginning_vm();
    core.advance_phase(Phase::Leaving);
    assert_eq!(named(&core).len(), usize::from(LISTED));
}
