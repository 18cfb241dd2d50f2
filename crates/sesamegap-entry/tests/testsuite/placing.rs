//! Placing of prompts by the VM that owns the shard of their home.

use crate::support::{
    Platform, add_peer, document, entry, offset, settings, unused_addr, wait_until,
};
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::fleet::{Flight, PromptShape, Selection};
use sesamegap_entry::peers;
use sesamegap_entry::placing::choose;
use sesamegap_entry::telemetry::Logging;
use sesamegap_policy::routing::engines::{Prefix, Prompt};
use sesamegap_wire::{ServiceId, UpstreamId};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

const ENGINES: usize = 4;

/// Unreachable VMs that each VM knows: with them the fleet is too large to announce every prompt to
/// all VMs.
const UNREACHABLE_VMS: usize = 12;

/// An entry VM with engines at its own address; of its servers only the datagram exchange runs.
fn vm(name: &str, ip: &str, port: u16) -> Arc<Core> {
    let mut settings = settings(name, Vec::new());
    settings.listen.loads = SocketAddr::new(ip.parse().unwrap(), port);
    settings.listen.peers = settings.listen.loads;
    let platform = Arc::new(Platform::default());
    let core = Arc::new(Core::new(settings, platform.ports(), Logging::disabled()).unwrap());
    core.adopt(&Arc::new(document(1)), "test");
    for no in 0..ENGINES {
        let id: UpstreamId = format!("e{no}").parse().unwrap();
        let mut entry = entry("engines", "127.0.0.1:1".parse().unwrap());
        entry.beat = 1;
        core.fleet
            .lock()
            .apply(&id, entry, offset(no as u64), clock::now());
    }
    tokio::spawn(peers::run_datagrams(Arc::clone(&core)));
    core
}

/// Two VMs that know each other. Among peers that never answer, every prompt of the first is placed by the second or by
/// the first itself.
fn pair(last: u8) -> (Arc<Core>, Arc<Core>) {
    let port = unused_addr().port();
    let (one, two) = (format!("127.0.9.{last}"), format!("127.0.8.{last}"));
    let (asker, owner) = (vm("vm-asker", &one, port), vm("vm-owner", &two, port));
    for core in [&asker, &owner] {
        add_peer(core, "vm-asker", asker.settings().listen.peers);
        add_peer(core, "vm-owner", owner.settings().listen.peers);
    }
    (asker, owner)
}

/// Adds peers that never answer.
fn add_unreachable_vms(core: &Core) {
    for no in 0..UNREACHABLE_VMS {
        let ip: IpAddr = format!("127.0.7.{no}").parse().unwrap();
        let port = core.settings().listen.peers.port();
        add_peer(core, &format!("stranger-{no}"), SocketAddr::new(ip, port));
    }
}

fn shape(part: u64) -> PromptShape {
    PromptShape {
        model: "m".into(),
        prompt: Prompt {
            prefixes: vec![Prefix {
                hash: part,
                tokens: 4_000,
            }],
            tokens: 6_000,
        },
    }
}

async fn place(core: &Core, part: u64) -> Option<Flight> {
    let service: ServiceId = "engines".parse().unwrap();
    let shape = shape(part);
    let selection = Selection {
        service: &service,
        domain: &core.settings().domain,
        stores: &[],
        shape: Some(&shape),
        tried: &[],
        tie_breaker: 0,
        shard: None,
        least_loaded: false,
        software: None,
        terms: None,
        left: Duration::from_secs(5),
        alone: false,
    };
    choose(core, &selection).await.ok()
}

/// Prompt tokens that a VM counts as not prefilled yet, over all engines.
fn unread(core: &Core) -> u64 {
    let fleet = core.fleet.lock();
    fleet.upstreams().map(|engine| fleet.unread(engine)).sum()
}

/// A prompt placed by `owner`: unreachable owners that are queried first get no further queries for
/// a while.
async fn placed_by(asker: &Core, owner: &Core) -> Flight {
    let addr = owner.settings().listen.loads;
    for part in 0..200 {
        let flight = place(asker, part).await.unwrap();
        if flight.owner() == Some(addr) {
            return flight;
        }
    }
    panic!("the owner placed no prompt");
}

/// Guards against a dead owner that delays prompts or causes them to be refused.
#[tokio::test]
async fn a_prompt_is_placed_despite_an_unresponsive_owner() {
    let (asker, _owner) = pair(1);
    add_unreachable_vms(&asker);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let flight = place(&asker, 1).await;
    assert!(flight.is_some());
}

/// Guards against owners that miscount prompts, so that engines seem busy or idle for ever.
#[tokio::test]
async fn an_owner_counts_a_prompt_until_it_is_prefilled() {
    let (asker, owner) = pair(2);
    add_unreachable_vms(&asker);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut flight = placed_by(&asker, &owner).await;
    wait_until(|| unread(&owner) == 6_000).await;
    let running = |core: &Core| {
        let fleet = core.fleet.lock();
        let engine = fleet.get(&flight.id).unwrap();
        fleet.counted_running(engine)
    };
    assert_eq!(running(&owner), 1);
    flight.record_received(clock::now());
    wait_until(|| unread(&owner) == 0).await;
    let id = flight.id.clone();
    drop(flight);
    wait_until(|| {
        let fleet = owner.fleet.lock();
        fleet.counted_running(fleet.get(&id).unwrap()) == 0
    })
    .await;
}

/// Guards against an owner that keeps counting prompts whose callers disconnected before the answer
/// came.
#[tokio::test]
async fn a_cancelled_query_is_not_counted() {
    let (asker, owner) = pair(3);
    add_unreachable_vms(&asker);
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(placed_by(&asker, &owner).await);
    for part in 0..40 {
        let cancelled = tokio::time::timeout(Duration::from_micros(200), place(&asker, part)).await;
        drop(cancelled);
    }
    wait_until(|| unread(&owner) == 0).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(unread(&owner), 0);
}

/// Guards against needless queries among few VMs, where each announces its prompts to all others.
#[tokio::test]
async fn no_owner_is_queried_in_a_small_fleet() {
    let (asker, _owner) = pair(4);
    tokio::time::sleep(Duration::from_millis(100)).await;
    for part in 0..20 {
        let flight = place(&asker, part).await.unwrap();
        assert_eq!(flight.owner(), None);
    }
}
