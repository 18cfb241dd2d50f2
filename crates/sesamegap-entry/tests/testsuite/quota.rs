use crate::support::{Act, Answer, Process, Upstream, ask, document, settings};
use sesamegap_entry::catalogue::{Document, Quota, Quotas, Unit};
use sesamegap_entry::core::Core;
use sesamegap_entry::quota;
use sesamegap_policy::quota::RateLimit;
use std::sync::Arc;
use std::time::Duration;

/// A request that costs far more than the team may use at once: admitted from a full bucket, and then nothing is
/// left for many minutes.
const HUGE: &str = "x-usage: 10000000\r\n";

/// A document whose team may use 1,000 tokens per second and as many at once.
fn limited(revision: u64) -> Document {
    let mut document = document(revision);
    document.teams[0].quota = Some(Quota {
        limit: RateLimit {
            rate: 1_000.0,
            burst: 1_000.0,
        },
        unit: Unit::Tokens(200.0),
    });
    document
}

/// A VM alone in its fleet.
async fn lone_vm() -> Process {
    let process = Process::empty().await;
    process.core.adopt(&Arc::new(limited(1)), "test");
    process.core.peers.seed_members(Vec::new());
    let core = Arc::clone(&process.core);
    tokio::spawn(async move {
        loop {
            quota::tick(&core);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    process
}

/// Repeats a request until its team's bucket is full and it is admitted, at the start of the process.
async fn until_admitted(process: &Process, headers: &str) -> Answer {
    loop {
        let answer = ask(process.callers, "GET", "/pull/", headers, "").await;
        let is_refused_for_quota = answer.body.contains("rate limit");
        if !is_refused_for_quota {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A team over its limit fills queues and caches that other teams need. Its callers must learn that nothing ran, and
/// when tokens are there.
#[tokio::test]
async fn a_team_over_its_limit_gets_429_and_the_time_to_return() {
    let process = lone_vm().await;
    let worker = Upstream::start(vec![Act::Answer(200, "a")]).await;
    process.add("w1", "desk", worker.addr);
    assert_eq!(until_admitted(&process, HUGE).await.status, 200);
    let answer = ask(process.callers, "GET", "/pull/", "", "").await;
    assert_eq!(answer.status, 429);
    let wait: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!(wait > 30.0, "{wait}");
    assert_eq!(worker.seen().len(), 1);
}

/// Every upstream refuses a request without running it. Its team would pay for work that nobody did.
#[tokio::test]
async fn a_request_that_did_not_run_costs_its_team_nothing() {
    let process = lone_vm().await;
    let acts = [(); 6].map(|()| Act::NotRun(503)).to_vec();
    let worker = Upstream::start(acts).await;
    process.add("w1", "desk", worker.addr);
    for _ in 0..2 {
        assert_eq!(until_admitted(&process, HUGE).await.status, 503);
    }
}

/// A VM has just started, and its former process may have lent its part of the limits. Callers must be told that
/// nothing ran, and not that their team is over its limit.
#[tokio::test]
async fn a_vm_that_knows_no_rights_answers_503() {
    let process = Process::empty().await;
    process.core.adopt(&Arc::new(limited(1)), "test");
    let answer = ask(process.callers, "GET", "/pull/", HUGE, "").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

/// A VM that the store rejects gets its document from a peer. Without the limits, which are sent separately, it would
/// admit everything.
#[test]
fn a_document_from_a_peer_keeps_its_limits() {
    let document = limited(2);
    let mut bytes = rmp_serde::to_vec(&document).unwrap();
    bytes.extend(rmp_serde::to_vec(&document.quotas()).unwrap());
    let mut rest = bytes.as_slice();
    let mut received: Document = rmp_serde::from_read(&mut rest).unwrap();
    assert_ne!(received, document);
    let quotas: Quotas = rmp_serde::from_read(&mut rest).unwrap();
    received.set_quotas(quotas);
    assert_eq!(received, document);
}

/// A VM that is cut off from all others must not take the whole limit for itself.
#[test]
fn a_vm_counts_listed_vms_that_it_cannot_reach() {
    let platform = Arc::new(crate::support::Platform::default());
    let core = Core::new(
        settings("vm-1", Vec::new()),
        platform.ports(),
        sesamegap_entry::telemetry::Logging::disabled(),
    );
    let core = core.unwrap();
    assert_eq!(core.peers.listed_count(), 0);
    let listed = (2..9).map(|no| {
        let name = format!("vm-{no}").parse().unwrap();
        (name, crate::support::unused_addr())
    });
    core.peers.seed_members(listed.collect());
    assert_eq!(core.peers.listed_count(), 8);
}
