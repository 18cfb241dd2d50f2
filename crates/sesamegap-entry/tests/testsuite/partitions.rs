//! VMs that are partitioned from all upstreams, while callers and the other VMs reach them.

use crate::support::{
    Act, Upstream, Vm, ask, document, entry, offset, unused_addr, vms, wait_until,
};
use sesamegap_entry::catalogue::KvStore;
use sesamegap_entry::clock;
use sesamegap_entry::fleet::Entry;
use sesamegap_entry::kept;
use sesamegap_entry::quarantine::{Probes, ProcessState};
use sesamegap_policy::routing::Availability;
use sesamegap_wire::UpstreamId;
use socket2::{Domain, Socket, Type};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Plain workers and engines.
const UPSTREAMS: [(&str, &str); 6] = [
    ("w0", "desk"),
    ("w1", "desk"),
    ("w2", "desk"),
    ("e0", "engines"),
    ("e1", "engines"),
    ("e2", "engines"),
];

/// Requests by which a VM may find out that it is partitioned.
const DETECTION_REQUESTS: usize = 8;

/// Requests that a partitioned VM gets afterwards.
const REQUESTS: usize = 40;

/// What a partition does to new connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Partition {
    Refuses,
    Hangs,
}

/// An address at which connection attempts hang, as long as the socket lives: its queue is full.
struct Hanging {
    addr: SocketAddr,
    _listener: Socket,
    _queued: Vec<std::net::TcpStream>,
}

impl Hanging {
    fn new() -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        listener.bind(&any.into()).unwrap();
        listener.listen(0).unwrap();
        let addr = listener.local_addr().unwrap().as_socket().unwrap();
        let queue = |_| std::net::TcpStream::connect_timeout(&addr, Duration::from_millis(200));
        Self {
            addr,
            _queued: (0..4).filter_map(|no| queue(no).ok()).collect(),
            _listener: listener,
        }
    }
}

fn list(vm: &Vm, id: &str, entry: Entry, at: u64) {
    let id: UpstreamId = id.parse().unwrap();
    let mut fleet = vm.core.fleet.lock();
    fleet.apply(&id, entry, offset(at), clock::now());
}

/// Starts upstreams that all VMs list.
async fn upstreams(vms: &[Vm]) -> Vec<Upstream> {
    let mut all = Vec::new();
    for (id, service) in UPSTREAMS {
        let act = match service {
            "desk" => Act::Answer(200, "done"),
            _ => Act::Events(0..5),
        };
        let upstream = Upstream::start(vec![act]).await;
        for vm in vms {
            list(vm, id, entry(service, upstream.addr), 0);
        }
        all.push(upstream);
    }
    all
}

/// Cuts a VM off from all upstreams; the result must outlive the partition.
fn partition(vm: &Vm, how: Partition) -> Vec<Hanging> {
    let mut hanging = Vec::new();
    for (id, service) in UPSTREAMS {
        let addr = match how {
            Partition::Refuses => unused_addr(),
            Partition::Hangs => {
                hanging.push(Hanging::new());
                hanging[hanging.len() - 1].addr
            }
        };
        let beat = 2;
        list(
            vm,
            id,
            Entry {
                beat,
                ..entry(service, addr)
            },
            10,
        );
    }
    hanging
}

/// Sends one request of each kind by turns; returns the statuses.
async fn send(vm: &Vm, count: usize, name: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for no in 0..count {
        let path = ["/pull/a", "/save/a", "/chat/a", "/review/a"][no % 4];
        let head = format!("x-id: {name}{no}\r\n");
        let answer = ask(vm.callers, "POST", path, &head, "{}").await;
        assert!(answer.is_complete, "{path}: {answer:?}");
        statuses.push(answer.status);
    }
    statuses
}

async fn callers_are_served(net: u8, how: Partition) {
    let vms = vms(3, net).await;
    let upstreams = upstreams(&vms).await;
    send(&vms[0], DETECTION_REQUESTS, "before").await;
    let _hanging = partition(&vms[0], how);
    send(&vms[0], DETECTION_REQUESTS, "detect").await;
    let statuses = send(&vms[0], REQUESTS, "after").await;
    assert_eq!(statuses, vec![200; REQUESTS]);
    let seen: Vec<String> = upstreams.iter().flat_map(Upstream::seen).collect();
    for no in 0..REQUESTS {
        let id = format!("x-id: after{no}\r\n");
        let runs = seen.iter().filter(|text| text.contains(&id)).count();
        assert_eq!(runs, 1, "after{no}");
    }
}

/// A VM loses its links to all upstreams, new connections are refused. Its callers would be refused though the other VMs
/// reach every upstream.
#[tokio::test]
async fn callers_of_a_partitioned_vm_are_served() {
    callers_are_served(41, Partition::Refuses).await;
}

/// The same with connections that hang.
#[tokio::test]
async fn callers_of_a_vm_whose_connections_hang_are_served() {
    callers_are_served(42, Partition::Hangs).await;
}

/// A VM has requests for two workers only. Its failures are no sign of a partition unless it looks further.
#[tokio::test]
async fn a_vm_that_sends_to_two_upstreams_finds_out_that_it_is_partitioned() {
    let vms = vms(2, 47).await;
    let _upstreams = upstreams(&vms).await;
    for vm in &vms {
        let id = "w2".parse().unwrap();
        vm.core.fleet.lock().remove(&id, offset(20), clock::now());
    }
    partition(&vms[0], Partition::Refuses);
    let pull = async || ask(vms[0].callers, "POST", "/pull/a", "", "{}").await;
    pull().await;
    wait_until(|| vms[0].core.fleet.lock().is_partitioned()).await;
    assert_eq!(pull().await.status, 200);
}

/// Two VMs are partitioned and report every upstream as unresponsive; by their word the third would avoid good upstreams.
#[tokio::test]
async fn failures_of_partitioned_vms_make_no_upstream_suspect_elsewhere() {
    let vms = vms(3, 43).await;
    let _upstreams = upstreams(&vms).await;
    for vm in &vms[..2] {
        send(vm, 12, "before").await;
    }
    for vm in &vms[..2] {
        partition(vm, Partition::Refuses);
    }
    let suspects = || {
        let fleet = vms[2].core.fleet.lock();
        let now = clock::now();
        let is_suspect = |up: &&_| fleet.availability(up, now) == Availability::Suspect;
        fleet.upstreams().filter(is_suspect).count()
    };
    let mut seen = 0;
    for round in 0..6 {
        for vm in &vms[..2] {
            send(vm, 2, &format!("cut{round}-")).await;
        }
        for _ in 0..12 {
            sleep(Duration::from_millis(10)).await;
            seen = seen.max(suspects());
        }
    }
    assert_eq!(seen, 0, "suspect upstreams at the VM that reaches all");
    wait_until(|| suspects() == 0).await;
}

/// Connections of a VM that lost its links are refused, as by an upstream whose process ended. The requests that it had
/// there would be taken for ones that crash upstreams, and refused by all VMs.
#[tokio::test]
async fn a_refused_connection_shows_a_crash_only_if_other_upstreams_are_reached() {
    let own = IpAddr::V4(Ipv4Addr::LOCALHOST);
    for (reaches_others, state) in [
        (false, ProcessState::Unreachable),
        (true, ProcessState::Gone),
    ] {
        let probes = Probes::default();
        let others = async { reaches_others };
        let found = probes.probe(1, own, unused_addr(), others).await;
        assert_eq!(found, state);
    }
    let vms = vms(1, 44).await;
    let core = &vms[0].core;
    let lost = unused_addr();
    list(&vms[0], "e0", entry("engines", lost), 0);
    assert!(core.reaches_others(lost).await, "there is no other");
    list(&vms[0], "e1", entry("engines", unused_addr()), 0);
    assert!(!core.reaches_others(lost).await);
    let sound = Upstream::start(vec![Act::Silent]).await;
    list(&vms[0], "e2", entry("engines", sound.addr), 0);
    assert!(core.reaches_others(lost).await);
}

/// A VM that watches the kept-KV store loses its links. By its word all others would read prompts anew that lie there.
#[tokio::test]
async fn a_partitioned_vm_does_not_take_the_kept_kv_store_for_lost() {
    let vms = vms(1, 45).await;
    let core = &vms[0].core;
    let store: SocketAddr = unused_addr();
    let mut with_store = document(2);
    with_store.kv_stores = vec![KvStore {
        addr: store,
        domain: "hall-a".parse().unwrap(),
        link: 1_000,
    }];
    core.adopt(&Arc::new(with_store), "test");
    let is_lost = || core.fleet.lock().is_store_unavailable(store, clock::now());
    for id in ["e0", "e1"] {
        list(&vms[0], id, entry("engines", unused_addr()), 0);
    }
    tokio::spawn(kept::watch(Arc::clone(core)));
    for _ in 0..80 {
        sleep(Duration::from_millis(10)).await;
        assert!(!is_lost());
    }
    let sound = Upstream::start(vec![Act::Silent]).await;
    list(&vms[0], "e2", entry("engines", sound.addr), 0);
    wait_until(is_lost).await;
}
