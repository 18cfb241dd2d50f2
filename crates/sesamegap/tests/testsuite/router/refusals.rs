//! Refusals that say that nothing ran, against the record of what ran.

use crate::support::{Site, plan, plan_with, question, read, request_id};
use reqwest::StatusCode;
use serde_json::json;
use std::time::Duration;

/// More requests come than the router may have in flight. The ones over the bound must be refused
/// at once, truly not run, while the others go on.
#[tokio::test]
async fn requests_over_the_bound_are_refused_and_not_run() {
    let slow = plan_with(Duration::from_millis(5));
    let site = Site::start_tuned(slow, 1, |config| config.bounds.flights = 2).await;
    let mut under_way = Vec::new();
    for _ in 0..2 {
        under_way.push(site.stream("hello", 200).await);
    }
    let runs = site.deployment.executions().requests.len();
    let sent = site
        .chat(0, &question("hello", 2, false))
        .send()
        .await
        .unwrap();
    assert!(sent.headers().contains_key("retry-after"));
    let (status, body) = read(sent).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        (&body["code"], &body["ran"]),
        (&"overload".into(), &"no".into())
    );
    assert_eq!(site.deployment.executions().requests.len(), runs);
}

/// No engine holds the wanted weights, nor any older ones. The caller learns it at once, and
/// nothing ran.
#[tokio::test]
async fn weights_that_nobody_holds_are_refused_and_not_run() {
    let site = Site::start(plan(), 1).await;
    let base = site.dump(0).await["settings"]["revision"].as_u64().unwrap();
    let model = json!([{ "path": "models/model-9", "value": { "block": 16, "longest": 4000 } }]);
    let (status, answer) = site.publish(0, base, &model).await;
    assert_eq!(status, StatusCode::OK, "{answer}");
    let mut asked = question("hello", 2, false);
    asked["model"] = json!("model-9");
    let sent = site.chat(0, &asked).send().await.unwrap();
    let id = request_id(&sent);
    let (status, body) = read(sent).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        (&body["code"], &body["ran"]),
        (&"no_engine".into(), &"no".into())
    );
    assert_eq!(site.deployment.executions().of_request(&id), 0);
}

/// Every engine is about to go and refuses new work. Each says that it did not run the request,
/// so the router may say so too, even of a request that must not run twice.
#[tokio::test]
async fn a_request_that_every_engine_refuses_is_not_run() {
    let site = Site::start(plan(), 1).await;
    for engine in ["engine-1", "engine-2"] {
        site.deployment.refuse(engine, true).unwrap();
    }
    let request = site.chat(0, &question("hello", 2, false));
    let sent = request
        .header("sesamegap-repeatable", "no")
        .send()
        .await
        .unwrap();
    let id = request_id(&sent);
    let (status, body) = read(sent).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(body["ran"], "no", "{body}");
    assert_eq!(site.deployment.executions().of_request(&id), 0);
}

/// Many large prompts come at once. Without a bound on all of them together they would fill the
/// memory long before there are too many requests; over it, a caller is refused as not run.
#[tokio::test]
async fn prompts_over_the_room_for_all_of_them_are_refused() {
    let slow = plan_with(Duration::from_millis(5));
    let site = Site::start_tuned(slow, 1, |config| config.bounds.body = 4096).await;
    let large = question(&"x".repeat(3900), 400, true);
    // Room for 40 of them, each of which takes seconds.
    let sent = (0..60).map(|_| site.chat(0, &large).send());
    let sent = futures_util::future::join_all(sent).await;
    let mut refused = 0;
    for sent in sent.into_iter().map(Result::unwrap) {
        if sent.status() == StatusCode::OK {
            continue;
        }
        let (status, body) = read(sent).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(
            (&body["code"], &body["ran"]),
            (&"overload".into(), &"no".into())
        );
        assert_eq!(body["message"], "the router has too many large prompts");
        refused += 1;
    }
    assert!(refused > 0, "no bound");
}
