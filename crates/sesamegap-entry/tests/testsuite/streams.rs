use crate::support::{Act, Caller, Process, Upstream, ask, request};
use std::time::Duration;

const CHAT: &str = "x-model: m\r\nx-parts: preamble,own\r\n";

fn events(range: std::ops::Range<u64>) -> String {
    let events: Vec<String> = range
        .map(|id| format!("id: {id}\ndata: t{id}\n\n"))
        .collect();
    events.concat()
}

#[tokio::test]
async fn events_go_to_the_caller_in_order() {
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

/// An engine has new weights, and this VM, cut off from its peers, has not heard of it. Its callers
/// would be told to come back while the engine is free, until the list tells of the weights.
#[tokio::test]
async fn an_engine_that_has_other_weights_is_asked_again_for_those() {
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
        "cached parts of other weights must not be found: {seen:?}"
    );
}

/// Engines crash and come back at their addresses under new ids, and the list drops the old ones
/// seconds later. If each VM found that out for itself, each would lose a request at each engine.
#[tokio::test]
async fn that_another_instance_has_an_address_is_told_to_all_vms() {
    let process = Process::new().await;
    let gone = Upstream::start(vec![Act::Elsewhere("e9")]).await;
    process.add("e1", "engines", gone.addr);
    ask(process.callers, "POST", "/chat/", CHAT, "hello").await;
    let told = process.core.peers.outbox.take();
    assert_eq!(told.len(), 1, "{told:?}");
    assert_eq!(told[0].engine.as_str(), "e1");
    assert!(told[0].out_ms >= 5_000 && told[0].weights.is_none());
}

/// An engine that never says the same twice must not be asked for ever.
#[tokio::test]
async fn an_engine_whose_weights_always_differ_is_given_up() {
    let process = Process::new().await;
    let acts = (2..40).map(Act::OtherWeights).collect();
    let engine = Upstream::start(acts).await;
    process.add("e1", "engines", engine.addr);
    let answer = ask(process.callers, "POST", "/chat/", CHAT, "hello").await;
    assert_eq!(answer.status, 503);
    assert!(engine.seen().len() <= 3, "{}", engine.seen().len());
}

/// An engine crashes in the middle of an event of a stream that may run only once. The caller
/// must see that its answer is not whole.
#[tokio::test]
async fn a_stream_that_breaks_off_does_not_look_whole() {
    let process = Process::new().await;
    let one = Upstream::start(vec![Act::CutEvents(1..4)]).await;
    let two = Upstream::start(vec![Act::Events(1..6)]).await;
    process.add("e1", "engines", one.addr);
    let answer = ask(process.callers, "POST", "/chat/", CHAT, "hello").await;
    assert!(!answer.is_complete);
    assert_eq!(answer.body, events(1..4), "no half event is passed on");
    assert_eq!(two.seen().len(), 0);
}

/// An engine crashes in the middle of a stream that may go on elsewhere. The caller must see one
/// stream, with no event missing and none twice.
#[tokio::test]
async fn a_resumable_stream_goes_on_at_another_engine() {
    let process = Process::new().await;
    let one = Upstream::start(vec![Act::CutEvents(1..4), Act::Events(4..9)]).await;
    let two = Upstream::start(vec![Act::CutEvents(1..4), Act::Events(4..9)]).await;
    process.add("e1", "engines", one.addr);
    process.add("e2", "engines", two.addr);
    // Whichever engine comes first breaks off; the other has not been asked yet, so it plays its
    // first act too and breaks off once more, which ends the route's attempts.
    let answer = ask(process.callers, "POST", "/review/", CHAT, "hello").await;
    assert!(!answer.is_complete);
    assert_eq!(
        answer.body,
        events(1..4),
        "events of a second start are not joined on"
    );
    let answer = ask(process.callers, "POST", "/review/", CHAT, "hello").await;
    assert_eq!(answer.body, events(4..9));
    let resumed = [one.seen(), two.seen()].concat();
    let after = resumed
        .iter()
        .filter(|request| request.contains("x-after: 3"));
    assert_eq!(after.count(), 1, "{resumed:?}");
}

/// As above, with an engine that goes on where it is asked to.
#[tokio::test]
async fn a_resumed_stream_is_joined_without_a_seam() {
    let process = Process::new().await;
    let one = Upstream::start(vec![Act::CutEvents(1..4)]).await;
    process.add("e1", "engines", one.addr);
    let two = Upstream::start(vec![Act::Events(4..9)]).await;
    let mut caller = Caller::connect(process.callers).await;
    // The second engine joins once the first has the request.
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
        "the head stays the first engine's"
    );
}

/// An engine goes silent in the middle of a resumable stream without closing. Its caller would
/// wait until it gives up.
#[tokio::test]
async fn a_silent_engine_is_left_for_another() {
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
    assert_eq!(
        stuck.closed(),
        1,
        "the silent engine's connection is closed first"
    );
}

/// A caller goes away in the middle of its stream. Its engine would go on working for nobody.
#[tokio::test]
async fn an_engine_is_left_when_its_caller_leaves() {
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

/// As above, before the engine has said anything.
#[tokio::test]
async fn an_engine_is_left_when_its_caller_leaves_before_the_first_event() {
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

/// A chat was given to an engine that broke off before its first event. It may run only once.
#[tokio::test]
async fn a_chat_that_may_have_run_is_not_repeated() {
    let process = Process::new().await;
    let one = Upstream::start(vec![Act::Close]).await;
    let two = Upstream::start(vec![Act::Close]).await;
    process.add("e1", "engines", one.addr);
    process.add("e2", "engines", two.addr);
    let answer = ask(process.callers, "POST", "/chat/", CHAT, "hello").await;
    assert_eq!(answer.status, 502);
    assert_eq!(one.seen().len() + two.seen().len(), 1);
}

/// An engine that takes new weights says that it did not run the chat.
#[tokio::test]
async fn a_chat_that_was_not_run_goes_to_another_engine() {
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

/// The only engine pauses for seconds in the middle of a resumable stream, since it is full. Leaving
/// it would cut an answer that it is still working on.
#[tokio::test]
async fn a_silent_engine_is_not_left_when_there_is_no_other() {
    let process = Process::new().await;
    let pause = Duration::from_millis(2_600);
    let slow = Upstream::start(vec![Act::PausedEvents(1..3, pause, 6)]).await;
    process.add("e1", "engines", slow.addr);
    let answer = ask(process.callers, "POST", "/review/", CHAT, "hello").await;
    assert!(answer.is_complete);
    assert_eq!(answer.body, events(1..6));
    assert_eq!(slow.seen().len(), 1);
}

/// An engine dies in the middle of a resumable stream while the others refuse work for a moment.
/// Giving up then would cut an answer that could be gone on with a little later.
#[tokio::test]
async fn a_resumed_stream_waits_for_an_engine_that_takes_it() {
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
