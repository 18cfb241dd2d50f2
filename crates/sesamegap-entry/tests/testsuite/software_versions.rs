//! Upstreams of several software versions in one service: a stream goes on only at the version that began it.

use crate::support::{Act, Answer, Caller, Process, Upstream, entry, offset, request_of, vms};
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::fleet::Entry;
use sesamegap_wire::UpstreamId;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

/// Streams of a test, with prompts of their own: which upstream one goes to is a matter of chance.
const STREAMS: usize = 8;

/// Engines of the other version: where a prompt goes is a matter of its hash.
const OTHERS: usize = 3;

fn events(range: Range<u64>) -> String {
    let events = range.map(|id| format!("id: {id}\ndata: t{id}\n\n"));
    events.collect()
}

/// Lists an engine of a software version.
fn list(core: &Core, id: &str, addr: SocketAddr, software: &str) {
    let id: UpstreamId = id.parse().unwrap();
    let entry = Entry {
        software: software.parse().unwrap(),
        ..entry("engines", addr)
    };
    let mut fleet = core.fleet.lock();
    fleet.apply(&id, entry, offset(0), clock::now());
}

fn prompt(no: usize) -> String {
    format!("x-model: m\r\nx-parts: preamble-{no},own-{no}\r\n")
}

async fn send(addr: SocketAddr, id: &str, headers: &str) -> Caller {
    let mut caller = Caller::connect(addr).await;
    let request = request_of(id, "POST", "/review/", headers, "");
    caller.send(&request).await;
    caller
}

/// Takes a stream up again after its third event.
async fn take_up(addr: SocketAddr, no: usize, first: &str) -> Answer {
    let headers = format!("{}x-after: 3\r\nx-resumes: {first}\r\n", prompt(no));
    let mut caller = send(addr, &format!("again-{first}"), &headers).await;
    caller.answer().await
}

/// Engines of two versions that complete a stream after its third event.
#[derive(Debug)]
struct Engines {
    same: Upstream,
    others: Vec<Upstream>,
}

impl Engines {
    async fn start() -> Self {
        let act = || vec![Act::Events(4..9)];
        let mut others = Vec::new();
        for _ in 0..OTHERS {
            others.push(Upstream::start(act()).await);
        }
        Self {
            same: Upstream::start(act()).await,
            others,
        }
    }

    fn list(&self, core: &Core) {
        list(core, "same", self.same.addr, "v1");
        self.list_others(core);
    }

    fn list_others(&self, core: &Core) {
        for (no, other) in self.others.iter().enumerate() {
            list(core, &format!("other-{no}"), other.addr, "v2");
        }
    }

    /// Keeps requests from the engines of the other version, which are listed all the same.
    fn pause_others(&self, core: &Core, time: Duration) {
        let mut fleet = core.fleet.lock();
        for no in 0..self.others.len() {
            let other = fleet.get_mut(&format!("other-{no}").parse().unwrap());
            other.unwrap().pause(clock::now() + time);
        }
    }

    fn seen_by_others(&self) -> usize {
        self.others.iter().map(|other| other.seen().len()).sum()
    }
}

/// An engine crashes in the middle of a stream during a release, and only engines of other versions are left.
#[tokio::test]
async fn a_stream_does_not_go_on_at_another_software_version() {
    let process = Process::new().await;
    let first = Upstream::start(vec![Act::CutEvents(1..4)]).await;
    list(&process.core, "first", first.addr, "v1");
    let other = Upstream::start(vec![Act::Events(4..9)]).await;
    let mut caller = send(process.callers, "s0", &prompt(0)).await;
    while first.seen().is_empty() {
        tokio::task::yield_now().await;
    }
    list(&process.core, "other", other.addr, "v2");
    let answer = caller.answer().await;
    assert!(!answer.is_complete);
    assert_eq!(answer.body, events(1..4));
    assert_eq!(other.seen().len(), 0);
}

/// As above, while an engine of the same version is left.
#[tokio::test]
async fn a_stream_goes_on_at_an_engine_of_its_software_version() {
    let engines = Engines::start().await;
    for no in 0..STREAMS {
        let process = Process::new().await;
        let first = Upstream::start(vec![Act::CutEvents(1..4)]).await;
        list(&process.core, "first", first.addr, "v1");
        let mut caller = send(process.callers, &format!("s{no}"), &prompt(no)).await;
        while first.seen().is_empty() {
            tokio::task::yield_now().await;
        }
        engines.list(&process.core);
        let answer = caller.answer().await;
        assert_eq!(answer.body, events(1..9));
        assert!(answer.is_complete);
    }
    assert_eq!(engines.seen_by_others(), 0);
}

/// A VM is killed under a stream, and its caller goes on at another VM.
#[tokio::test]
async fn a_stream_taken_up_at_another_vm_goes_on_at_its_software_version() {
    let vms = vms(3, 61).await;
    let first = Upstream::start(vec![Act::CutEvents(1..4)]).await;
    let engines = Engines::start().await;
    for vm in &vms {
        engines.list_others(&vm.core);
    }
    let began_at = &vms[0];
    engines.pause_others(&began_at.core, Duration::from_mins(1));
    list(&began_at.core, "first", first.addr, "v1");
    for no in 0..STREAMS {
        let mut caller = send(began_at.callers, &format!("s{no}"), &prompt(no)).await;
        assert_eq!(caller.answer().await.body, events(1..4));
    }
    for vm in &vms {
        engines.list(&vm.core);
    }
    for no in 0..STREAMS {
        let answer = take_up(vms[1].callers, no, &format!("s{no}")).await;
        assert_eq!((answer.status, answer.body), (200, events(4..9)));
    }
    assert_eq!(engines.seen_by_others(), 0);
    assert_eq!(engines.same.seen().len(), STREAMS);
}

/// No VM knows the stream that a caller takes up, and two versions can have begun it.
#[tokio::test]
async fn a_stream_that_two_versions_can_have_begun_is_refused() {
    let vms = vms(3, 62).await;
    let engines = Engines::start().await;
    for vm in &vms {
        engines.list(&vm.core);
    }
    for no in 0..STREAMS {
        let answer = take_up(vms[1].callers, no, &format!("s{no}")).await;
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.header("retry-after").is_some());
    }
    assert_eq!(engines.seen_by_others() + engines.same.seen().len(), 0);
}
