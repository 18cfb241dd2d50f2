//! Requests under which upstreams end, at several VMs before the same engines.

use crate::support::{
    Act, MARK, Mortal, Platform, Upstream, ask, document, entry, offset, settings, until, unused,
};
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::intake;
use sesamegap_entry::peers;
use sesamegap_entry::quarantine::{self, UpstreamLoss};
use sesamegap_entry::settings::Settings;
use sesamegap_entry::telemetry::Logging;
use sesamegap_policy::agreement::ProcessId;
use sesamegap_policy::agreement::membership::{MemberUpdate, Status};
use sesamegap_policy::quarantine::{COORDINATOR_RANKING_KEY, Crash, Standing};
use sesamegap_wire::{Fingerprint, Incarnation, UpstreamId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;

const VMS: usize = 3;
const ENGINES: usize = 6;

/// How long an engine that ended is down.
const DOWN: Duration = Duration::from_millis(120);

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
    settings.listen.datagrams =
        SocketAddr::new(format!("127.0.{net}.{}", no + 1).parse().unwrap(), port);
    settings.listen.peers = settings.listen.datagrams;
    let core = Arc::new(Core::new(settings, platform.ports(), Logging::none()).unwrap());
    core.adopt(&Arc::new(document(1)), "test");
    tokio::spawn(peers::run_datagrams(Arc::clone(&core)));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let callers = listener.local_addr().unwrap();
    tokio::spawn(intake::serve(Arc::clone(&core), listener));
    Vm { core, callers }
}

/// What a VM with these settings says of itself.
fn news(settings: &Settings, status: Status, version: u32) -> MemberUpdate {
    MemberUpdate {
        who: ProcessId {
            vm: settings.vm.clone(),
            incarnation: Incarnation(1),
        },
        addr: settings.listen.peers,
        version,
        status,
    }
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
            let news = news(&other.core.settings(), Status::Alive, 0);
            if !Arc::ptr_eq(&one.core, &other.core) {
                one.core.peers.apply_update(&news, clock::now());
            }
        }
    }
    all
}

/// Engines that all VMs list; each start has an id of its own.
async fn engines(vms: &[Vm], down: Duration) -> Vec<Mortal> {
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
        let mortal = Mortal::start(down, list).await;
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
    let engines = engines(&vms, DOWN).await;
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
    let engines = engines(&vms, DOWN).await;
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

/// The fingerprint of what [`ask`] sends.
fn fingerprint(path: &str, body: &str) -> Fingerprint {
    Fingerprint::of(&format!("POST {path}"), Some("clerks"), body.as_bytes())
}

fn lost(request: Fingerprint, life: u64, trial: bool) -> UpstreamLoss {
    UpstreamLoss {
        request,
        upstream: format!("e{life}").parse().unwrap(),
        crash: Crash { life, trial },
    }
}

/// Ends so many upstreams under a request, the last four in trials, that nothing else matters.
fn condemn(core: &Core, request: Fingerprint) {
    for life in 0..6 {
        core.quarantine.crashed(&lost(request, life, life >= 2));
    }
}

/// All VMs lose their memory at once, and the request ends three more upstreams before it is known again.
#[tokio::test]
async fn a_vm_that_starts_learns_from_the_store_what_is_quarantined() {
    let platform = Arc::new(Platform::default());
    let port = unused().port();
    let request = fingerprint("/chat/a", MARK);
    let before = vm(0, 23, port, &platform).await;
    tokio::spawn(quarantine::sync(Arc::clone(&before.core)));
    condemn(&before.core, request);
    until(|| platform.quarantine.lock().unwrap().len() == 1).await;
    let after = vm(1, 23, port, &platform).await;
    tokio::spawn(quarantine::sync(Arc::clone(&after.core)));
    until(|| after.core.quarantine.standing(request) == Standing::Quarantined).await;
}

/// A VM misses all datagrams of the moment in which a request is condemned, and goes on sending it.
#[tokio::test]
async fn a_vm_that_missed_the_news_is_told_again() {
    let vms = vms(24).await;
    let request = fingerprint("/chat/a", MARK);
    for vm in &vms[1..] {
        condemn(&vm.core, request);
    }
    until(|| vms[0].core.quarantine.standing(request) == Standing::Quarantined).await;
}

/// A caller whose request is quarantined is told that it did not run, and comes back at once to be refused again.
#[tokio::test]
async fn a_quarantined_request_is_refused_at_once_and_reaches_no_upstream() {
    let vms = vms(25).await;
    let engines = engines(&vms, DOWN).await;
    condemn(&vms[0].core, fingerprint("/chat/a", MARK));
    let answer = ask(vms[0].callers, "POST", "/chat/a", &head(0), MARK).await;
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("quarantined") && answer.body.contains("not run"));
    assert_eq!(answer.header("retry-after"), Some("3600.00"));
    assert_eq!(marked(&engines), 0);
    let other = ask(vms[0].callers, "POST", "/chat/a", &head(1), "harmless").await;
    assert_eq!(other.status, 200);
}

/// Connections that break while their upstream runs on, as those of a cut link do, would condemn whatever crossed
/// them.
#[tokio::test]
async fn broken_connections_of_upstreams_that_run_on_condemn_nobody() {
    let vms = vms(26).await;
    let cut = Upstream::start(vec![Act::CutEvents(0..2)]).await;
    for no in 0..ENGINES {
        let id: UpstreamId = format!("c{no}").parse().unwrap();
        for vm in &vms {
            let entry = entry("engines", cut.addr);
            let mut fleet = vm.core.fleet.lock();
            fleet.apply(&id, entry, offset(no as u64), clock::now());
        }
    }
    for no in 0..8 {
        ask(vms[no % VMS].callers, "POST", "/chat/a", &head(no), "cut").await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let request = fingerprint("/chat/a", "cut");
    for vm in &vms {
        assert_eq!(vm.core.quarantine.standing(request), Standing::Clear);
    }
}

/// An engine that its supervisor starts again at once takes connections, so that its end counts for nothing and the request
/// is sent on for ever.
#[tokio::test]
async fn engines_that_are_back_at_once_count_as_ended_too() {
    let vms = vms(27).await;
    let engines = engines(&vms, Duration::ZERO).await;
    for no in 0..SENDS / 2 {
        let body = format!("{MARK} now");
        ask(vms[no % VMS].callers, "POST", "/chat/a", &head(no), &body).await;
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    let sent = marked(&engines);
    assert!(sent <= MOST_ENDED + MOST_AFTER, "sent {sent} times");
}

/// The VM that grants trials leaves, and the next one knows nothing of the upstreams that were lost before.
#[tokio::test]
async fn another_vm_goes_on_when_the_one_that_grants_trials_leaves() {
    let vms = vms(28).await;
    let engines = engines(&vms, DOWN).await;
    let request = async |vm: &Vm, no: usize| {
        ask(vm.callers, "POST", "/chat/a", &head(no), MARK).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    };
    let (first, others): (Vec<&Vm>, Vec<&Vm>) = vms
        .iter()
        .partition(|vm| vm.core.peers.first_ranked(1, COORDINATOR_RANKING_KEY) == [None]);
    for no in 0..2 {
        request(first[0], no).await;
    }
    for vm in &others {
        let settings = first[0].core.settings();
        let news = news(&settings, Status::Leaving, 1);
        vm.core.peers.apply_update(&news, clock::now());
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    for no in 0..SENDS / 2 {
        request(others[no % others.len()], no).await;
    }
    let sent = marked(&engines);
    assert!(sent <= MOST_ENDED + MOST_AFTER, "sent {sent} times");
    assert!(sent > 2, "the next one ran no trial");
}

/// An engine that is back under its id before the list shows its new life ends again under the same request: the second end
/// counts as the first, and the request is never a suspect.
#[tokio::test]
async fn an_engine_that_ends_again_before_the_list_knows_counts_twice() {
    let vms = vms(29).await;
    let engine = Mortal::start(Duration::from_millis(700), |_| {}).await;
    let id: UpstreamId = "e1".parse().unwrap();
    for vm in &vms {
        let entry = entry("engines", engine.addr);
        let mut fleet = vm.core.fleet.lock();
        fleet.apply(&id, entry, offset(1), clock::now());
    }
    for no in 0..SENDS / 4 {
        ask(vms[no % VMS].callers, "POST", "/chat/a", &head(no), MARK).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let sent = marked(std::slice::from_ref(&engine));
    assert!(sent <= MOST_ENDED + MOST_AFTER, "sent {sent} times");
}
