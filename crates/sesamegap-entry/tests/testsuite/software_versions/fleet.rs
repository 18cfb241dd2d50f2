//! What a VM believes of upstreams' software versions, and which upstreams it chooses by them.

use super::list;
use crate::support::{Process, entry, offset, unused_addr, vms, wait_until};
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::fleet::{Change, Entry, Flight, PromptShape, Selection};
use sesamegap_policy::routing::engines::Prompt;
use sesamegap_wire::{Incarnation, SoftwareVersion, UpstreamId};
use std::time::Duration;

/// A record without an incarnation and with an older heartbeat may be of either of two processes under one id.
#[tokio::test]
async fn an_upstream_whose_version_is_in_doubt_continues_no_stream() {
    let core = Process::new().await.core;
    let addr = unused_addr();
    list(&core, "e1", addr, "v1");
    let id: UpstreamId = "e1".parse().unwrap();
    let late = Entry {
        software: "v2".parse().unwrap(),
        beat: 0,
        ..entry("engines", addr)
    };
    let mut fleet = core.fleet.lock();
    assert_eq!(
        fleet.apply(&id, late, offset(1), clock::now()),
        Change::Late
    );
    let upstream = fleet.get(&id).unwrap();
    for version in ["v1", "v2"] {
        assert!(!fleet.continues(upstream, &version.parse().unwrap()));
    }
}

/// An upstream that crashed may be back under its id with other software before its entry is read: its address answers,
/// and workers do not check which version began a stream.
#[tokio::test]
async fn an_upstream_that_may_have_restarted_neither_continues_nor_begins_a_known_stream() {
    let vms = vms(2, 69).await;
    let addr = unused_addr();
    let id: UpstreamId = "e1".parse().unwrap();
    let version = "v1".parse().unwrap();
    let software = |core: &Core| {
        let fleet = core.fleet.lock();
        let continues = fleet.continues(fleet.get(&id).unwrap(), &version);
        drop(fleet);
        (continues, choose(core, None).unwrap().software.to_string())
    };
    let life = {
        let mut life = 0;
        for vm in &vms {
            let entry = Entry {
                software: version.clone(),
                born: Some(Incarnation(7)),
                ..entry("engines", addr)
            };
            let mut fleet = vm.core.fleet.lock();
            fleet.record_list(clock::now());
            fleet.apply(&id, entry, offset(0), clock::now());
            life = fleet.get(&id).unwrap().life;
        }
        life
    };
    assert_eq!(software(&vms[1].core), (true, "v1".to_owned()));
    vms[0]
        .core
        .fleet
        .lock()
        .record_broken(&id, life, clock::now());
    let doubted = (false, "unstated".to_owned());
    assert_eq!(software(&vms[0].core), doubted);
    wait_until(|| software(&vms[1].core) == doubted).await;
    let begun_in_doubt = choose(&vms[1].core, None).unwrap();
    let later = clock::now() + Duration::from_secs(2);
    vms[1].core.fleet.lock().record_list(later);
    assert_eq!(software(&vms[1].core), (true, "v1".to_owned()));
    assert_eq!(
        begun_in_doubt.begun_software(),
        version,
        "the list has caught up"
    );
}

/// The list names the version of a restarted upstream only after a stream has begun there.
#[tokio::test]
async fn a_stream_whose_upstream_turns_out_to_have_restarted_does_not_go_on() {
    let core = Process::new().await.core;
    let addr = unused_addr();
    let id: UpstreamId = "e1".parse().unwrap();
    let entry = |born, software: &str| Entry {
        software: software.parse().unwrap(),
        born: Some(Incarnation(born)),
        ..entry("engines", addr)
    };
    let mut fleet = core.fleet.lock();
    fleet.apply(&id, entry(7, "v1"), offset(0), clock::now());
    drop(fleet);
    let flight = choose(&core, None).unwrap();
    let begun = flight.begun_software();
    assert_eq!(begun.as_str(), "v1");
    assert!(!flight.contradicts(&begun));
    let mut fleet = core.fleet.lock();
    fleet.apply(&id, entry(8, "v2"), offset(1), clock::now());
    drop(fleet);
    assert!(flight.contradicts(&begun));
    assert!(!flight.begun_software().is_stated());
}

/// Chooses an engine for a prompt without parts.
fn choose(core: &Core, software: Option<&SoftwareVersion>) -> Option<Flight> {
    let shape = PromptShape {
        model: "m".into(),
        prompt: Prompt::default(),
    };
    let selection = Selection {
        service: &"engines".parse().unwrap(),
        domain: &"hall-a".parse().unwrap(),
        stores: &[],
        shape: Some(&shape),
        tried: &[],
        tie_breaker: 0,
        shard: None,
        least_loaded: false,
        software,
        terms: None,
        left: Duration::ZERO,
        alone: false,
    };
    core.fleet.choose(&selection, clock::now()).ok()
}

/// Two upstreams whose versions are not known yet, as after restarts, may run different ones.
#[tokio::test]
async fn unknown_versions_are_not_the_same() {
    let core = Process::new().await.core;
    list(&core, "e1", unused_addr(), "");
    let unknown = SoftwareVersion::default();
    let id: UpstreamId = "e1".parse().unwrap();
    let service = "engines".parse().unwrap();
    let may_go_on = |core: &Core| {
        let fleet = core.fleet.lock();
        let continues = fleet.continues(fleet.get(&id).unwrap(), &unknown);
        assert_eq!(
            continues,
            !fleet.is_version_gone(&service, &unknown, &[], clock::now())
        );
        continues
    };
    assert!(may_go_on(&core), "the platform states no versions");
    list(&core, "e2", unused_addr(), "v1");
    assert!(!may_go_on(&core));
}

/// VMs of a release that sends no versions relay entries of upstreams whose version is known.
#[tokio::test]
async fn an_entry_without_a_version_changes_none() {
    let core = Process::new().await.core;
    let addr = unused_addr();
    list(&core, "e1", addr, "v1");
    let id: UpstreamId = "e1".parse().unwrap();
    let relayed = Entry {
        beat: 2,
        ..entry("engines", addr)
    };
    let mut fleet = core.fleet.lock();
    assert_eq!(
        fleet.apply(&id, relayed, offset(1), clock::now()),
        Change::Same
    );
    assert!(fleet.continues(fleet.get(&id).unwrap(), &"v1".parse().unwrap()));
}

/// New streams fill the few upstreams of a version, and one that breaks off has nowhere to go.
#[tokio::test]
async fn new_streams_leave_room_at_each_version() {
    let core = Process::new().await.core;
    list(&core, "e1", unused_addr(), "v1");
    list(&core, "e2", unused_addr(), "v2");
    let version = "v1".parse().unwrap();
    let slots = entry("engines", unused_addr()).slots;
    let new: Vec<_> = (0..2 * (slots - 1))
        .map(|_| choose(&core, None).unwrap())
        .collect();
    for id in ["e1", "e2"] {
        let begun = new.iter().filter(|flight| flight.id.as_str() == id);
        assert_eq!(begun.count(), slots as usize - 1, "{id}");
    }
    let resumed = choose(&core, Some(&version)).unwrap();
    assert_eq!(resumed.id.as_str(), "e1");
    assert!(resumed.running < slots);
}
