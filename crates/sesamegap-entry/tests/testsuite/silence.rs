//! Connections to upstreams that fall silent: for a moment, or because the link is gone.

use crate::support::{Act, Process, Upstream, ask};
use sesamegap_entry::upstream;
use socket2::{Domain, SockFilter, SockRef, Socket, Type};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;

/// A filter that drops all packets.
const DROP_ALL: SockFilter = SockFilter::new(0x06, 0, 0, 0);

/// Sound workers and engines fall silent for a second and go on. If requests that run there were ended or sent again,
/// callers would lose answers, and upstreams would do the work twice.
#[tokio::test]
async fn a_sound_upstream_that_falls_silent_for_a_second_keeps_its_requests() {
    let process = Process::new().await;
    let pause = Duration::from_millis(1_200);
    let worker = Act::After(pause, Box::new(Act::Answer(200, "done")));
    let worker = Upstream::start(vec![worker]).await;
    let engine = Upstream::start(vec![Act::PausedEvents(0..2, pause, 5)]).await;
    process.add("w0", "desk", worker.addr);
    process.add("e0", "engines", engine.addr);
    for path in ["/save/a", "/chat/a"] {
        let answer = ask(process.callers, "POST", path, "", "{}").await;
        assert_eq!((answer.status, answer.is_complete), (200, true), "{path}");
    }
    assert_eq!((worker.seen().len(), engine.seen().len()), (1, 1));
}

/// Guards against an idempotent request that is given up at a silent worker, and fails since the other worker does.
#[tokio::test]
async fn an_idempotent_request_survives_a_pause_beside_a_worker_that_fails() {
    let process = Process::new().await;
    let late = Act::After(
        Duration::from_millis(2_600),
        Box::new(Act::Answer(200, "done")),
    );
    let paused = Upstream::start(vec![late]).await;
    let failing = Upstream::start(vec![Act::Answer(500, "failed")]).await;
    process.add("w0", "desk", paused.addr);
    let answer = tokio::spawn(ask(process.callers, "POST", "/pull/a", "", "{}"));
    while paused.seen().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    process.add("w1", "desk", failing.addr);
    assert_eq!(answer.await.unwrap().status, 200);
}

/// The link to an upstream is lost while it works on a request. With a user timeout set, the kernel gives up by that time
/// and not by the number of keepalive probes; a caller must neither wait for minutes, nor lose a request that is merely
/// slow.
#[tokio::test]
async fn a_lost_link_ends_a_waiting_connection_and_a_slow_upstream_does_not() {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    listener.bind(&any.into()).unwrap();
    listener.listen(8).unwrap();
    let addr = listener.local_addr().unwrap().as_socket().unwrap();
    let own = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let mut lost = upstream::open(own, addr).await.unwrap();
    let mut slow = upstream::open(own, addr).await.unwrap();
    let mut accepted = Vec::new();
    for is_lost in [true, false] {
        let (socket, _) = listener.accept().unwrap();
        if is_lost {
            socket.attach_filter(&[DROP_ALL]).unwrap();
        }
        accepted.push(socket);
    }
    let mut byte = [0; 1];
    let began = Instant::now();
    let ended = tokio::time::timeout(Duration::from_secs(20), lost.read(&mut byte)).await;
    let error = ended.expect("the connection ends").unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
    assert!(began.elapsed() > Duration::from_secs(2), "a pause is borne");
    let waits = tokio::time::timeout(Duration::from_millis(10), slow.read(&mut byte)).await;
    assert!(
        waits.is_err(),
        "a silent upstream that is there is waited for"
    );
    let timeout = SockRef::from(&slow).tcp_user_timeout().unwrap();
    assert_eq!(timeout, Some(upstream::TCP_USER_TIMEOUT));
}
