use crate::support::{Act, Caller, Process, Upstream, ask};
use sesamegap_entry::core::Phase;
use sesamegap_entry::locator;
use std::time::Duration;

const PULL: &str =
    "GET /pull/ HTTP/1.1\r\nhost: desk.example\r\nx-id: r1\r\nauthorization: clerks-key\r\n\r\n";

/// Guards against a stopping process that cuts a request at a worker, or keeps an idle connection
/// open.
#[tokio::test]
async fn a_planned_stop_completes_requests_and_closes_idle_connections() {
    let process = Process::new().await;
    let slow = Act::After(
        Duration::from_millis(300),
        Box::new(Act::Answer(200, "late")),
    );
    let desk = Upstream::start(vec![Act::Answer(200, "ok"), slow]).await;
    process.add("w1", "desk", desk.addr);
    let mut idle = Caller::connect(process.callers).await;
    idle.send(PULL).await;
    assert_eq!(idle.answer().await.body, "ok");
    let mut busy = Caller::connect(process.callers).await;
    busy.send(PULL).await;
    while desk.seen().len() < 2 {
        tokio::task::yield_now().await;
    }
    process.core.advance_phase(Phase::Leaving);
    assert!(!process.core.is_ready());
    process.core.advance_phase(Phase::Closing);
    // A request that crosses the close is told that it was not run.
    let closing = idle.answer().await;
    assert_eq!(
        (closing.status, closing.header("connection")),
        (408, Some("close"))
    );
    assert!(closing.body.contains("not run"));
    assert!(idle.is_closed().await);
    let answer = busy.answer().await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "late"));
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(busy.is_closed().await);
}

/// Guards against a stopping process that refuses callers which got its address before the stop.
#[tokio::test]
async fn a_leaving_process_serves_requests_and_closes_their_connections() {
    let process = Process::new().await;
    let desk = Upstream::start(vec![Act::Answer(200, "ok")]).await;
    process.add("w1", "desk", desk.addr);
    process.core.advance_phase(Phase::Leaving);
    let answer = ask(process.callers, "GET", "/pull/", "", "").await;
    assert_eq!(answer.body, "ok");
    assert_eq!(answer.header("connection"), Some("close"));
}

#[tokio::test]
async fn the_locator_names_this_process_only_while_it_serves() {
    let process = Process::new().await;
    process.add("w1", "desk", crate::support::unused_addr());
    let (addrs, ttl) = locator::answer(&process.core);
    assert_eq!(addrs, [process.core.settings().listen.callers]);
    assert!(ttl > Duration::ZERO);
    process.core.advance_phase(Phase::Leaving);
    assert_eq!(locator::answer(&process.core).0, []);
}

/// Guards against a caller that sends a part of a head and keeps the connection for ever.
#[tokio::test]
async fn a_connection_with_an_incomplete_head_is_closed() {
    let process = Process::empty().await;
    let mut document = crate::support::document(1);
    document.limits.head_time = Duration::from_millis(200);
    document.limits.idle_time = Duration::from_mins(5);
    process.core.adopt(&std::sync::Arc::new(document), "test");
    let mut caller = Caller::connect(process.callers).await;
    caller.send("GET /pull/ HTTP/1.1\r\nhost: desk").await;
    assert!(caller.is_closed().await);
}

/// Guards against a stopping process that waits for the rest of a body until it is killed, and logs
/// a request as cut that it never received completely.
#[tokio::test]
async fn an_incomplete_request_does_not_delay_a_stop() {
    let process = Process::new().await;
    let desk = Upstream::start(vec![Act::Answer(200, "ok")]).await;
    process.add("w1", "desk", desk.addr);
    let mut caller = Caller::connect(process.callers).await;
    let half = "POST /save/ HTTP/1.1\r\nhost: desk.example\r\nx-id: r1\r\nauthorization: clerks-key\r\ncontent-length: 9\r\n\r\nhalf";
    caller.send(half).await;
    // When a later request has been answered, the incomplete one has been read too.
    assert_eq!(
        ask(process.callers, "GET", "/pull/", "", "").await.status,
        200
    );
    while process.core.active() > 1 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(process.core.active(), 0);
}
