use crate::support::{Act, KEY, Process, Upstream, ask};

#[tokio::test]
async fn an_answer_goes_to_the_caller_unchanged() {
    let process = Process::new().await;
    let desk = Upstream::start(vec![Act::Answer(200, "stamped")]).await;
    process.add("w1", "desk", desk.addr);
    let answer = ask(process.callers, "GET", "/pull/doc?page=2", "", "").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "stamped"));
    assert_eq!(answer.header("x-seal"), Some("s-r1"));
    assert!(answer.is_complete);
    let seen = desk.seen();
    assert!(
        seen[0].starts_with("GET /pull/doc?page=2 HTTP/1.1\r\n"),
        "{seen:?}"
    );
}

/// A caller forges headers that only the process may set, or ties those of its request to its
/// connection so that they would be dropped. Another team would pay for its work, or see its cache.
#[tokio::test]
async fn a_callers_own_values_never_stand_where_the_process_speaks() {
    let process = Process::new().await;
    let desk = Upstream::start(vec![Act::Answer(200, "ok")]).await;
    process.add("w1", "desk", desk.addr);
    let forged = "x-team: others\r\nx-space: theirs\r\nx-meant: w9\r\nx-left: 999999\r\n\
                  connection: x-id, x-hop, host\r\nx-hop: 1\r\nx-mine: kept\r\n";
    let answer = ask(process.callers, "POST", "/save/", forged, "form").await;
    assert_eq!(answer.status, 200);
    let seen = desk.seen()[0].clone();
    for there in [
        "x-team: clerks",
        "x-meant: w1",
        "x-id: r1",
        "x-mine: kept",
        "\r\n\r\nform",
    ] {
        assert!(seen.contains(there), "{there} in {seen}");
    }
    for gone in ["others", "theirs", "w9", "999999", "x-hop", KEY] {
        assert!(!seen.contains(gone), "{gone} in {seen}");
    }
}

/// A worker's answer has no length and ends with its connection.
#[tokio::test]
async fn an_answer_without_a_length_is_passed_on_with_one() {
    let process = Process::new().await;
    let desk = Upstream::start(vec![Act::NoLength("to the end")]).await;
    process.add("w1", "desk", desk.addr);
    let answer = ask(process.callers, "GET", "/pull/", "", "").await;
    assert_eq!(answer.body, "to the end");
    assert!(answer.is_complete);
}

/// Workers break answers off, send what is no answer, answer another request, or forget the seal.
/// The caller would take one of these for its document.
#[tokio::test]
async fn what_is_not_the_whole_answer_is_asked_for_again_elsewhere() {
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
        assert!(!bad.seen().is_empty(), "{act:?} was never met");
    }
}

/// A worker fails the request itself. Another may not; if it does too, its failure is the answer.
#[tokio::test]
async fn a_workers_failure_is_repeated_once_and_then_passed_on() {
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
