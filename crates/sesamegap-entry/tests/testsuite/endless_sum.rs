//! Many upstreams' answers that cannot be passed on yet, at once.

use crate::support::{Act, Process, Upstream, ask, wait_until};
use std::time::Duration;
use tokio::task::JoinSet;

/// Requests at once.
const REQUESTS: usize = 200;

/// Bytes of an answer that it sends before it drips: fewer than one answer alone may have.
const BYTES: usize = 192 << 10;

/// Time of the routes: longer than the test waits.
const TIME: Duration = Duration::from_mins(1);

/// Sound requests beside them, and bytes of a plain answer to one.
const SOUND: usize = 10;
const SOUND_BYTES: usize = 48 << 10;

const CHAT: &str = "x-model: m\r\nx-parts: preamble,own\r\n";

fn head(status: u16) -> String {
    format!("HTTP/1.1 {status} X\r\nx-id: ID\r\nx-seal: s-ID\r\ntransfer-encoding: chunked\r\n\r\n")
}

/// Asks many times for answers whose bytes cannot be passed on, and a few times beside them for whole ones.
async fn hold(service: &str, path: &'static str, status: u16) {
    let headers = if service == "engines" { CHAT } else { "" };
    let process = Process::with_timeout(TIME).await;
    let bound = process.core.settings().answer_memory;
    let first = format!("{}{BYTES:x}\r\n{}\r\n", head(status), "x".repeat(BYTES));
    let endless = Upstream::start(vec![Act::Drip(
        first.into(),
        "1\r\nx\r\n",
        Duration::from_millis(500),
    )])
    .await;
    process.add("u1", service, endless.addr);
    let mut asked = JoinSet::new();
    for _ in 0..REQUESTS {
        asked.spawn(ask(process.callers, "POST", path, headers, ""));
    }
    wait_until(|| endless.seen().len() >= REQUESTS).await;
    wait_until(|| (endless.seen().len() - endless.closed()) * BYTES <= bound).await;
    assert!(process.core.answers.peak() <= bound);
    while let Some(ended) = asked.try_join_next() {
        // Fails too if a caller gave up, which would free memory without the bound.
        assert!(ended.unwrap().status >= 500);
    }

    // Those that are left hold most of the memory still.
    let (sound, path, headers, act) = match service {
        "engines" => (
            "desk",
            "/save/a",
            "",
            Act::Answer(200, "y".repeat(SOUND_BYTES).leak()),
        ),
        _ => ("engines", "/chat/a", CHAT, Act::Events(0..SOUND as u64)),
    };
    let upstream = Upstream::start(vec![act]).await;
    process.add("u2", sound, upstream.addr);
    for _ in 0..SOUND {
        let answer = ask(process.callers, "POST", path, headers, "").await;
        assert_eq!(answer.status, 200);
        assert!(answer.is_complete);
    }
    assert!(process.core.answers.peak() <= bound);

    asked.abort_all();
    while asked.join_next().await.is_some() {}
    wait_until(|| process.core.answers.held() == 0).await;
}

/// Guards against events without end that fill a VM's memory together.
#[tokio::test]
async fn many_partial_events_stay_under_one_bound() {
    hold("engines", "/chat/a", 200).await;
}

/// Guards against error bodies without end that fill a VM's memory together.
#[tokio::test]
async fn many_error_bodies_stay_under_one_bound() {
    hold("engines", "/chat/a", 500).await;
}

/// Guards against plain answers without end that fill a VM's memory together.
#[tokio::test]
async fn many_plain_answers_stay_under_one_bound() {
    hold("desk", "/save/a", 200).await;
}
