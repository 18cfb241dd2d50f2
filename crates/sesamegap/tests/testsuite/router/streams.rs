//! Whole, ordered streams whatever happens on the way.

use crate::support::{ALPHA, Got, Site, answer, plan, question, request_id};
use reqwest::Method;
use sesamegap_standin::{Fault, Hit};

const TOKENS: u64 = 60;

async fn whole_after(hit: Hit) {
    let site = Site::start(plan(), 1).await;
    site.hit(hit, None);
    let sent = site.stream("hello", TOKENS).await;
    let got = Got::all(sent).await;
    assert_eq!(got.text, answer("hello", TOKENS), "{hit:?} {got:?}");
    assert!(got.done && got.error.is_none(), "{hit:?}");
}

/// Chunks are doubled, lost or swapped on their way from the engine. A caller would read words
/// twice, miss some, or find them in the wrong order.
#[tokio::test]
async fn doubled_lost_and_swapped_chunks_do_not_show() {
    for fault in [Fault::ChunkDouble, Fault::ChunkDrop, Fault::ChunkSwap] {
        for at in [0, 1, TOKENS / 2, TOKENS - 1] {
            whole_after(Hit::once(fault).at(at)).await;
        }
    }
}

/// The engine's connection breaks before, in or at the end of an answer. A caller that took the
/// end of the bytes for the end of the answer would act on half a verdict.
#[tokio::test]
async fn a_stream_that_breaks_off_is_taken_up_again() {
    for at in [0, 1, TOKENS / 2, TOKENS - 1] {
        whole_after(Hit::once(Fault::StreamCut).at(at)).await;
    }
}

/// An answer to another request arrives on the connection. The caller would read someone else's
/// answer.
#[tokio::test]
async fn a_crossed_answer_is_discarded() {
    whole_after(Hit::once(Fault::CrossedAnswer)).await;
}

/// The answer starts long after it was due, on a connection that was given up meanwhile.
#[tokio::test]
async fn a_late_answer_is_still_the_right_one() {
    whole_after(Hit::once(Fault::LateAnswer)).await;
}

/// Something between router and engine loses track of the open connections, which stay open and
/// say nothing, while new ones work. Without a limit on silence the caller would wait for good.
#[tokio::test]
async fn a_mute_connection_is_replaced_by_a_new_one() {
    let site = Site::start(plan(), 1).await;
    let sent = site.stream("hello", 400).await;
    site.hit(Hit::once(Fault::EngineSilent), None);
    let got = Got::all(sent).await;
    assert_eq!(got.text, answer("hello", 400));
    assert!(got.done);
}

/// An engine dies in the middle of an answer and comes back empty. The request may run again, so
/// another engine goes on after the text that the caller already has.
#[tokio::test]
async fn another_engine_goes_on_when_one_dies() {
    let site = Site::start(plan(), 1).await;
    let sent = site.stream("hello", 400).await;
    let id = request_id(&sent);
    let on = site.runs_at(&id);
    site.hit(Hit::once(Fault::EngineCrash), Some(on.as_str()));
    let got = Got::all(sent).await;
    assert_eq!(got.text, answer("hello", 400));
    assert!(got.done && got.error.is_none());
    assert_eq!(site.deployment.executions().of_request(&id), 2);
}

/// An engine dies in the middle of an answer during a release. What engines of two software versions write does not fit
/// together.
#[tokio::test]
async fn an_answer_does_not_go_on_at_another_software_version() {
    let versions = vec!["v1".parse().unwrap(), "v2".parse().unwrap()];
    let site = Site::start(plan().software(versions), 1).await;
    let sent = site.stream("hello", 400).await;
    let id = request_id(&sent);
    let on = site.runs_at(&id);
    site.hit(Hit::once(Fault::EngineCrash), Some(on.as_str()));
    let got = Got::all(sent).await;
    assert!(answer("hello", 400).starts_with(&got.text));
    assert!(!got.done && got.error.is_some());
    assert_eq!(site.deployment.executions().of_request(&id), 1);
}

/// The same happens to a request that must not run twice. It cannot be finished, so the caller
/// gets what there is and an explicit error, never an end that looks whole, and it runs once.
#[tokio::test]
async fn an_answer_that_cannot_be_finished_ends_with_an_error() {
    let site = Site::start(plan(), 1).await;
    let request = site.chat(0, &question("hello", 400, true));
    let sent = request
        .header("sesamegap-repeatable", "no")
        .send()
        .await
        .unwrap();
    let id = request_id(&sent);
    let on = site.runs_at(&id);
    site.hit(Hit::once(Fault::EngineCrash), Some(on.as_str()));
    let got = Got::all(sent).await;
    assert!(answer("hello", 400).starts_with(&got.text));
    assert!(!got.done);
    let error = got.error.unwrap();
    assert_eq!(error["ran"], "unknown", "{error}");
    assert_eq!(error["error"]["code"], "upstream_lost");
    assert_eq!(site.deployment.executions().of_request(&id), 1);
}

/// A caller's phone loses the network in the middle of an answer. It comes back with the number
/// of the last event it got, to the router it knew or to another one, and gets exactly the rest.
#[tokio::test]
async fn a_caller_resumes_at_any_router() {
    let site = Site::start(plan(), 2).await;
    for router in 0..2 {
        let sent = site.stream("hello", 200).await;
        let id = request_id(&sent);
        let mut got = Got::default();
        got.read(sent, 4).await;
        let last = got.last.expect("some text came");
        let again = site
            .ask(router, Method::GET, &format!("/v1/requests/{id}"), ALPHA)
            .header("last-event-id", last.to_string());
        got.read(again.send().await.unwrap(), usize::MAX).await;
        assert_eq!(got.text, answer("hello", 200));
        assert!(got.done);
        assert_eq!(site.deployment.executions().of_request(&id), 1);
    }
}
