//! Upstreams and peers that send bytes without end until their connection is closed.

use crate::support::{Act, Answer, Process, Upstream, ask, wait_until};
use sesamegap_entry::catalogue::Revision;
use sesamegap_entry::follow::DocumentQuestion;
use sesamegap_entry::peers;
use sesamegap_policy::agreement::replication::Ask;
use std::time::Duration;

/// Most bytes that a VM may take from such an upstream before it closes, with what the sockets hold.
const MAX_TAKEN: usize = 16 << 20;

const CHAT: &str = "x-model: m\r\nx-parts: preamble,own\r\n";

/// A head that is followed by chunks.
const CHUNKED: &str =
    "HTTP/1.1 200 X\r\nx-id: ID\r\nx-seal: s-ID\r\ntransfer-encoding: chunked\r\n\r\n";

/// Asks a process whose upstreams of a service all act alike, on routes that end after a time.
async fn ask_upstreams(service: &str, act: Act, path: &str, time: Duration) -> (Answer, Upstream) {
    let process = Process::with_timeout(time).await;
    let upstream = Upstream::start(vec![act]).await;
    process.add("u1", service, upstream.addr);
    let headers = if service == "engines" { CHAT } else { "" };
    let answer = ask(process.callers, "POST", path, headers, "").await;
    (answer, upstream)
}

/// Guards against a VM that reads a head until its memory is full.
#[tokio::test]
async fn a_head_without_end_is_given_up() {
    let act = Act::Endless("HTTP/1.1 200 X\r\n", "x-more: more-and-more-and-more\r\n");
    let time = Duration::from_secs(6);
    let (answer, upstream) = ask_upstreams("desk", act, "/save/a", time).await;
    assert_eq!(answer.status, 502);
    wait_until(|| upstream.closed() == 1).await;
    assert!(upstream.sent() < MAX_TAKEN, "{} bytes", upstream.sent());
}

/// Guards against a VM that passes an answer on for ever: the caller's time is over, and the upstream never closes.
#[tokio::test]
async fn a_body_without_end_ends_with_the_request() {
    // In pieces that pass what is buffered long before the time is up, also on a busy machine.
    let piece = format!("1000\r\n{}\r\n", "0123456789abcdef".repeat(256));
    let act = Act::Endless(CHUNKED, piece.leak());
    let time = Duration::from_millis(700);
    let (answer, upstream) = ask_upstreams("desk", act, "/pull/a", time).await;
    assert_eq!(answer.status, 200, "{} bytes", upstream.sent());
    assert!(!answer.is_complete, "a body that was ended looks whole");
    wait_until(|| upstream.closed() == 1).await;
}

/// Guards against a VM whose memory is filled by the body of an error response, which is read whole.
#[tokio::test]
async fn an_error_body_without_end_is_given_up() {
    let head = "HTTP/1.1 500 X\r\nx-id: ID\r\nx-seal: s-ID\r\ntransfer-encoding: chunked\r\n\r\n";
    let act = Act::Endless(head, "10\r\n0123456789abcdef\r\n");
    let time = Duration::from_secs(15);
    let (answer, upstream) = ask_upstreams("engines", act, "/chat/a", time).await;
    assert_eq!(answer.status, 502);
    wait_until(|| upstream.closed() == 1).await;
    assert!(upstream.sent() < MAX_TAKEN, "{} bytes", upstream.sent());
}

/// Guards against a stream that goes on after its deadline, because the upstream never pauses.
#[tokio::test]
async fn events_without_end_end_with_the_request() {
    let act = Act::Endless(CHUNKED, "4\r\n: x\n\r\n2\r\n\n\n\r\n");
    let time = Duration::from_millis(700);
    let (answer, upstream) = ask_upstreams("engines", act, "/chat/a", time).await;
    assert!(!answer.is_complete, "a stream that was ended looks whole");
    wait_until(|| upstream.closed() == 1).await;
}

/// Guards against a VM whose memory is filled by a peer's answer.
#[tokio::test]
async fn a_peers_answer_without_end_is_given_up() {
    let process = Process::empty().await;
    let act = Act::Endless(CHUNKED, "10\r\n0123456789abcdef\r\n");
    let peer = Upstream::start(vec![act]).await;
    let question = DocumentQuestion {
        revision: Revision(1),
        ask: Ask::Outline,
    };
    let reply = peers::ask_document(&process.core, peer.addr, &question).await;
    assert!(reply.is_err());
    wait_until(|| peer.closed() == 1).await;
    assert!(peer.sent() < MAX_TAKEN, "{} bytes", peer.sent());
}
