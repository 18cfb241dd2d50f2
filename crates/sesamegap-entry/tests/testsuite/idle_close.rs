//! Requests that arrive just as their idle connection is closed.
//!
//! The process closes idle connections when it shuts down and when they reach the idle limit. If it was busy or
//! paused, a request may already be in the socket unread; closing the connection then leaves the caller unable to
//! tell whether its request ran. In the older router, two of four traced failures showed
//! `connection closed with a caller's bytes unread` in the log beside the caller's error.

use crate::support::{Act, Caller, Process, Upstream, ask, document};
use sesamegap_entry::core::Phase;
use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

const SAVE_REQUEST: &str = "POST /save/ HTTP/1.1\r\nhost: desk.example\r\nx-id: r2\r\nauthorization: clerks-key\r\ncontent-length: 0\r\n\r\n";

/// An idle limit that no test reaches.
const LONG_IDLE_LIMIT: Duration = Duration::from_mins(1);

/// Repetitions of each race, as the close could come second by chance.
const REPETITIONS: usize = 12;

/// A process whose worker answers all requests, and a caller with an idle connection to it.
async fn idle_caller(idle_limit: Duration) -> (Process, Upstream, Caller) {
    let process = Process::empty().await;
    let mut document = document(1);
    document.limits.idle_time = idle_limit;
    process.core.adopt(&Arc::new(document), "test");
    let worker = Upstream::start(vec![Act::Answer(200, "ok"); 3]).await;
    process.add("w1", "desk", worker.addr);
    let mut caller = Caller::connect(process.callers).await;
    caller.send(SAVE_REQUEST).await;
    assert_eq!(caller.answer().await.body, "ok");
    (process, worker, caller)
}

#[tokio::test]
async fn an_unread_request_is_answered_before_shutdown_closes_the_connection() {
    for _ in 0..REPETITIONS {
        let (process, _worker, mut caller) = idle_caller(LONG_IDLE_LIMIT).await;
        process.core.advance_phase(Phase::Leaving);
        caller.send_now(SAVE_REQUEST);
        process.core.advance_phase(Phase::Closing);
        let answer = caller.answer().await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "ok"));
        assert_eq!(answer.header("connection"), Some("close"));
        assert!(caller.is_closed().await);
    }
}

/// The VM is paused for longer than the idle limit. When it resumes, the limit has expired and the request
/// is already in the socket.
#[tokio::test]
async fn an_unread_request_is_answered_after_the_idle_limit() {
    for _ in 0..REPETITIONS {
        let idle_limit = Duration::from_millis(100);
        let (_process, _worker, mut caller) = idle_caller(idle_limit).await;
        caller.send_now(SAVE_REQUEST);
        // Blocks the runtime's only thread, as a pause of the VM does.
        std::thread::sleep(idle_limit + Duration::from_millis(20));
        assert_eq!(caller.answer().await.body, "ok");
    }
}

/// Part of a request head has arrived when the process shuts down. The rest follows.
#[tokio::test]
async fn a_partial_head_is_read_to_its_end_during_shutdown() {
    let (process, _worker, mut caller) = idle_caller(LONG_IDLE_LIMIT).await;
    let (half, rest) = SAVE_REQUEST.split_at(20);
    caller.send(half).await;
    // Once another request has been answered, the partial head has been read too.
    let other = ask(process.callers, "POST", "/save/", "", "").await;
    assert_eq!(other.status, 200);
    process.core.advance_phase(Phase::Closing);
    for _ in 0..20 {
        tokio::task::yield_now().await;
    }
    caller.send(rest).await;
    assert_eq!(caller.answer().await.body, "ok");
}

/// A caller has connected and sent its request, but the process shuts down before it accepts the connection.
/// Closing the listening socket would reset it.
#[tokio::test]
async fn a_connection_in_the_accept_queue_is_served_during_shutdown() {
    for _ in 0..REPETITIONS {
        let process = Process::new().await;
        let worker = Upstream::start(vec![Act::Answer(200, "ok")]).await;
        process.add("w1", "desk", worker.addr);
        // Lets the process start accepting connections.
        tokio::time::sleep(Duration::from_millis(5)).await;
        let mut stream = std::net::TcpStream::connect(process.callers).unwrap();
        stream.write_all(SAVE_REQUEST.as_bytes()).unwrap();
        process.core.advance_phase(Phase::Ended);
        let mut caller = Caller::from_stream(stream);
        assert_eq!(caller.answer().await.body, "ok");
    }
}

/// Callers keep connecting while a process shuts down. If it accepted all of them, the port would stay open, and
/// a chat that arrived three seconds after the stop signal would be cut off when the process is killed.
#[tokio::test]
async fn new_connections_do_not_keep_the_port_open() {
    let process = Process::new().await;
    process.core.advance_phase(Phase::Ended);
    for _ in 0..1_000 {
        if tokio::net::TcpStream::connect(process.callers)
            .await
            .is_err()
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(4)).await;
    }
    panic!("the port never closed");
}
