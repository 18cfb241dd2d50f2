//! How an engine works: priorities, slowness, lags, distances, forgetting.

use crate::support::{
    PATIENCE, SILENCE, ask, dispatch, engine_limits, first_engine, once, plan, receive, request,
    settings, start, until, url,
};
use sesamegap_http::Settings;
use sesamegap_standin::{Deployment, Fault};
use sesamegap_upstream::{Engine, Fault as Why, HttpEngine};
use sesamegap_wire::{Seq, Tokens};
use std::time::Duration;

/// An answer that no test waits for the end of.
const LONG: u64 = 60_000;

fn runs(deployment: &Deployment, seq: u64) -> u32 {
    deployment.executions().of_request(&request(seq))
}

#[tokio::test]
async fn the_higher_priority_goes_first() {
    let mut limits = engine_limits();
    limits.slots = 1;
    let deployment = start(plan().engine(limits)).await;
    let engine = first_engine(&deployment);
    let mut streams = Vec::new();
    for (seq, priority) in [(1, 5), (2, 1), (3, 9)] {
        let mut asked = dispatch(&deployment, seq, LONG);
        asked.priority = priority;
        streams.push(engine.generate(asked).await.unwrap());
        let waiting = usize::try_from(seq).unwrap();
        until(|| deployment.engine("engine-1").unwrap().requests == waiting).await;
    }
    engine.cancel(&request(1), 0).await.unwrap();
    until(|| runs(&deployment, 3) == 1).await;
    assert_eq!(runs(&deployment, 2), 0);
}

/// An engine gets slow with one request; others on it go on as before.
#[tokio::test]
async fn a_slow_request_makes_no_progress_beside_others() {
    let mut limits = engine_limits();
    limits.prefill = Duration::ZERO;
    limits.slow = 1_000_000;
    let deployment = start(plan().engine(limits)).await;
    let engine = first_engine(&deployment);
    once(&deployment, Fault::EngineSlow);
    let slow = engine.generate(dispatch(&deployment, 1, 4)).await.unwrap();
    until(|| runs(&deployment, 1) == 1).await;
    let other = dispatch(&deployment, 2, 4);
    let prompt = other.prompt.clone();
    assert!(ask(&engine, other).await.is_whole(&prompt, 4));
    engine.cancel(&request(1), 0).await.unwrap();
    let slow = receive(slow).await;
    assert_eq!((slow.tokens.len(), slow.count), (0, None));
}

/// Cache events come late: what a router heard is not what the engine holds.
#[tokio::test]
async fn events_lag_behind_the_cache() {
    let mut limits = engine_limits();
    limits.events = PATIENCE;
    let deployment = start(plan().engine(limits)).await;
    let engine = first_engine(&deployment);
    ask(&engine, dispatch(&deployment, 1, 2)).await;
    let batch = engine.events(0, Duration::ZERO).await.unwrap();
    assert_eq!((batch.events.len(), batch.newest), (0, 0));
    let listing = engine.listing().await.unwrap();
    assert_eq!((listing.keys.len(), listing.newest), (3, 3));
}

#[tokio::test]
async fn a_caller_of_another_domain_is_farther_away() {
    let near = "domain-1".parse().unwrap();
    let far = "domain-2".parse().unwrap();
    let deployment = start(plan().between(PATIENCE)).await;
    let addr = deployment.addresses().engines[&"engine-1".parse().unwrap()];
    let from = |domain| {
        let settings = Settings::builder()
            .read_timeout(SILENCE)
            .domain(domain)
            .build();
        HttpEngine::new(url(addr), settings)
    };
    assert!(from(near).load().await.is_ok());
    let error = from(far).load().await.unwrap_err();
    assert_eq!(error.fault(), Why::Broken);
}

/// A caller comes back for its answer after the engine has let go of it. It is told so, and not
/// that the request never ran.
#[tokio::test]
async fn a_finished_answer_is_forgotten_in_the_end() {
    let mut limits = engine_limits();
    limits.keep = Duration::ZERO;
    let deployment = start(plan().engine(limits)).await;
    let engine = first_engine(&deployment);
    ask(&engine, dispatch(&deployment, 1, 2)).await;
    let error = loop {
        if let Err(error) = engine.resume(&request(1), 0, Seq(2)).await {
            break error;
        }
    };
    assert_eq!(error.fault(), Why::Forgotten);
    assert_eq!(runs(&deployment, 1), 1);
}

#[tokio::test]
async fn blocks_are_imported_from_another_engine() {
    let deployment = start(plan()).await;
    ask(&first_engine(&deployment), dispatch(&deployment, 1, 2)).await;
    let id = "engine-2".parse().unwrap();
    let second = HttpEngine::new(url(deployment.addresses().engines[&id]), settings());
    let mut asked = dispatch(&deployment, 2, 2);
    asked.incarnation = deployment.engine("engine-2").unwrap().incarnation;
    asked.import = Some("engine-1".parse().unwrap());
    assert_eq!(ask(&second, asked).await.cached, Some(Tokens(48)));
}
