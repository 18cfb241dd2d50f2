//! What must run at most once.

use crate::support::{ALPHA, BETA, PATIENCE, Site, answer, plan, question, read};
use reqwest::{Method, RequestBuilder, StatusCode};
use serde_json::Value;
use sesamegap::config::ProcessConfig;
use sesamegap_standin::{Fault, Hit};
use std::time::Duration;
use uuid::{NoContext, Timestamp, Uuid};

fn key() -> String {
    Uuid::now_v7().to_string()
}

/// A filing save, which the service must not run twice.
fn save(site: &Site, router: usize, key: &str) -> RequestBuilder {
    let request = site.ask(router, Method::POST, "/v1/services/filing/save", ALPHA);
    request.header("idempotency-key", key).body("form 7")
}

async fn send(request: RequestBuilder) -> (StatusCode, Value) {
    read(request.send().await.expect("a router answers")).await
}

/// Gives up on the log soon.
fn hasty(config: &mut ProcessConfig) {
    config.timing.log = Duration::from_millis(600);
}

async fn ticket(site: &Site, router: usize) -> String {
    let request = site.ask(router, Method::POST, "/v1/tickets", ALPHA);
    let (status, body) = send(request).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    body["key"].as_str().expect("a ticket").to_owned()
}

/// A clerk saves a filing, the reply is lost on the way, and the clerk's program sends the same
/// again, to the same router or another one. A second run would file twice.
#[tokio::test]
async fn a_repeated_save_gets_the_first_reply() {
    let site = Site::start(plan(), 2).await;
    for key in [key(), "form-7-of-clerk-3".to_owned()] {
        let (status, first) = send(save(&site, 0, &key)).await;
        assert_eq!(status, StatusCode::OK, "{first}");
        for router in [0, 1, 1] {
            let (status, again) = send(save(&site, router, &key)).await;
            assert_eq!((status, &again), (StatusCode::OK, &first));
        }
        assert_eq!(site.deployment.executions().of_key(&key), 1);
    }
}

/// A caller's program sends one save to all routers at the same moment. Whoever's claim comes
/// first in the log runs it, and all callers get that one's reply.
#[tokio::test]
async fn routers_that_race_with_one_key_run_it_once() {
    let site = Site::start(plan(), 3).await;
    let key = key();
    let sent = (0..9).map(|number| send(save(&site, number % 3, &key)));
    let replies = futures_util::future::join_all(sent).await;
    for (status, reply) in &replies {
        assert_eq!((*status, reply), (StatusCode::OK, &replies[0].1));
    }
    assert_eq!(site.deployment.executions().of_key(&key), 1);
}

/// The log takes a claim, and its answer is lost. A router that claimed anew would find the key
/// taken, by itself, and refuse its own caller for good.
#[tokio::test]
async fn a_lost_answer_of_the_log_costs_nothing() {
    let site = Site::start(plan(), 1).await;
    site.hit(Hit::once(Fault::LogLostAnswer), None);
    let key = key();
    let (status, reply) = send(save(&site, 0, &key)).await;
    assert_eq!(status, StatusCode::OK, "{reply}");
    assert_eq!(site.deployment.executions().of_key(&key), 1);
}

/// The log is down. Nobody can tell who may run a caller's own key, so it is refused as not run;
/// tickets and repeatable requests go on. When the log is back the same key runs, once.
#[tokio::test]
async fn without_the_log_tickets_and_repeatable_requests_go_on() {
    let site = Site::start_tuned(plan(), 2, hasty).await;
    site.deployment.set_log_down(true);
    let own = key();
    let (status, refused) = send(save(&site, 0, &own)).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        (&refused["ran"], &refused["code"]),
        (&"no".into(), &"log_down".into())
    );
    assert_eq!(site.deployment.executions().of_key(&own), 0);
    let ticket = ticket(&site, 0).await;
    for router in [0, 1] {
        let (status, reply) = send(save(&site, router, &ticket)).await;
        assert_eq!(status, StatusCode::OK, "{reply}");
    }
    assert_eq!(site.deployment.executions().of_key(&ticket), 1);
    let (status, body) = send(site.chat(0, &question("hello", 3, false))).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    site.deployment.set_log_down(false);
    // The caller goes on asking for as long as it is told that nothing ran.
    let reply = loop {
        let (status, reply) = send(save(&site, 1, &own)).await;
        if status == StatusCode::OK {
            break reply;
        }
        assert_eq!(reply["code"], "log_down");
    };
    assert_eq!(reply["runs"], 1);
    assert_eq!(site.deployment.executions().of_key(&own), 1);
}

/// The worker runs a save and its reply is lost. The router cannot know that it ran, and must
/// neither run it again nor claim that it did not.
#[tokio::test]
async fn a_lost_reply_of_the_worker_is_told_as_unknown() {
    let site = Site::start(plan(), 1).await;
    site.hit(Hit::once(Fault::ReplyLost), None);
    let key = ticket(&site, 0).await;
    for _ in 0..2 {
        let (status, body) = send(save(&site, 0, &key)).await;
        assert_eq!(status, StatusCode::BAD_GATEWAY, "{body}");
        assert_eq!(body["ran"], "unknown");
    }
    assert_eq!(site.deployment.executions().of_key(&key), 1);
}

/// A router dies after it ran a save, and the caller asks another one, or its next life. Nobody
/// knows any longer what became of the save, so it must not run again.
#[tokio::test]
async fn a_key_whose_router_is_gone_never_runs_again() {
    let mut site = Site::start(plan(), 2).await;
    let keys = [key(), ticket(&site, 0).await];
    for key in &keys {
        assert_eq!(send(save(&site, 0, key)).await.0, StatusCode::OK);
    }
    site.restart(0).await;
    for key in &keys {
        for router in [0, 1] {
            let (status, body) = send(save(&site, router, key)).await;
            assert_eq!(status, StatusCode::GONE, "{body}");
            assert_eq!(body["ran"], "unknown");
        }
        assert_eq!(site.deployment.executions().of_key(key), 1);
    }
}

/// A key was used before the log's retention and comes again. Its claim is forgotten, so a router
/// that trusted the log would run it a second time.
#[tokio::test]
async fn a_key_older_than_the_log_is_refused() {
    let site = Site::start(plan(), 1).await;
    let old = Timestamp::from_unix(NoContext, 1_600_000_000, 0);
    let key = Uuid::new_v7(old).to_string();
    let (status, body) = send(save(&site, 0, &key)).await;
    assert_eq!(status, StatusCode::CONFLICT);
    assert_eq!(
        (&body["code"], &body["ran"]),
        (&"key_expired".into(), &"unknown".into())
    );
    assert_eq!(site.deployment.executions().of_key(&key), 0);
}

#[tokio::test]
async fn a_key_belongs_to_one_team_and_one_body() {
    let site = Site::start(plan(), 1).await;
    let key = key();
    assert_eq!(send(save(&site, 0, &key)).await.0, StatusCode::OK);
    let (status, body) = send(save(&site, 0, &key).body("form 8")).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(
        (&body["code"], &body["ran"]),
        (&"key_reused".into(), &"no".into())
    );
    let beta = site.ask(0, Method::POST, "/v1/services/filing/save", BETA);
    let (status, _) = send(beta.header("idempotency-key", &key).body("form 7")).await;
    assert_eq!(status, StatusCode::OK);
    let ticket = ticket(&site, 0).await;
    let beta = site.ask(0, Method::POST, "/v1/services/filing/save", BETA);
    let (status, body) = send(beta.header("idempotency-key", &ticket).body("form 7")).await;
    assert_eq!(
        (status, &body["ran"]),
        (StatusCode::BAD_REQUEST, &"no".into())
    );
}

#[tokio::test]
async fn a_model_request_with_a_key_runs_once_too() {
    let site = Site::start(plan(), 2).await;
    let key = key();
    for router in [0, 1, 0] {
        let request = site.chat(router, &question("hello", 5, false));
        let (status, body) = send(request.header("idempotency-key", &key)).await;
        assert_eq!(status, StatusCode::OK, "{body}");
        assert_eq!(body["choices"][0]["message"]["content"], answer("hello", 5));
    }
    assert_eq!(site.deployment.executions().of_key(&key), 1);
}

/// The log answers so late that a router gives its claim up and tells the caller that nothing ran.
/// The claim stands in the log all the same. When the router stops as planned it gives the claim
/// back, so that another one can run the key; else the key would answer `ran: unknown` for good.
#[tokio::test]
async fn a_stopping_router_gives_back_claims_under_which_nothing_ran() {
    let mut site = Site::start_tuned(plan(), 2, hasty).await;
    let key = key();
    // Slower than the router's patience, for long enough to be hit by this very append.
    let slow = Hit::lasting(Fault::LogSlow, Duration::from_millis(500));
    site.hit(slow, None);
    let (status, refused) = send(save(&site, 0, &key)).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{refused}");
    assert_eq!(refused["ran"], "no");
    let (team, text) = ("alpha".parse().unwrap(), key.as_str().into());
    site.until(1, "the claim in the log", |_| {
        site.routers[1].core().once.holder(&team, &text).is_some()
    })
    .await;
    site.routers.remove(0).stop().await;
    let other = &site.routers[0];
    let started = std::time::Instant::now();
    while other.core().once.holder(&team, &text).is_some() {
        assert!(started.elapsed() < PATIENCE, "never given back");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let (status, reply) = send(save(&site, 0, &key)).await;
    assert_eq!(status, StatusCode::OK, "{reply}");
    assert_eq!(site.deployment.executions().of_key(&key), 1);
}

/// A router dies while a save is on its way to the worker, and the caller asks another router at
/// once. Whether the save ran cannot be known, and it must not run again.
#[tokio::test]
async fn a_crash_in_the_middle_of_a_save_does_not_run_it_twice() {
    let slow = plan().work(Duration::from_millis(300));
    let mut site = Site::start(slow, 2).await;
    for minted in [false, true] {
        let key = if minted {
            ticket(&site, 0).await
        } else {
            key()
        };
        let under_way = tokio::spawn(save(&site, 0, &key).send());
        let started = std::time::Instant::now();
        while site.deployment.executions().of_key(&key) == 0 {
            assert!(started.elapsed() < PATIENCE, "never ran");
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        site.restart(0).await;
        assert!(under_way.await.unwrap().is_err(), "the connection broke");
        for router in [1, 0] {
            let (status, body) = send(save(&site, router, &key)).await;
            assert_eq!(
                (status, &body["ran"]),
                (StatusCode::GONE, &"unknown".into())
            );
        }
        assert_eq!(site.deployment.executions().of_key(&key), 1);
    }
}
