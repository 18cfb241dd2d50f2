use crate::support::{Act, Caller, Process, Upstream, ask, document, offset};
use sesamegap_entry::clock;
use sesamegap_entry::follow::{TableUpdate, apply_update};
use sesamegap_entry::ports::Table;
use std::sync::Arc;
use std::time::Duration;

/// All VMs restart at once, and requests arrive before the configuration document. Callers must learn that nothing
/// ran and when to retry; a 404 would make them give up.
#[tokio::test]
async fn a_process_without_a_document_answers_with_a_retry_after() {
    let process = Process::empty().await;
    let answer = ask(process.callers, "GET", "/pull/", "", "").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    process.core.adopt(&Arc::new(document(1)), "test");
    let worker = Upstream::start(vec![Act::Answer(200, "ok")]).await;
    process.add("w1", "desk", worker.addr);
    assert_eq!(
        ask(process.callers, "GET", "/pull/", "", "").await.status,
        200
    );
}

#[tokio::test]
async fn requests_that_the_document_does_not_allow_reach_no_upstream() {
    let process = Process::new().await;
    let worker = Upstream::start(vec![Act::Answer(200, "ok")]).await;
    process.add("w1", "desk", worker.addr);
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
    assert_eq!(worker.seen(), Vec::<String>::new());
}

/// Asserts that callers of an unknown route and with an unknown key may come back.
async fn assert_puts_off(process: &Process) {
    let answer = ask(process.callers, "GET", "/unknown/", "", "").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    let mut caller = Caller::connect(process.callers).await;
    caller
        .send("GET /pull/ HTTP/1.1\r\nhost: desk.example\r\nx-id: r1\r\nauthorization: bad\r\n\r\n")
        .await;
    assert_eq!(caller.answer().await.status, 503);
}

/// Guards against a caller that gives up for good because a VM has not received the document with its route or its key
/// yet.
#[tokio::test]
async fn a_vm_that_awaits_a_newer_document_answers_with_a_retry_after() {
    let process = Process::new().await;
    let missed = TableUpdate {
        whole: false,
        ..TableUpdate::empty(Table::Settings, offset(9))
    };
    let position = || process.core.table_progress(Table::Settings).position();
    position().record_read(offset(8), clock::now());
    apply_update(&process.core, missed);
    let unknown = || ask(process.callers, "GET", "/unknown/", "", "");
    assert_puts_off(&process).await;
    position().record_read(offset(9), clock::now());
    assert_eq!(unknown().await.status, 404);
}

/// Guards against a caller that gives up for good because a VM whose calls to the store are dead denies its request by a
/// document that may have been replaced.
#[tokio::test]
async fn a_vm_that_cannot_tell_its_document_is_current_denies_nothing() {
    let process = Process::new().await;
    let position = || process.core.table_progress(Table::Settings).position();
    position().record_read(offset(8), clock::ago(Duration::from_secs(5)));
    let unknown = || ask(process.callers, "GET", "/unknown/", "", "");
    assert_puts_off(&process).await;
    position().record_read(offset(8), clock::now());
    assert_eq!(unknown().await.status, 404);
}

/// A caller sends a body over the limit and is still sending when the refusal is written. After a connection reset
/// it would not know the reason and would send the whole body again.
#[tokio::test]
async fn the_caller_can_read_the_refusal_of_a_body_over_the_limit() {
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

/// A worker does not respond. The route's timeout is shorter than the caller's, and the caller must get an error
/// when it expires.
#[tokio::test]
async fn a_request_ends_at_its_routes_timeout() {
    let process = Process::with_timeout(Duration::from_millis(300)).await;
    let worker = Upstream::start(vec![Act::Silent]).await;
    process.add("w1", "desk", worker.addr);
    let answer = ask(
        process.callers,
        "POST",
        "/save/",
        "x-patience: 20000\r\n",
        "form",
    )
    .await;
    assert_eq!(answer.status, 504);
    assert_eq!(worker.seen().len(), 1);
}

/// No worker can serve the request. Waiting would only keep the caller from retrying.
#[tokio::test]
async fn a_request_for_a_service_without_workers_is_refused() {
    let process = Process::new().await;
    let answer = ask(process.callers, "POST", "/save/", "", "form").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

/// A connection carries several requests, one of which is refused.
#[tokio::test]
async fn a_connection_stays_usable_after_a_refusal() {
    let process = Process::new().await;
    let worker = Upstream::start(vec![Act::Answer(200, "ok")]).await;
    process.add("w1", "desk", worker.addr);
    let mut caller = Caller::connect(process.callers).await;
    for (path, status) in [("/pull/", 200), ("/none/", 404), ("/pull/", 200)] {
        let text = format!(
            "GET {path} HTTP/1.1\r\nhost: desk.example\r\nx-id: r1\r\nauthorization: clerks-key\r\n\r\n"
        );
        caller.send(&text).await;
        assert_eq!(caller.answer().await.status, status);
    }
}

/// The only worker closes the connection without a response, and no other can take the request. It may have run,
/// so "not run" would be false even on a route that allows retries.
#[tokio::test]
async fn a_request_that_may_have_run_is_never_reported_as_not_run() {
    let process = Process::new().await;
    let worker = Upstream::start(vec![Act::Close]).await;
    process.add("w1", "desk", worker.addr);
    let answer = ask(process.callers, "GET", "/pull/", "", "").await;
    assert_eq!(answer.status, 502);
    assert_eq!(worker.seen().len(), 1);
}
