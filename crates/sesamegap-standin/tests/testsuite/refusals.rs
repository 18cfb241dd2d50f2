//! What a client says of a request that was not answered, against the record of what ran.

use crate::support::{
    ask, dispatch, engine_limits, first_engine, once, plan, request, settings, start, until, url,
};
use sesamegap_standin::{Deployment, Fault};
use sesamegap_upstream::{Engine, Fault as Why, HttpEngine, Ran, UpstreamError};
use sesamegap_wire::engine::Dispatch;
use sesamegap_wire::{Incarnation, Seq, WeightsVersion};
use tokio::net::TcpListener;

/// Sends what must be refused, and checks the claim against the record.
async fn refused(deployment: &Deployment, asked: Dispatch) -> UpstreamError {
    let id = asked.request.clone();
    let answer = first_engine(deployment).generate(asked).await;
    let error = answer.err().unwrap();
    assert_eq!(error.ran(), Ran::No, "{error}");
    assert_eq!(deployment.executions().of_request(&id), 0);
    error
}

/// An engine restarted between a router's decision and its dispatch, so that the blocks the router
/// counted on are gone, or came from an incarnation that is dead.
#[tokio::test]
async fn another_incarnation_does_not_run_a_request() {
    let deployment = start(plan()).await;
    let mut asked = dispatch(&deployment, 1, 4);
    asked.incarnation = Incarnation(7);
    assert_eq!(refused(&deployment, asked).await.fault(), Why::Incarnation);
}

#[tokio::test]
async fn other_weights_do_not_run_a_request() {
    let deployment = start(plan()).await;
    let mut asked = dispatch(&deployment, 1, 4);
    asked.version = WeightsVersion(2);
    assert_eq!(refused(&deployment, asked).await.fault(), Why::Weights);
}

#[tokio::test]
async fn a_text_that_is_not_the_answers_beginning_is_refused() {
    let deployment = start(plan()).await;
    let mut asked = dispatch(&deployment, 1, 4);
    asked.prefix = " made up".to_owned();
    asked.start = Seq(1);
    assert_eq!(refused(&deployment, asked).await.fault(), Why::Refused);
}

/// An engine is about to go and takes no new work, while the VM list still shows it as live.
#[tokio::test]
async fn a_leaving_engine_runs_nothing_new() {
    let deployment = start(plan()).await;
    deployment.refuse("engine-1", true).unwrap();
    let asked = dispatch(&deployment, 1, 4);
    assert_eq!(refused(&deployment, asked).await.fault(), Why::Leaving);
    assert!(deployment.engine("engine-1").unwrap().late_work.is_some());
}

/// All places of an engine and of its queue are taken.
#[tokio::test]
async fn a_full_engine_runs_nothing_more() {
    let mut limits = engine_limits();
    limits.slots = 1;
    limits.queue = 1;
    let deployment = start(plan().engine(limits)).await;
    let engine = first_engine(&deployment);
    let long = 60_000;
    let _running = engine
        .generate(dispatch(&deployment, 1, long))
        .await
        .unwrap();
    until(|| deployment.executions().of_request(&request(1)) == 1).await;
    let _waiting = engine
        .generate(dispatch(&deployment, 2, long))
        .await
        .unwrap();
    until(|| deployment.engine("engine-1").unwrap().requests == 2).await;
    let asked = dispatch(&deployment, 3, 4);
    assert_eq!(refused(&deployment, asked).await.fault(), Why::Busy);
}

/// Nobody listens at the address, so nothing can have been written.
#[tokio::test]
async fn a_connection_never_made_ran_nothing() {
    let deployment = start(plan()).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let engine = HttpEngine::new(url(closed), settings());
    let answer = engine.generate(dispatch(&deployment, 1, 4)).await;
    let error = answer.err().unwrap();
    assert_eq!((error.fault(), error.ran()), (Why::Unreached, Ran::No));
}

/// Something takes the connection and closes it before a byte of an answer. The request may have
/// been read and run, so saying that it was not would make a clerk file twice.
#[tokio::test]
async fn a_connection_closed_without_an_answer_leaves_it_unknown() {
    let deployment = start(plan()).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let engine = HttpEngine::new(url(listener.local_addr().unwrap()), settings());
    let hang_up = async {
        let (tcp, _) = listener.accept().await.unwrap();
        tcp.readable().await.unwrap();
    };
    let asked = engine.generate(dispatch(&deployment, 1, 4));
    let (answer, ()) = tokio::join!(asked, hang_up);
    let error = answer.err().unwrap();
    assert_eq!((error.fault(), error.ran()), (Why::Broken, Ran::Unknown));
}

/// A refusal that belongs to another request arrives. Taking it for one's own would say of a
/// request that it was not run while an engine may be running it.
#[tokio::test]
async fn a_refusal_of_another_request_is_not_believed() {
    let deployment = start(plan()).await;
    let engine = first_engine(&deployment);
    deployment.refuse("engine-1", true).unwrap();
    once(&deployment, Fault::CrossedAnswer);
    let answer = engine.generate(dispatch(&deployment, 1, 4)).await;
    let error = answer.err().unwrap();
    assert_eq!((error.fault(), error.ran()), (Why::Crossed, Ran::Unknown));
}

/// A request that was sent twice by mistake runs twice on an engine that does not look at keys,
/// and the record must show it, or no promise could be checked against it.
#[tokio::test]
async fn the_record_shows_what_ran_twice() {
    let deployment = start(plan()).await;
    let engine = first_engine(&deployment);
    for attempt in [0, 0, 1] {
        let mut asked = dispatch(&deployment, 1, 2);
        asked.attempt = attempt;
        ask(&engine, asked).await;
    }
    assert_eq!(deployment.executions().of_key("key-1"), 3);
    assert_eq!(deployment.executions().of_request(&request(1)), 3);
}
