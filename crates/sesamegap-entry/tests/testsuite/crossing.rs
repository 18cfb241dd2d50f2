//! Requests that come at the moment at which their idle connection is closed.
//!
//! A caller keeps a connection open and sends its next request on it just when the process closes
//! idle connections, because it stops or because the bound on idle ones is reached. A process that
//! was busy or stood still has the request in its socket and does not know of it, and closed the
//! connection unread: in the older router's log `connection closed with a caller's bytes unread`
//! stood beside the caller's error in two of four traced failures. The caller sees a closed
//! connection and cannot tell whether its filing was saved.

use crate::support::{Act, Caller, Process, Upstream, ask, document};
use sesamegap_entry::core::Phase;
use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

const SAVE: &str = "POST /save/ HTTP/1.1\r\nhost: desk.example\r\nx-id: r2\r\nauthorization: clerks-key\r\ncontent-length: 0\r\n\r\n";

/// A bound on idle connections that no test reaches.
const LONG: Duration = Duration::from_mins(1);

/// Tries of each, since a close could be second by chance.
const TRIES: usize = 12;

/// A process whose worker answers anything, and a caller whose connection there is idle.
async fn idle_caller(bound: Duration) -> (Process, Upstream, Caller) {
    let process = Process::empty().await;
    let mut document = document(1);
    document.limits.idle_time = bound;
    process.core.adopt(&Arc::new(document), "test");
    let desk = Upstream::start(vec![Act::Answer(200, "ok"); 3]).await;
    process.add("w1", "desk", desk.addr);
    let mut caller = Caller::connect(process.callers).await;
    caller.send(SAVE).await;
    assert_eq!(caller.answer().await.body, "ok");
    (process, desk, caller)
}

#[tokio::test]
async fn a_request_in_the_socket_is_answered_before_a_stop_closes_it() {
    for _ in 0..TRIES {
        let (process, _desk, mut caller) = idle_caller(LONG).await;
        process.core.advance_phase(Phase::Leaving);
        caller.send_at_once(SAVE);
        process.core.advance_phase(Phase::Closing);
        let answer = caller.answer().await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "ok"));
        assert_eq!(answer.header("connection"), Some("close"));
        assert!(caller.is_closed().await);
    }
}

/// The VM stands still for longer than a connection may be idle. When it goes on, it finds the
/// time over and the request in its socket at once.
#[tokio::test]
async fn a_request_in_the_socket_is_answered_after_the_bound_on_idle_ones() {
    for _ in 0..TRIES {
        let bound = Duration::from_millis(100);
        let (_process, _desk, mut caller) = idle_caller(bound).await;
        caller.send_at_once(SAVE);
        // Blocks the one thread of the process, as a pause of the VM does.
        std::thread::sleep(bound + Duration::from_millis(20));
        assert_eq!(caller.answer().await.body, "ok");
    }
}

/// Half of a head has come when the process stops. The rest is on its way.
#[tokio::test]
async fn a_head_that_has_begun_is_read_to_its_end() {
    let (process, _desk, mut caller) = idle_caller(LONG).await;
    let (half, rest) = SAVE.split_at(20);
    caller.send(half).await;
    // Once another request was answered, the half head has been read too.
    let other = ask(process.callers, "POST", "/save/", "", "").await;
    assert_eq!(other.status, 200);
    process.core.advance_phase(Phase::Closing);
    for _ in 0..20 {
        tokio::task::yield_now().await;
    }
    caller.send(rest).await;
    assert_eq!(caller.answer().await.body, "ok");
}

/// A caller has connected and sent its request, but the process, which ends, has not yet accepted
/// the connection. Closing the port would reset it.
#[tokio::test]
async fn a_connection_that_waits_at_the_port_is_still_taken() {
    for _ in 0..TRIES {
        let process = Process::new().await;
        let desk = Upstream::start(vec![Act::Answer(200, "ok")]).await;
        process.add("w1", "desk", desk.addr);
        // Lets the process begin to accept.
        tokio::time::sleep(Duration::from_millis(5)).await;
        let mut stream = std::net::TcpStream::connect(process.callers).unwrap();
        stream.write_all(SAVE.as_bytes()).unwrap();
        process.core.advance_phase(Phase::Ended);
        let mut caller = Caller::of(stream);
        assert_eq!(caller.answer().await.body, "ok");
    }
}

/// Callers keep coming while a process ends. Were each of them taken in its turn, the port would
/// stay open, and a chat that came three seconds after the process was told to stop would be cut in
/// the middle by the kill.
#[tokio::test]
async fn callers_that_keep_coming_do_not_hold_the_port_open() {
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
