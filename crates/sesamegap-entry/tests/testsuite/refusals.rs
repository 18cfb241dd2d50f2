use crate::support::{Act, Caller, Process, Upstream, ask, document};
use std::sync::Arc;
use std::time::Duration;

/// All VMs restart at once and callers come before the settings. They must learn that nothing was
/// run and come back; "no such route" would make them give up.
#[tokio::test]
async fn a_process_without_settings_says_come_back() {
    let process = Process::empty().await;
    let answer = ask(process.callers, "GET", "/pull/", "", "").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    process.core.adopt(&Arc::new(document(1)), "test");
    let desk = Upstream::start(vec![Act::Answer(200, "ok")]).await;
    process.add("w1", "desk", desk.addr);
    assert_eq!(
        ask(process.callers, "GET", "/pull/", "", "").await.status,
        200
    );
}

#[tokio::test]
async fn requests_that_settings_do_not_allow_reach_no_upstream() {
    let process = Process::new().await;
    let desk = Upstream::start(vec![Act::Answer(200, "ok")]).await;
    process.add("w1", "desk", desk.addr);
    assert_eq!(
        ask(process.callers, "GET", "/unknown/", "", "")
            .await
            .status,
        404
    );
    let mut caller = Caller::connect(process.callers).await;
    caller
        .send("GET /pull/ HTTP/1.1\r\nhost: desk.example\r\nx-id: r1\r\nauthorization: bad\r\n\r\n")
        .await;
    assert_eq!(caller.answer().await.status, 401);
    caller
        .send("GET /pull/ HTTP/1.1\r\nhost: desk.example\r\n\r\n")
        .await;
    assert_eq!(caller.answer().await.status, 400);
    assert_eq!(desk.seen(), Vec::<String>::new());
}

/// A caller sends more than it may and is still sending when the refusal goes out. A reset would
/// leave it without a reason, and it would send all of it again.
#[tokio::test]
async fn a_body_over_the_limit_is_refused_so_that_its_sender_reads_it() {
    let process = Process::new().await;
    let body = "x".repeat(1 << 20);
    let declared = ask(process.callers, "POST", "/save/", "", &body).await;
    assert_eq!(declared.status, 413);
    let mut caller = Caller::connect(process.callers).await;
    let head = "POST /save/ HTTP/1.1\r\nhost: desk.example\r\nx-id: r1\r\nauthorization: clerks-key\r\ntransfer-encoding: chunked\r\n\r\n";
    caller.send(head).await;
    for _ in 0..20 {
        caller
            .send(&format!("2000\r\n{}\r\n", "y".repeat(0x2000)))
            .await;
    }
    caller.send("0\r\n\r\n").await;
    assert_eq!(caller.answer().await.status, 413);
}

#[tokio::test]
async fn a_head_over_the_limit_is_refused() {
    let process = Process::new().await;
    let more = format!("x-long: {}\r\n", "h".repeat(32 << 10));
    let answer = ask(process.callers, "GET", "/pull/", &more, "").await;
    assert_eq!(answer.status, 431);
}

/// A worker is silent. The route's time ends before the caller's, and the caller must hear it then.
#[tokio::test]
async fn a_request_ends_at_its_routes_timeout() {
    let process = Process::empty().await;
    let mut document = document(1);
    for route in &mut document.routes {
        route.timeout = Duration::from_millis(300);
    }
    process.core.adopt(&Arc::new(document), "test");
    let desk = Upstream::start(vec![Act::Silent]).await;
    process.add("w1", "desk", desk.addr);
    let answer = ask(
        process.callers,
        "POST",
        "/save/",
        "x-patience: 20000\r\n",
        "form",
    )
    .await;
    assert_eq!(answer.status, 504);
    assert_eq!(desk.seen().len(), 1);
}

/// Nobody can serve the request. Waiting would only keep the caller from trying again.
#[tokio::test]
async fn a_request_for_a_service_without_workers_is_refused() {
    let process = Process::new().await;
    let answer = ask(process.callers, "POST", "/save/", "", "form").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

/// A connection is used for several requests, some of which are refused.
#[tokio::test]
async fn a_connection_goes_on_after_a_refusal() {
    let process = Process::new().await;
    let desk = Upstream::start(vec![Act::Answer(200, "ok")]).await;
    process.add("w1", "desk", desk.addr);
    let mut caller = Caller::connect(process.callers).await;
    for (path, status) in [("/pull/", 200), ("/none/", 404), ("/pull/", 200)] {
        let text = format!(
            "GET {path} HTTP/1.1\r\nhost: desk.example\r\nx-id: r1\r\nauthorization: clerks-key\r\n\r\n"
        );
        caller.send(&text).await;
        assert_eq!(caller.answer().await.status, status);
    }
}

/// The only worker breaks off an answer, and no other can take the request. It may have run, so "not
/// run" would be false, even where it may run again.
#[tokio::test]
async fn a_request_that_may_have_run_is_never_called_not_run() {
    let process = Process::new().await;
    let desk = Upstream::start(vec![Act::Close]).await;
    process.add("w1", "desk", desk.addr);
    let answer = ask(process.callers, "GET", "/pull/", "", "").await;
    assert_eq!(answer.status, 502);
    assert_eq!(desk.seen().len(), 1);
}
