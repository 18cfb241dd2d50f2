//! Requests under which upstreams end, at several VMs before the same engines.

use crate::support::{MARK, Mortal, Platform, ask, document, entry, offset, settings, unused};
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::intake;
use sesamegap_entry::peers;
use sesamegap_entry::telemetry::Logging;
use sesamegap_policy::agreement::Holder;
use sesamegap_policy::agreement::membership::{News, Status};
use sesamegap_wire::{Incarnation, UpstreamId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;

const VMS: usize = 3;
const ENGINES: usize = 6;

/// Sends of the marked request.
const SENDS: usize = 40;

/// Upstreams that may end under one request, and sends that may still follow.
const MOST_ENDED: usize = 3;
const MOST_AFTER: usize = 3;

/// An entry VM at a loopback address of its own.
struct Vm {
    core: Arc<Core>,
    callers: SocketAddr,
}

async fn vm(no: usize, net: u8, port: u16, platform: &Arc<Platform>) -> Vm {
    let mut settings = settings(&format!("vm-{no}"), Vec::new());
    settings.listen.loads =
        SocketAddr::new(format!("127.0.{net}.{}", no + 1).parse().unwrap(), port);
    settings.listen.peers = settings.listen.loads;
    let core = Arc::new(Core::new(settings, platform.ports(), Logging::none()).unwrap());
    core.adopt(&Arc::new(document(1)), "test");
    tokio::spawn(peers::exchange(Arc::clone(&core)));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let callers = listener.local_addr().unwrap();
    tokio::spawn(intake::serve(Arc::clone(&core), listener));
    Vm { core, callers }
}

/// VMs that know each other.
async fn vms(net: u8) -> Vec<Vm> {
    let platform = Arc::new(Platform::default());
    let port = unused().port();
    let mut all = Vec::new();
    for no in 0..VMS {
        all.push(vm(no, net, port, &platform).await);
    }
    for one in &all {
        for other in &all {
            let settings = other.core.settings();
            let news = News {
                who: Holder {
                    vm: settings.vm.clone(),
                    incarnation: Incarnation(1),
                },
                addr: settings.listen.peers,
                version: 0,
                status: Status::Alive,
            };
            if !Arc::ptr_eq(&one.core, &other.core) {
                one.core.peers.hear(&news, clock::now());
            }
        }
    }
    all
}

/// Engines that all VMs list; each start has an id of its own.
async fn engines(vms: &[Vm]) -> Vec<Mortal> {
    let position = Arc::new(AtomicU64::new(0));
    let mut all = Vec::new();
    for no in 0..ENGINES {
        let cores: Vec<Arc<Core>> = vms.iter().map(|vm| Arc::clone(&vm.core)).collect();
        let position = Arc::clone(&position);
        let addr = Arc::new(std::sync::OnceLock::<SocketAddr>::new());
        let own = Arc::clone(&addr);
        let list = move |start: usize| {
            let Some(addr) = own.get() else { return };
            let id = |start: usize| format!("e{no}-{start}").parse::<UpstreamId>().unwrap();
            for core in &cores {
                let mut fleet = core.fleet.lock();
                let at = || offset(position.fetch_add(1, Ordering::Relaxed));
                if start > 0 {
                    fleet.remove(&id(start - 1), at(), clock::now());
                }
                fleet.apply(&id(start), entry("engines", *addr), at(), clock::now());
            }
        };
        let first = list.clone();
        let mortal = Mortal::start(list).await;
        addr.set(mortal.addr).unwrap();
        first(0);
        all.push(mortal);
    }
    all
}

fn marked(engines: &[Mortal]) -> usize {
    engines.iter().map(|engine| engine.counts().marked).sum()
}

fn head(no: usize) -> String {
    format!("x-model: m\r\nx-nonce: {no}\r\n")
}

/// Nobody remembers a request that ended the engines which ran it, and every VM sends it on.
#[tokio::test]
async fn a_request_that_crashes_its_engines_is_not_sent_on_for_ever() {
    let vms = vms(21).await;
    let engines = engines(&vms).await;
    for no in 0..SENDS {
        let body = format!("{MARK} now");
        ask(vms[no % VMS].callers, "POST", "/chat/a", &head(no), &body).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let sent = marked(&engines);
    assert!(sent <= MOST_ENDED + MOST_AFTER, "sent {sent} times");
}

/// A third of the engines end at once, three times, under a request that is sent all the time: it is refused for good though
/// it ended none of them.
#[tokio::test]
async fn engines_that_end_by_themselves_condemn_no_request() {
    let vms = vms(22).await;
    let engines = engines(&vms).await;
    let send = |no: usize| {
        let callers = vms[no % VMS].callers;
        async move { ask(callers, "POST", "/review/a", &head(no), "popular").await }
    };
    for round in 0..3 {
        let sends = futures_util::future::join_all((0..3 * ENGINES).map(send));
        let ends = async {
            tokio::time::sleep(Duration::from_millis(25)).await;
            for engine in engines.iter().skip(round % 3).step_by(3) {
                engine.end();
            }
        };
        tokio::join!(sends, ends);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(engines.iter().all(|engine| engine.counts().ended > 0));
    tokio::time::sleep(Duration::from_secs(1)).await;
    for no in 0..VMS {
        let answer = send(no).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
}
