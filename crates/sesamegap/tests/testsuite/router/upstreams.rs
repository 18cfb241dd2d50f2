//! Engines and workers that leave, restart, lag or go mute.

use crate::support::{ALPHA, BETA, Got, PATIENCE, Site, answer, plan, question, read, request_id};
use reqwest::{Method, StatusCode};
use serde_json::{Value, json};
use sesamegap_standin::plan::EngineLimits;
use sesamegap_standin::{Fault, Hit};
use std::time::Duration;

/// An engine is about to go and says so only itself, while the VM list still names it as live. It
/// must get no new work, and no caller may notice.
#[tokio::test]
async fn an_engine_that_says_it_is_leaving_gets_no_new_work() {
    let site = Site::start(plan(), 1).await;
    site.deployment.refuse("engine-1", true).unwrap();
    for number in 0..8 {
        let body = question(&format!("question {number}"), 3, false);
        let (status, body) = read(site.chat(0, &body).send().await.unwrap()).await;
        assert_eq!(status, StatusCode::OK, "{body}");
    }
    let runs = site.deployment.executions().requests;
    assert!(runs.iter().all(|run| run.upstream.as_str() == "engine-2"));
}

/// A worker of a plain service leaves in the same way.
#[tokio::test]
async fn a_worker_that_says_it_is_leaving_gets_no_new_work() {
    let site = Site::start(plan(), 1).await;
    site.deployment.refuse("filing-1", true).unwrap();
    for _ in 0..4 {
        let call = site.ask(0, Method::POST, "/v1/services/filing/save", ALPHA);
        let (status, reply) = read(call.send().await.unwrap()).await;
        assert_eq!(status, StatusCode::OK, "{reply}");
        assert_eq!(reply["worker"], "filing-2");
    }
}

/// Two teams send the same bytes. One must never be answered from the other's cache entries, or
/// it could find out by the time of the first token what the other had asked.
#[tokio::test]
async fn equal_prompts_of_two_teams_share_nothing() {
    let site = Site::start(plan().engines(1), 1).await;
    let body = question(&"a dossier ".repeat(50), 2, false);
    let mut cached = Vec::new();
    for key in [ALPHA, ALPHA, BETA] {
        let request = site.ask(0, Method::POST, "/v1/chat/completions", key);
        let (_, body) = read(request.json(&body).send().await.unwrap()).await;
        let usage = &body["usage"]["prompt_tokens_details"]["cached_tokens"];
        cached.push(usage.as_u64().unwrap());
    }
    assert_eq!(cached[0], 0);
    assert!(cached[1] > 0);
    assert_eq!(cached[2], 0);
}

/// An engine restarts between the decision and the dispatch, with its cache lost, and its event
/// stream has a gap besides. Callers get whole answers from whoever can give them.
#[tokio::test]
async fn a_crash_and_a_gap_together_do_not_show() {
    let site = Site::start(plan().engines(3), 1).await;
    let text = "a dossier ".repeat(50);
    for round in 0..6 {
        site.hit(Hit::once(Fault::EventGap), None);
        if round % 2 == 1 {
            site.hit(Hit::once(Fault::EngineCrash), Some("engine-1"));
        }
        let sent = site
            .chat(0, &question(&text, 5, true))
            .send()
            .await
            .unwrap();
        let got = Got::all(sent).await;
        assert_eq!(got.text, answer(&text, 5), "{got:?}");
        assert!(got.done);
    }
}

/// Connections go mute while the engine behind them is also leaving. The answer under way must
/// still come whole, for a leaving engine finishes what it has.
#[tokio::test]
async fn a_mute_connection_to_a_leaving_engine_is_replaced() {
    let site = Site::start(plan(), 1).await;
    let sent = site.stream("hello", 400).await;
    let id = request_id(&sent);
    let on = site.runs_at(&id);
    site.deployment.refuse(on.as_str(), true).unwrap();
    site.hit(Hit::once(Fault::EngineSilent), Some(on.as_str()));
    let got = Got::all(sent).await;
    assert_eq!(got.text, answer("hello", 400), "{:?}", got.error);
    assert!(got.done);
}

#[tokio::test]
async fn a_cancelled_request_ends_at_its_engine() {
    let site = Site::start(plan(), 1).await;
    let sent = site.stream("hello", 400).await;
    let path = format!("/v1/requests/{}", request_id(&sent));
    let cancel = site
        .ask(0, Method::DELETE, &path, ALPHA)
        .send()
        .await
        .unwrap();
    assert_eq!(cancel.status(), StatusCode::NO_CONTENT);
    let got = Got::all(sent).await;
    assert!(!got.done);
    assert_eq!(got.error.unwrap()["code"], "cancelled");
    site.until(0, "no request in flight", |dump| dump["flights"] == 0)
        .await;
}

/// A caller opens streams and reads none of them. Another one must be served as if the first were
/// not there.
#[tokio::test]
async fn a_slow_reader_holds_up_nobody() {
    let site = Site::start(plan(), 1).await;
    let mut unread = Vec::new();
    for number in 0..8 {
        let body = question(&format!("slow {number}"), 400, true);
        unread.push(site.chat(0, &body).send().await.unwrap());
    }
    let sent = site
        .chat(0, &question("quick", 20, true))
        .send()
        .await
        .unwrap();
    assert_eq!(Got::all(sent).await.text, answer("quick", 20));
    for (number, sent) in unread.into_iter().enumerate() {
        let text = format!("slow {number}");
        assert_eq!(Got::all(sent).await.text, answer(&text, 400));
    }
}

/// One engine answers late. In a class that allows it, a second attempt starts beside the late
/// first one, and the caller gets one answer, from whichever was first.
#[tokio::test]
async fn a_late_first_token_starts_a_second_attempt() {
    let site = Site::start(plan(), 1).await;
    let base = site.dump(0).await["settings"]["revision"].as_u64().unwrap();
    let hedge = json!([{ "path": "classes/standard/hedge", "value": true }]);
    let (status, answered) = site.publish(0, base, &hedge).await;
    assert_eq!(status, StatusCode::OK, "{answered}");
    // The decider learns what is usual before it can tell what is late.
    for _ in 0..30 {
        let sent = site.chat(0, &question("hello", 2, false)).send().await;
        assert_eq!(sent.unwrap().status(), StatusCode::OK);
    }
    let late = Hit::lasting(Fault::LateAnswer, PATIENCE);
    site.hit(late, Some("engine-1"));
    // Either engine may be picked; sooner or later it is the late one.
    loop {
        let sent = site.chat(0, &question("hello", 20, true)).send().await;
        let got = Got::all(sent.unwrap()).await;
        assert_eq!(got.text, answer("hello", 20));
        assert!(got.done);
        let metrics = site.ask(0, Method::GET, "/metrics", ALPHA).send().await;
        let metrics = metrics.unwrap().text().await.unwrap();
        if metrics.contains("outcome=\"hedge\"") {
            break;
        }
    }
    site.until(0, "nothing booked any longer", |dump| {
        dump["flights"] == 0 && dump["decider"]["flights"] == 0
    })
    .await;
}

/// An engine takes its time between taking a prompt and the first token. A router that heard of
/// both together would hold every engine for infinitely fast, recompute prompts that others have
/// cached, and send long prompts where others wait; callers would wait several times as long.
#[tokio::test]
async fn the_time_an_engine_computes_is_learned() {
    let slow = EngineLimits {
        prefill: Duration::from_micros(500),
        beat: Duration::from_millis(20),
        ..EngineLimits::default()
    };
    let site = Site::start(plan().engines(1).engine(slow), 1).await;
    let prompt = "a prompt of about a thousand tokens ".repeat(110);
    let sent = site.chat(0, &question(&prompt, 1, false)).send().await;
    assert!(sent.unwrap().status().is_success());
    let learned = |dump: &Value| {
        let engine = &dump["decider"]["placing"]["engines"][0];
        engine["us_per_token"].as_f64().unwrap_or(0.0)
    };
    // The stand-in sleeps at least that long, so a busy machine can only raise what is learned.
    site.until(0, "what a token takes", |dump| learned(dump) > 150.0)
        .await;
}
