//! Plain services: echoes, refusals, lost and crossed replies.

use crate::support::{SILENCE, plan, request, settings, start, url};
use bytes::Bytes;
use sesamegap_standin::{Deployment, Echo, Fault, Hit};
use sesamegap_upstream::{Call, Fault as Why, HttpWorker, PlainService, Ran, Reply, UpstreamError};
use smol_str::SmolStr;

async fn desk() -> (Deployment, HttpWorker) {
    let deployment = start(plan().workers("desk".parse().unwrap(), 1)).await;
    let id = "desk-1".parse().unwrap();
    let worker = HttpWorker::new(url(deployment.addresses().workers[&id]), settings());
    (deployment, worker)
}

fn call(seq: u64) -> Call {
    Call {
        request: request(seq),
        method: SmolStr::new("POST"),
        path: "forms/12?copy=1".to_owned(),
        content_type: Some(SmolStr::new("text/plain")),
        body: Bytes::from_static(b"save"),
        idempotency_key: Some(SmolStr::new(format!("save-{seq}"))),
        timeout: SILENCE,
    }
}

async fn fails(worker: &HttpWorker, seq: u64) -> UpstreamError {
    let outcome: Result<Reply, _> = worker.call(call(seq)).await;
    outcome.unwrap_err()
}

#[tokio::test]
async fn a_call_is_passed_on_whole() {
    let (deployment, worker) = desk().await;
    let reply = worker.call(call(1)).await.unwrap();
    let echo: Echo = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!((reply.status, echo.runs), (200, 1));
    assert_eq!((echo.method.as_str(), echo.body.as_str()), ("POST", "save"));
    assert_eq!(echo.path, "/forms/12?copy=1");
    assert_eq!(deployment.executions().of_key("save-1"), 1);
}

#[tokio::test]
async fn a_leaving_worker_runs_nothing() {
    let (deployment, worker) = desk().await;
    deployment
        .fault(Hit::once(Fault::VmLeaving), Some("desk-1"))
        .unwrap();
    let error = fails(&worker, 1).await;
    assert_eq!((error.fault(), error.ran()), (Why::Leaving, Ran::No));
    assert_eq!(deployment.executions().of_key("save-1"), 0);
}

/// The worker saves the form and its reply is lost. Had the client said that the save was not run,
/// the clerk would file twice and the duplicate be rejected.
#[tokio::test]
async fn a_lost_reply_is_unknown_and_ran_once() {
    let (deployment, worker) = desk().await;
    deployment
        .fault(Hit::once(Fault::ReplyLost), Some("desk-1"))
        .unwrap();
    let error = fails(&worker, 1).await;
    assert_eq!((error.fault(), error.ran()), (Why::Broken, Ran::Unknown));
    assert_eq!(deployment.executions().of_key("save-1"), 1);
}

/// Replies get crossed or come late: the clerk would be shown another's form.
#[tokio::test]
async fn crossed_and_late_replies_are_discarded() {
    let (deployment, worker) = desk().await;
    for (seq, fault, why) in [
        (1, Fault::CrossedAnswer, Why::Crossed),
        (2, Fault::LateAnswer, Why::Broken),
        (3, Fault::EngineSilent, Why::Broken),
    ] {
        // There is a pooled connection for the fault to hit.
        worker.call(call(seq + 10)).await.unwrap();
        deployment.fault(Hit::once(fault), Some("desk-1")).unwrap();
        let error = fails(&worker, seq).await;
        assert_eq!((error.fault(), error.ran()), (why, Ran::Unknown), "{fault}");
        let reply = worker.call(call(seq + 20)).await.unwrap();
        assert_eq!(reply.status, 200);
    }
}
