//! Resumable streams whose engine falls silent, and what becomes of them at two engines.

use crate::support::{
    Act, Answer, Caller, Process, Upstream, ask, request, request_of, wait_until,
};
use sesamegap_entry::clock;
use sesamegap_entry::core::Phase;
use sesamegap_entry::process;
use sesamegap_policy::routing::timeouts::{FIRST_EVENT_BUSY, SILENT_AFTER};
use std::time::Duration;

const CHAT: &str = "x-model: m\r\nx-parts: preamble,own\r\n";

/// A sound engine falls silent for that long.
const PAUSE: Duration = Duration::from_millis(1_300);

/// Longer than a pause, and shorter than the route's timeout.
const LONG_PAUSE: Duration = Duration::from_millis(2_600);

fn events(range: std::ops::Range<u64>) -> String {
    let events: Vec<String> = range
        .map(|id| format!("id: {id}\ndata: t{id}\n\n"))
        .collect();
    events.concat()
}

/// A stream at one engine, beside another engine that joined after the first events.
struct Beside {
    process: Process,
    first: Upstream,
    other: Upstream,
    caller: Caller,
}

impl Beside {
    async fn start(first: Act, other: Act) -> Self {
        let process = Process::new().await;
        let first = Upstream::start(vec![first]).await;
        let other = Upstream::start(vec![other]).await;
        process.add("e1", "engines", first.addr);
        let mut caller = Caller::connect(process.callers).await;
        caller.send(&request("POST", "/review/", CHAT, "")).await;
        caller.until("t2").await;
        process.add("e2", "engines", other.addr);
        Self {
            process,
            first,
            other,
            caller,
        }
    }

    async fn answer(&mut self) -> Answer {
        self.caller.answer().await
    }
}

/// An engine that pauses for this long after two events of five.
fn paused(pause: Duration) -> Act {
    Act::PausedEvents(1..3, pause, 6)
}

fn assert_whole(answer: &Answer) {
    assert_eq!(answer.body, events(1..6));
    assert!(answer.is_complete, "{answer:?}");
}

/// The first engine pauses, for a short and for a long time, beside another one that is of no use.
async fn stays_whole_beside(other: Act) {
    let (mut short, mut long) = tokio::join!(
        Beside::start(paused(PAUSE), other.clone()),
        Beside::start(paused(LONG_PAUSE), other)
    );
    let (after_short, after_long) = tokio::join!(short.answer(), long.answer());
    assert_whole(&after_short);
    assert_whole(&after_long);
    for streams in [&short, &long] {
        assert_eq!(streams.first.seen().len(), 1);
    }
}

/// Guards against a stream that is given up in its engine's pause, while the other engine refuses it.
#[tokio::test]
async fn a_pause_beside_an_engine_that_refuses_ends_no_stream() {
    stays_whole_beside(Act::NotRun(503)).await;
}

/// Guards against a stream that is given up in its engine's pause, since the other engine answers with a failure.
#[tokio::test]
async fn a_pause_beside_an_engine_that_fails_ends_no_stream() {
    stays_whole_beside(Act::Answer(500, "failed")).await;
}

/// Guards against a stream that is given up in its engine's pause, since the other engine closes the connection.
#[tokio::test]
async fn a_pause_beside_an_engine_that_closes_ends_no_stream() {
    stays_whole_beside(Act::Close).await;
}

/// Guards against a stream that is given up in its engine's pause, while the other engine is silent too.
#[tokio::test]
async fn a_pause_beside_a_silent_engine_ends_no_stream() {
    stays_whole_beside(Act::Silent).await;
}

/// Guards against a stream that is given up in its engine's pause, since the other engine begins and breaks off.
#[tokio::test]
async fn a_pause_beside_an_engine_that_begins_anew_ends_no_stream() {
    stays_whole_beside(Act::Events(1..6)).await;
}

/// Guards against a stream that is given up before its head, while the other engine refuses, fails or is silent too.
#[tokio::test]
async fn silence_before_the_head_ends_no_stream() {
    let others = [
        Act::NotRun(503),
        Act::Answer(500, "failed"),
        Act::Close,
        Act::Silent,
    ];
    let mut tasks = Vec::new();
    for other in others {
        tasks.push(tokio::spawn(async move {
            let process = Process::new().await;
            let late = Act::After(FIRST_EVENT_BUSY + PAUSE, Box::new(Act::Events(1..6)));
            let first = Upstream::start(vec![late]).await;
            let other = Upstream::start(vec![other]).await;
            process.add("e1", "engines", first.addr);
            let mut caller = Caller::connect(process.callers).await;
            caller.send(&request("POST", "/review/", CHAT, "")).await;
            wait_until(|| first.seen().len() == 1).await;
            process.add("e2", "engines", other.addr);
            let answer = caller.answer().await;
            wait_until(|| other.closed() == other.seen().len()).await;
            answer
        }));
    }
    for task in tasks {
        assert_whole(&task.await.unwrap());
    }
}

/// Guards against streams that all leave their engines for other silent ones, and are paid for twice.
#[tokio::test]
async fn a_pause_of_all_engines_moves_no_stream() {
    let process = Process::new().await;
    let engines = [
        Upstream::start(vec![paused(PAUSE)]).await,
        Upstream::start(vec![paused(PAUSE)]).await,
    ];
    for (engine, id) in engines.iter().zip(["e1", "e2"]) {
        process.add(id, "engines", engine.addr);
    }
    let mut callers = Vec::new();
    for no in 0..6 {
        let mut caller = Caller::connect(process.callers).await;
        let request = request_of(&format!("r{no}"), "POST", "/review/", CHAT, "");
        caller.send(&request).await;
        callers.push(caller);
    }
    for caller in &mut callers {
        assert_whole(&caller.answer().await);
    }
    let arrivals: usize = engines.iter().map(|engine| engine.seen().len()).sum();
    assert_eq!(arrivals, 6, "no stream is sent twice");
}

/// Guards against a pause of all engines that counts as the silence of one.
#[tokio::test]
async fn engines_that_are_silent_together_are_told_apart_from_one() {
    let process = Process::new().await;
    let stalled = Act::StalledEvents(1..3);
    let mut callers = Vec::new();
    let mut engines = Vec::new();
    let service = "engines".parse().unwrap();
    let is_common = |id: &str| {
        let fleet = process.core.fleet.lock();
        fleet.is_silence_common(&service, &id.parse().unwrap(), clock::now())
    };
    for id in ["e1", "e2"] {
        let engine = Upstream::start(vec![stalled.clone()]).await;
        process.add(id, "engines", engine.addr);
        // Requests go to either engine.
        while engine.seen().is_empty() {
            let mut caller = Caller::connect(process.callers).await;
            let name = format!("r{}", callers.len());
            caller
                .send(&request_of(&name, "POST", "/chat/", CHAT, ""))
                .await;
            caller.until("t2").await;
            callers.push(caller);
        }
        if id == "e1" {
            tokio::time::sleep(SILENT_AFTER).await;
            assert!(!is_common("e1"), "nothing is known of others");
        }
        engines.push(engine);
    }
    tokio::time::sleep(SILENT_AFTER).await;
    assert!(is_common("e1") && is_common("e2"));
}

/// Guards against a stream that waits for an engine that never returns.
#[tokio::test]
async fn a_stream_goes_on_elsewhere_if_its_engine_stays_silent() {
    let stalled = Act::StalledEvents(1..3);
    let mut streams = Beside::start(stalled, Act::Events(3..6)).await;
    assert_whole(&streams.answer().await);
    wait_until(|| streams.first.closed() == 1).await;
    assert_eq!(
        (streams.first.seen().len(), streams.other.seen().len()),
        (1, 1)
    );
}

/// Guards against two runs that go on at once, after the silent engine woke first.
#[tokio::test]
async fn the_second_run_is_closed_if_the_silent_engine_wakes() {
    let mut streams = Beside::start(paused(LONG_PAUSE), Act::Silent).await;
    assert_whole(&streams.answer().await);
    assert_eq!(streams.other.seen().len(), 1);
    wait_until(|| streams.other.closed() == 1).await;
}

/// Guards against events of a silent engine that wakes after another one went on.
#[tokio::test]
async fn a_silent_engine_is_closed_once_another_goes_on() {
    let late = Act::PausedEvents(1..3, Duration::from_secs(4), 6);
    let slow = Act::PausedEvents(3..4, Duration::from_secs(2), 6);
    let mut streams = Beside::start(late, slow).await;
    streams.caller.until("t3").await;
    wait_until(|| streams.process.core.active() == 1).await;
    assert_whole(&streams.answer().await);
    wait_until(|| streams.first.closed() == 1).await;
}

/// Guards against an event that comes twice or is missing if both engines send at the same time.
#[tokio::test]
async fn engines_that_send_at_the_same_time_make_one_stream() {
    let mut tasks = Vec::new();
    for step in 0..12 {
        let pause = Duration::from_millis(800 + 100 * step);
        tasks.push(tokio::spawn(async move {
            let mut streams = Beside::start(paused(pause), Act::Events(3..6)).await;
            streams.answer().await
        }));
    }
    for task in tasks {
        assert_whole(&task.await.unwrap());
    }
}

/// Guards against a stop that cuts a stream which waits for its silent engine, or for another one.
#[tokio::test]
async fn a_stop_cuts_no_stream_that_is_silent() {
    let others = [Act::Silent, Act::NotRun(503), Act::Events(3..6)];
    for (other, phase) in others
        .into_iter()
        .zip([Phase::Leaving, Phase::Closing, Phase::Ended])
    {
        let mut streams = Beside::start(paused(LONG_PAUSE), other).await;
        let core = std::sync::Arc::clone(&streams.process.core);
        tokio::spawn(async move {
            for next in [Phase::Leaving, Phase::Closing, Phase::Ended] {
                core.advance_phase(next);
                if next == phase {
                    tokio::time::sleep(PAUSE).await;
                }
            }
        });
        assert_whole(&streams.answer().await);
        wait_until(|| streams.process.core.active() == 0).await;
    }
}

/// Guards against a process that ends before a stream whose engine is silent while it stops.
#[tokio::test]
async fn a_process_that_stops_waits_for_a_silent_stream() {
    let mut streams = Beside::start(paused(LONG_PAUSE), Act::NotRun(503)).await;
    let core = std::sync::Arc::clone(&streams.process.core);
    tokio::select! {
        biased;
        answer = streams.answer() => assert_whole(&answer),
        () = process::stop(&core) => panic!("stopped with a stream in flight"),
    }
}

/// Guards against a resumed stream that ends as complete though the second engine sent none of the missing events.
#[tokio::test]
async fn a_second_run_without_events_does_not_complete_a_stream() {
    let mut streams = Beside::start(Act::CutEvents(1..4), Act::Events(4..4)).await;
    let answer = streams.answer().await;
    assert!(!answer.is_complete, "{answer:?}");
    assert_eq!(answer.body, events(1..4));
}

/// Guards against a second run that is joined to the first though its first event has no number.
#[tokio::test]
async fn a_second_run_without_numbers_is_not_joined() {
    let unnumbered =
        "HTTP/1.1 200 X\r\nx-id: r1\r\nx-seal: s\r\ncontent-length: 10\r\n\r\ndata: t1\n\n";
    let mut streams = Beside::start(Act::CutEvents(1..4), Act::Bytes(unnumbered)).await;
    let answer = streams.answer().await;
    assert!(!answer.is_complete, "{answer:?}");
    assert_eq!(answer.body, events(1..4));
}

/// Guards against a stream that a caller takes up, and that begins anew or elsewhere behind what the caller has.
#[tokio::test]
async fn a_stream_that_is_taken_up_begins_with_the_next_event() {
    let process = Process::new().await;
    let ranges = [1..4, 1..6, 5..6, 4..6, 6..6];
    let acts = ranges.into_iter().map(Act::Events).collect();
    let engine = Upstream::start(acts).await;
    process.add("e1", "engines", engine.addr);
    let begun = ask(process.callers, "POST", "/review/", CHAT, "").await;
    assert_eq!(begun.body, events(1..4));
    let take_up = format!("{CHAT}x-after: 3\r\nx-resumes: r1\r\n");
    for _ in 0..2 {
        let answer = ask(process.callers, "POST", "/review/", &take_up, "").await;
        assert_eq!(
            (answer.status, answer.header("x-seal")),
            (502, None),
            "{answer:?}"
        );
    }
    let answer = ask(process.callers, "POST", "/review/", &take_up, "").await;
    assert_eq!(answer.body, events(4..6));
    // Its first run may have broken off behind the last event.
    let answer = ask(process.callers, "POST", "/review/", &take_up, "").await;
    assert_eq!(
        (answer.status, answer.is_complete),
        (200, true),
        "{answer:?}"
    );
}
