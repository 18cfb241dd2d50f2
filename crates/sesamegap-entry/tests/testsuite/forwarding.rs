use crate::support::{Act, KEY, Process, Upstream, ask};

#[tokio::test]
async fn a_response_reaches_the_caller_unchanged() {
    let process = Process::new().await;
    let worker = Upstream::start(vec![Act::Answer(200, "stamped")]).await;
    process.add("w1", "desk", worker.addr);
    let answer = ask(process.callers, "GET", "/pull/doc?page=2", "", "").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "stamped"));
    assert_eq!(answer.header("x-seal"), Some("s-r1"));
    assert!(answer.is_complete);
    let seen = worker.seen();
    assert!(
        seen[0].starts_with("GET /pull/doc?page=2 HTTP/1.1\r\n"),
        "{seen:?}"
    );
}

/// A caller forges headers that only the process may set, or lists request headers in `Connection` so that they
/// would be dropped. Its work would be charged to another team, or it could read another team's cache.
#[tokio::test]
async fn reserved_headers_from_callers_are_dropped() {
    let process = Process::new().await;
    let worker = Upstream::start(vec![Act::Answer(200, "ok")]).await;
    process.add("w1", "desk", worker.addr);
    let forged = "x-team: others\r\nx-space: theirs\r\nx-meant: w9\r\nx-left: 999999\r\n\
                  connection: x-id, x-hop, host\r\nx-hop: 1\r\nx-mine: kept\r\n";
    let answer = ask(process.callers, "POST", "/save/", forged, "form").await;
    assert_eq!(answer.status, 200);
    let seen = worker.seen()[0].clone();
    for expected in [
        "x-team: clerks",
        "x-meant: w1",
        "x-id: r1",
        "x-mine: kept",
        "\r\n\r\nform",
    ] {
        assert!(seen.contains(expected), "{expected} in {seen}");
    }
    for dropped in ["others", "theirs", "w9", "999999", "x-hop", KEY] {
        assert!(!seen.contains(dropped), "{dropped} in {seen}");
    }
}

/// A worker's response has no length and ends when the connection closes.
#[tokio::test]
async fn a_response_without_a_length_is_forwarded_with_one() {
    let process = Process::new().await;
    let worker = Upstream::start(vec![Act::NoLength("to the end")]).await;
    process.add("w1", "desk", worker.addr);
    let answer = ask(process.callers, "GET", "/pull/", "", "").await;
    assert_eq!(answer.body, "to the end");
    assert!(answer.is_complete);
}

/// Workers break off responses, send invalid bytes, answer another request or omit the seal. The caller must not
/// take any of these for its document.
#[tokio::test]
async fn an_invalid_response_is_retried_at_another_worker() {
    for act in [
        Act::Half,
        Act::Garbage,
        Act::OtherId,
        Act::Unsealed,
        Act::Close,
    ] {
        let process = Process::new().await;
        let bad = Upstream::start(vec![act.clone()]).await;
        let good = Upstream::start(vec![Act::Answer(200, "good")]).await;
        process.add("w1", "desk", bad.addr);
        process.add("w2", "desk", good.addr);
        for _ in 0..4 {
            let answer = ask(process.callers, "GET", "/pull/", "", "").await;
            assert_eq!(
                (answer.status, answer.body.as_str()),
                (200, "good"),
                "{act:?}"
            );
        }
        assert!(!bad.seen().is_empty(), "{act:?} was never exercised");
    }
}

/// A worker responds with a server error. Another worker may succeed; if it fails too, the caller gets its error.
#[tokio::test]
async fn a_server_error_is_retried_once_and_then_forwarded() {
    let process = Process::new().await;
    let one = Upstream::start(vec![Act::Answer(500, "broken")]).await;
    let two = Upstream::start(vec![Act::Answer(500, "broken")]).await;
    process.add("w1", "desk", one.addr);
    process.add("w2", "desk", two.addr);
    let answer = ask(process.callers, "GET", "/pull/", "", "").await;
    assert_eq!((answer.status, answer.body.as_str()), (500, "broken"));
    assert!(answer.header("x-seal").is_some());
    assert_eq!(one.seen().len() + two.seen().len(), 2);
}
