//! Quarantine of requests that crash upstreams, with several VMs that share the same engines.

use crate::support::{
    Act, CRASH_MARK, CrashingUpstream, Platform, Upstream, Vm, ask, crashing_engines, entry,
    marked, member_update, offset, unused_addr, vm, vms, wait_until,
};
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::quarantine::{self, UpstreamLoss};
use sesamegap_policy::agreement::membership::Status;
use sesamegap_policy::quarantine::{COORDINATOR_RANKING_KEY, Crash, Standing, Subjects};
use sesamegap_wire::{Fingerprint, UpstreamId};
use std::sync::Arc;
use std::time::Duration;

const VMS: usize = 3;
const ENGINES: usize = 6;

/// Time until a crashed engine runs again.
const DOWNTIME: Duration = Duration::from_millis(120);

/// Number of times that the crashing request is sent.
const SENDS: usize = 40;

/// Maximum number of upstreams that one request may crash, and of sends that may follow.
const MAX_CRASHES: usize = 3;
const MAX_LATER_SENDS: usize = 3;

fn head(no: usize) -> String {
    format!("x-model: m\r\nx-nonce: {no}\r\n")
}

/// A request crashes every engine that runs it. Without a shared record of the crashes, each VM would keep sending it to
/// further engines.
#[tokio::test]
async fn a_request_that_crashes_its_engines_is_quarantined() {
    let vms = vms(VMS, 21).await;
    let engines = crashing_engines(&vms, ENGINES, DOWNTIME).await;
    for no in 0..SENDS {
        let body = format!("{CRASH_MARK} now");
        ask(vms[no % VMS].callers, "POST", "/chat/a", &head(no), &body).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let sent = marked(&engines);
    assert!(sent <= MAX_CRASHES + MAX_LATER_SENDS, "sent {sent} times");
}

/// A third of the engines crash at once, three times, while they run a frequent request that caused none of the crashes.
/// The request would be quarantined for crashes that it did not cause.
#[tokio::test]
async fn unrelated_crashes_quarantine_no_request() {
    let vms = vms(VMS, 22).await;
    let engines = crashing_engines(&vms, ENGINES, DOWNTIME).await;
    let send = |no: usize| {
        let callers = vms[no % VMS].callers;
        async move { ask(callers, "POST", "/review/a", &head(no), "popular").await }
    };
    for round in 0..3 {
        let sends = futures_util::future::join_all((0..3 * ENGINES).map(send));
        let ends = async {
            tokio::time::sleep(Duration::from_millis(25)).await;
            for engine in engines.iter().skip(round % 3).step_by(3) {
                engine.crash();
            }
        };
        tokio::join!(sends, ends);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(engines.iter().all(|engine| engine.counts().crashes > 0));
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

fn standing(vm: &Vm, request: Fingerprint) -> Standing {
    let quarantine = &vm.core.quarantine;
    quarantine.standing(&Subjects::of_request(request))
}

fn upstream_loss(request: Fingerprint, life: u64, trial: bool) -> UpstreamLoss {
    UpstreamLoss {
        subjects: Arc::new(Subjects::of_request(request)),
        upstream: format!("e{life}").parse().unwrap(),
        crash: Crash {
            life,
            trial,
            begun: false,
        },
        at: None,
    }
}

/// Records enough crashes for a request to be condemned regardless of other evidence; the last four are of trials.
fn condemn(core: &Core, request: Fingerprint) {
    for life in 0..6 {
        core.quarantine
            .record_crash(&upstream_loss(request, life, life >= 2));
    }
}

/// All VMs restart at once and lose their records. Without the copy in the store, the request would crash three more
/// upstreams before it is quarantined again.
#[tokio::test]
async fn a_restarted_vm_reads_quarantined_requests_from_the_store() {
    let platform = Arc::new(Platform::default());
    let port = unused_addr().port();
    let request = fingerprint("/chat/a", CRASH_MARK);
    let before = vm(0, 23, port, &platform).await;
    tokio::spawn(quarantine::sync(Arc::clone(&before.core)));
    condemn(&before.core, request);
    wait_until(|| platform.quarantine.lock().unwrap().len() == 1).await;
    let after = vm(1, 23, port, &platform).await;
    tokio::spawn(quarantine::sync(Arc::clone(&after.core)));
    wait_until(|| standing(&after, request) == Standing::Quarantined).await;
}

/// A VM misses all datagrams that are sent when a request is condemned. If they were not repeated, it would keep sending
/// the request.
#[tokio::test]
async fn a_vm_that_missed_a_broadcast_receives_the_record_later() {
    let vms = vms(VMS, 24).await;
    let request = fingerprint("/chat/a", CRASH_MARK);
    for vm in &vms[1..] {
        condemn(&vm.core, request);
    }
    wait_until(|| standing(&vms[0], request) == Standing::Quarantined).await;
}

/// The caller of a quarantined request learns that the request did not run. Without a retry delay it would return at
/// once, only to be refused again.
#[tokio::test]
async fn a_quarantined_request_is_refused_at_once_and_reaches_no_upstream() {
    let vms = vms(VMS, 25).await;
    let engines = crashing_engines(&vms, ENGINES, DOWNTIME).await;
    condemn(&vms[0].core, fingerprint("/chat/a", CRASH_MARK));
    let answer = ask(vms[0].callers, "POST", "/chat/a", &head(0), CRASH_MARK).await;
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("quarantined") && answer.body.contains("not run"));
    assert_eq!(answer.header("retry-after"), Some("3600.00"));
    assert_eq!(marked(&engines), 0);
    let other = ask(vms[0].callers, "POST", "/chat/a", &head(1), "harmless").await;
    assert_eq!(other.status, 200);
}

/// Connections break while their upstreams keep running, as in a network failure. If these counted as crashes, all
/// requests on the connections would be quarantined.
#[tokio::test]
async fn broken_connections_to_running_upstreams_quarantine_no_request() {
    let vms = vms(VMS, 26).await;
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
        assert_eq!(standing(vm, request), Standing::Clear);
    }
}

/// The supervisor restarts a crashed engine at once, so that a probe finds it accepting connections. If such crashes did
/// not count, the request would be sent again and again.
#[tokio::test]
async fn immediate_restarts_count_as_crashes() {
    let vms = vms(VMS, 27).await;
    let engines = crashing_engines(&vms, ENGINES, Duration::ZERO).await;
    for no in 0..SENDS / 2 {
        let body = format!("{CRASH_MARK} now");
        ask(vms[no % VMS].callers, "POST", "/chat/a", &head(no), &body).await;
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    let sent = marked(&engines);
    assert!(sent <= MAX_CRASHES + MAX_LATER_SENDS, "sent {sent} times");
}

/// The coordinator leaves. If crashes were reported to it alone, the next coordinator would not know of earlier ones.
#[tokio::test]
async fn trials_continue_when_the_coordinator_leaves() {
    let vms = vms(VMS, 28).await;
    let engines = crashing_engines(&vms, ENGINES, DOWNTIME).await;
    let request = async |vm: &Vm, no: usize| {
        ask(vm.callers, "POST", "/chat/a", &head(no), CRASH_MARK).await;
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
        let update = member_update(&settings, Status::Leaving, 1);
        vm.core.peers.apply_update(&update, clock::now());
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    for no in 0..SENDS / 2 {
        request(others[no % others.len()], no).await;
    }
    let sent = marked(&engines);
    assert!(sent <= MAX_CRASHES + MAX_LATER_SENDS, "sent {sent} times");
    assert!(sent > 2, "the next coordinator ran no trial");
}

/// An engine restarts under the same id and crashes again on the same request before the list shows the new instance. If
/// the second crash were taken for the first one, the request would never become a suspect.
#[tokio::test]
async fn repeated_crashes_before_a_list_update_count_separately() {
    let vms = vms(VMS, 29).await;
    let engine = CrashingUpstream::start(Duration::from_millis(700), |_| {}).await;
    let id: UpstreamId = "e1".parse().unwrap();
    for vm in &vms {
        let entry = entry("engines", engine.addr);
        let mut fleet = vm.core.fleet.lock();
        fleet.apply(&id, entry, offset(1), clock::now());
    }
    for no in 0..SENDS / 4 {
        ask(
            vms[no % VMS].callers,
            "POST",
            "/chat/a",
            &head(no),
            CRASH_MARK,
        )
        .await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let sent = marked(std::slice::from_ref(&engine));
    assert!(sent <= MAX_CRASHES + MAX_LATER_SENDS, "sent {sent} times");
}
