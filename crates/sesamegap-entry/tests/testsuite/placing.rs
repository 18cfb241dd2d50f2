//! Prompts placed by the VM that owns the shard of their home.

use crate::support::{Platform, document, entry, offset, settings, until, unused};
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::fleet::{Flight, PromptShape, Selection};
use sesamegap_entry::peers;
use sesamegap_entry::placing::choose;
use sesamegap_entry::telemetry::Logging;
use sesamegap_policy::agreement::ProcessId;
use sesamegap_policy::agreement::membership::{MemberUpdate, Status};
use sesamegap_policy::routing::engines::{Prefix, Prompt};
use sesamegap_wire::{Incarnation, ServiceId, UpstreamId};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

const ENGINES: usize = 4;

/// Other VMs that each of them knows: more than tell each other of every prompt.
const STRANGERS: usize = 12;

/// An entry VM at an address of its own, with engines; only its datagrams run.
fn vm(name: &str, ip: &str, port: u16) -> Arc<Core> {
    let mut settings = settings(name, Vec::new());
    settings.listen.datagrams = SocketAddr::new(ip.parse().unwrap(), port);
    settings.listen.peers = settings.listen.datagrams;
    let platform = Arc::new(Platform::default());
    let core = Arc::new(Core::new(settings, platform.ports(), Logging::none()).unwrap());
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

fn knows(core: &Core, name: &str, addr: SocketAddr) {
    let news = MemberUpdate {
        who: ProcessId {
            vm: name.parse().unwrap(),
            incarnation: Incarnation(1),
        },
        addr,
        version: 0,
        status: Status::Alive,
    };
    core.peers.apply_update(&news, clock::now());
}

/// Two VMs among strangers that answer nothing; all prompts of the first are placed by the second, or by itself.
fn pair(last: u8) -> (Arc<Core>, Arc<Core>) {
    let port = unused().port();
    let (one, two) = (format!("127.0.9.{last}"), format!("127.0.8.{last}"));
    let (asker, owner) = (vm("vm-asker", &one, port), vm("vm-owner", &two, port));
    for core in [&asker, &owner] {
        knows(core, "vm-asker", asker.settings().listen.peers);
        knows(core, "vm-owner", owner.settings().listen.peers);
    }
    (asker, owner)
}

fn strangers(core: &Core) {
    for no in 0..STRANGERS {
        let ip: IpAddr = format!("127.0.7.{no}").parse().unwrap();
        let port = core.settings().listen.peers.port();
        knows(core, &format!("stranger-{no}"), SocketAddr::new(ip, port));
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
        spread: 0,
        shard: None,
        apart: false,
    };
    choose(core, &selection, Duration::from_secs(5)).await
}

/// Prompt tokens that a VM knows to be unread at all engines.
fn unread(core: &Core) -> u64 {
    let fleet = core.fleet.lock();
    fleet.upstreams().map(|engine| fleet.unread(engine)).sum()
}

/// A prompt that the owner placed: strangers that are asked first are left alone for a while.
async fn placed_by(asker: &Core, owner: &Core) -> Flight {
    let addr = owner.settings().listen.datagrams;
    for part in 0..200 {
        let flight = place(asker, part).await.unwrap();
        if flight.owner() == Some(addr) {
            return flight;
        }
    }
    panic!("nothing was placed by the owner");
}

/// Guards against an owner that is dead and holds prompts up or has them refused.
#[tokio::test]
async fn an_owner_that_does_not_answer_costs_a_moment() {
    let (asker, _owner) = pair(1);
    strangers(&asker);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let flight = place(&asker, 1).await;
    assert!(flight.is_some());
}

/// Guards against owners that lose count of prompts, so that engines seem busy or idle for good.
#[tokio::test]
async fn an_owner_counts_a_prompt_until_it_was_read() {
    let (asker, owner) = pair(2);
    strangers(&asker);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut flight = placed_by(&asker, &owner).await;
    until(|| unread(&owner) == 6_000).await;
    let running = |core: &Core| {
        let fleet = core.fleet.lock();
        let engine = fleet.get(&flight.id).unwrap();
        fleet.running_here(engine)
    };
    assert_eq!(running(&owner), 1);
    flight.heard(clock::now());
    until(|| unread(&owner) == 0).await;
    let id = flight.id.clone();
    drop(flight);
    until(|| {
        let fleet = owner.fleet.lock();
        fleet.running_here(fleet.get(&id).unwrap()) == 0
    })
    .await;
}

/// Guards against an owner that counts prompts whose callers have left before the answer came.
#[tokio::test]
async fn a_question_that_is_given_up_is_taken_back() {
    let (asker, owner) = pair(3);
    strangers(&asker);
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(placed_by(&asker, &owner).await);
    for part in 0..40 {
        let given_up = tokio::time::timeout(Duration::from_micros(200), place(&asker, part)).await;
        drop(given_up);
    }
    until(|| unread(&owner) == 0).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(unread(&owner), 0);
}

/// Guards against a fleet of few VMs that asks where all know of all prompts.
#[tokio::test]
async fn nobody_is_asked_in_a_small_fleet() {
    let (asker, _owner) = pair(4);
    tokio::time::sleep(Duration::from_millis(100)).await;
    for part in 0..20 {
        let flight = place(&asker, part).await.unwrap();
        assert_eq!(flight.owner(), None);
    }
}
