use crate::support::{Act, Caller, Process, Upstream, ask, request, wait_until};
use sesamegap_entry::clock;
use std::sync::Arc;
use std::time::Duration;

const CHAT: &str = "x-model: m\r\nx-parts: preamble,own\r\n";

fn events(range: std::ops::Range<u64>) -> String {
    let events: Vec<String> = range
        .map(|id| format!("id: {id}\ndata: t{id}\n\n"))
        .collect();
    events.concat()
}

#[tokio::test]
async fn events_reach_the_caller_in_order() {
    let process = Process::new().await;
    let engine = Upstream::start(vec![Act::Events(1..6)]).await;
    process.add("e1", "engines", engine.addr);
    let answer = ask(process.callers, "POST", "/chat/", CHAT, "hello").await;
    assert_eq!(answer.body, events(1..6));
    assert!(answer.is_complete);
    assert_eq!(answer.header("x-seal"), Some("s-r1"));
    let seen = engine.seen();
    assert!(
        seen[0].contains("x-space: w1"),
        "the namespace names the weights: {seen:?}"
    );
}

/// An engine has loaded new weights, and this VM is partitioned from its peers and does not know. Without the
/// retry, callers would get a 503 although the engine is free, until the fleet list reports the weights.
#[tokio::test]
async fn a_prompt_is_retried_with_the_weights_that_the_engine_reports() {
    let process = Process::new().await;
    let engine = Upstream::start(vec![Act::OtherWeights(2), Act::Events(1..6)]).await;
    process.add("e1", "engines", engine.addr);
    let answer = ask(process.callers, "POST", "/chat/", CHAT, "hello").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, &*events(1..6)));
    assert!(answer.is_complete);
    let seen = engine.seen();
    assert_eq!(seen.len(), 2);
    assert!(
        seen[0].contains("x-space: w1") && seen[1].contains("x-space: w2"),
        "cache entries of other weights must not be found: {seen:?}"
    );
}

/// Engines crash and restart at the same addresses under new ids, and the fleet list drops the old ids seconds
/// later. If each VM had to find that out by itself, each would lose a request at each engine.
#[tokio::test]
async fn a_reused_address_is_reported_to_all_vms() {
    let process = Process::new().await;
    let gone = Upstream::start(vec![Act::Elsewhere("e9")]).await;
    process.add("e1", "engines", gone.addr);
    ask(process.callers, "POST", "/chat/", CHAT, "hello").await;
    let reports = process.core.peers.outbox.take();
    assert_eq!(reports.len(), 1, "{reports:?}");
    assert_eq!(reports[0].engine.as_str(), "e1");
    assert!(reports[0].out_ms >= 5_000 && reports[0].weights.is_none());
}

/// An engine reports different weights in each response. Retries must not go on indefinitely.
#[tokio::test]
async fn retries_end_when_an_engine_reports_other_weights_each_time() {
    let process = Process::new().await;
    let acts = (2..40).map(Act::OtherWeights).collect();
    let engine = Upstream::start(acts).await;
    process.add("e1", "engines", engine.addr);
    let answer = ask(process.callers, "POST", "/chat/", CHAT, "hello").await;
    assert_eq!(answer.status, 503);
    assert!(engine.seen().len() <= 3, "{}", engine.seen().len());
}

/// An engine crashes within an event of a stream that must not be retried. The caller must be able to tell that
/// its response is incomplete.
#[tokio::test]
async fn a_broken_stream_does_not_look_complete() {
    let process = Process::new().await;
    let one = Upstream::start(vec![Act::CutEvents(1..4)]).await;
    let two = Upstream::start(vec![Act::Events(1..6)]).await;
    process.add("e1", "engines", one.addr);
    let answer = ask(process.callers, "POST", "/chat/", CHAT, "hello").await;
    assert!(!answer.is_complete);
    assert_eq!(answer.body, events(1..4), "no partial event is forwarded");
    assert_eq!(two.seen().len(), 0);
}

/// An engine crashes in the middle of a resumable stream. The caller must see one stream without missing or
/// duplicate events.
#[tokio::test]
async fn a_resumable_stream_continues_at_another_engine() {
    let process = Process::new().await;
    let one = Upstream::start(vec![Act::CutEvents(1..4), Act::Events(4..9)]).await;
    let two = Upstream::start(vec![Act::CutEvents(1..4), Act::Events(4..9)]).await;
    process.add("e1", "engines", one.addr);
    process.add("e2", "engines", two.addr);
    // Whichever engine is chosen first breaks off. The other then runs its first act too and starts over
    // instead of resuming, which uses up the route's attempts.
    let answer = ask(process.callers, "POST", "/review/", CHAT, "hello").await;
    assert!(!answer.is_complete);
    assert_eq!(
        answer.body,
        events(1..4),
        "events of a restarted stream are not appended"
    );
    let answer = ask(process.callers, "POST", "/review/", CHAT, "hello").await;
    assert_eq!(answer.body, events(4..9));
    let resumed = [one.seen(), two.seen()].concat();
    let after = resumed
        .iter()
        .filter(|request| request.contains("x-after: 3"));
    assert_eq!(after.count(), 1, "{resumed:?}");
}

/// As above, with a second engine that resumes where it is asked to.
#[tokio::test]
async fn a_resumed_stream_has_no_gaps_or_duplicates() {
    let process = Process::new().await;
    let one = Upstream::start(vec![Act::CutEvents(1..4)]).await;
    process.add("e1", "engines", one.addr);
    let two = Upstream::start(vec![Act::Events(4..9)]).await;
    let mut caller = Caller::connect(process.callers).await;
    // The second engine is added once the first has the request.
    caller.send(&request("POST", "/review/", CHAT, "")).await;
    while one.seen().is_empty() {
        tokio::task::yield_now().await;
    }
    process.add("e2", "engines", two.addr);
    let answer = caller.answer().await;
    assert_eq!(answer.body, events(1..9));
    assert!(answer.is_complete);
    assert_eq!(
        answer.header("x-seal"),
        Some("s-r1"),
        "the head is the first engine's"
    );
}

/// An engine goes silent in the middle of a resumable stream without closing the connection. The caller would
/// wait until its own timeout.
#[tokio::test]
async fn a_stream_moves_from_a_silent_engine_to_another() {
    let process = Process::new().await;
    let stuck = Upstream::start(vec![Act::StalledEvents(1..3)]).await;
    process.add("e1", "engines", stuck.addr);
    let other = Upstream::start(vec![Act::Events(3..6)]).await;
    let mut caller = Caller::connect(process.callers).await;
    caller.send(&request("POST", "/review/", CHAT, "")).await;
    caller.until("t2").await;
    process.add("e2", "engines", other.addr);
    let answer = caller.answer().await;
    assert_eq!(answer.body, events(1..6));
    assert!(answer.is_complete);
    // It is closed once the other engine goes on, so that both do not work on one request.
    wait_until(|| stuck.closed() == 1).await;
}

/// A caller disconnects in the middle of its stream. The engine must not keep generating for nobody.
#[tokio::test]
async fn a_callers_disconnect_closes_the_engine_connection() {
    let process = Process::new().await;
    let engine = Upstream::start(vec![Act::StalledEvents(1..3)]).await;
    process.add("e1", "engines", engine.addr);
    let mut caller = Caller::connect(process.callers).await;
    caller.send(&request("POST", "/chat/", CHAT, "")).await;
    caller.until("t2").await;
    drop(caller);
    while engine.closed() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(process.core.active(), 0);
}

/// As above, before the engine has sent anything.
#[tokio::test]
async fn a_callers_disconnect_before_the_first_event_closes_the_engine_connection() {
    let process = Process::new().await;
    let engine = Upstream::start(vec![Act::Silent]).await;
    process.add("e1", "engines", engine.addr);
    let mut caller = Caller::connect(process.callers).await;
    caller.send(&request("POST", "/chat/", CHAT, "")).await;
    while engine.seen().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(caller);
    while engine.closed() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// An engine closes the connection of a chat before the first event. The chat must not run twice.
#[tokio::test]
async fn a_chat_that_may_have_run_is_not_retried() {
    let process = Process::new().await;
    let one = Upstream::start(vec![Act::Close]).await;
    let two = Upstream::start(vec![Act::Close]).await;
    process.add("e1", "engines", one.addr);
    process.add("e2", "engines", two.addr);
    let answer = ask(process.callers, "POST", "/chat/", CHAT, "hello").await;
    assert_eq!(answer.status, 502);
    assert_eq!(one.seen().len() + two.seen().len(), 1);
}

/// An engine that is loading weights reports that it did not run the chat.
#[tokio::test]
async fn a_chat_that_did_not_run_is_retried_at_another_engine() {
    let process = Process::new().await;
    let full = Upstream::start(vec![Act::NotRun(503)]).await;
    let good = Upstream::start(vec![Act::Events(1..3)]).await;
    process.add("e1", "engines", full.addr);
    process.add("e2", "engines", good.addr);
    for _ in 0..4 {
        let answer = ask(process.callers, "POST", "/chat/", CHAT, "hello").await;
        assert_eq!(answer.body, events(1..3));
    }
}

/// The only engine is full and pauses for seconds in the middle of a resumable stream. Abandoning it would cut
/// off a response that it is still generating.
#[tokio::test]
async fn a_stream_stays_at_a_silent_engine_without_an_alternative() {
    let process = Process::new().await;
    let pause = Duration::from_millis(2_600);
    let slow = Upstream::start(vec![Act::PausedEvents(1..3, pause, 6)]).await;
    process.add("e1", "engines", slow.addr);
    let answer = ask(process.callers, "POST", "/review/", CHAT, "hello").await;
    assert!(answer.is_complete);
    assert_eq!(answer.body, events(1..6));
    assert_eq!(slow.seen().len(), 1);
}

/// Guards against a stream that is cut though its engine goes on: the engine is silent for a while, and the other one, which
/// falls over when it rejects too much, has no room.
#[tokio::test]
async fn a_stream_stays_at_a_silent_engine_while_engines_are_brittle() {
    let process = Process::new().await;
    let pause = Duration::from_millis(2_600);
    let slow = Upstream::start(vec![Act::PausedEvents(1..3, pause, 6)]).await;
    let full = Upstream::start(vec![Act::NotRun(503)]).await;
    process.add("e1", "engines", slow.addr);
    let core = Arc::clone(&process.core);
    let states_brittle = tokio::spawn(async move {
        let engines = "engines".parse().unwrap();
        loop {
            let now = clock::now();
            core.fleet.lock().record_brittle(&engines, Some(1_000), now);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    let mut caller = Caller::connect(process.callers).await;
    caller.send(&request("POST", "/review/", CHAT, "")).await;
    while slow.seen().is_empty() {
        tokio::task::yield_now().await;
    }
    process.add("e2", "engines", full.addr);
    let answer = caller.answer().await;
    states_brittle.abort();
    assert!(answer.is_complete, "{answer:?}");
    assert_eq!(answer.body, events(1..6));
    assert_eq!((slow.seen().len(), full.seen().len()), (1, 0));
}

/// An engine crashes in the middle of a resumable stream while the others briefly refuse requests. Giving up
/// would cut off a response that could be resumed a little later.
#[tokio::test]
async fn resumption_waits_for_an_available_engine() {
    let process = Process::new().await;
    let one = Upstream::start(vec![Act::CutEvents(1..4)]).await;
    process.add("e1", "engines", one.addr);
    let mut caller = Caller::connect(process.callers).await;
    caller.send(&request("POST", "/review/", CHAT, "")).await;
    while one.seen().is_empty() {
        tokio::task::yield_now().await;
    }
    let busy = vec![
        Act::NotRun(503),
        Act::NotRun(503),
        Act::NotRun(503),
        Act::NotRun(503),
        Act::Events(4..9),
    ];
    let two = Upstream::start(busy).await;
    process.add("e2", "engines", two.addr);
    let answer = caller.answer().await;
    assert_eq!(answer.body, events(1..9));
    assert!(answer.is_complete);
}
