//! Planned stops and restarts.

use crate::support::{
    ALPHA, Got, PATIENCE, Site, answer, plan, plan_with, question, read, timing, url,
};
use reqwest::{Method, StatusCode};
use std::time::Duration;

/// An operator stops a router that has answers under way. None may be cut, callers that still hold
/// its address are served for that address's time to live, and after that are sent elsewhere.
#[tokio::test]
async fn a_planned_stop_cuts_nothing_and_then_names_others() {
    let mut timing = timing();
    timing.address = Duration::from_millis(300);
    // The answer under way takes far longer than the address lives, so that the router is seen
    // refusing while it finishes.
    let slow = plan_with(Duration::from_millis(8));
    let mut site = Site::start_with(slow, 2, timing).await;
    let running = site
        .chat(0, &question("hello", 400, true))
        .send()
        .await
        .unwrap();
    let chat = site.url(0, "/v1/chat/completions");
    let other = site.url(1, "");
    let at = site.routers[0].addr();
    let http = site.http.clone();
    let stopping = tokio::spawn(site.routers.remove(0).stop());
    let ask = || {
        let request = http.post(&chat).bearer_auth(ALPHA);
        request.json(&question("hi", 1, false)).send()
    };
    let started = std::time::Instant::now();
    // Served while it leaves, refused with another address afterwards.
    let mut served = 0;
    let refused = loop {
        assert!(started.elapsed() < PATIENCE, "never refused");
        let Ok(sent) = ask().await else {
            break None;
        };
        let (status, body) = read(sent).await;
        if status != StatusCode::OK {
            break Some((status, body));
        }
        served += 1;
        let health = http.get(format!("{}/healthz", url(at))).send().await;
        assert_ne!(health.unwrap().status(), StatusCode::OK, "named to callers");
    };
    assert!(served > 0);
    let (status, body) = refused.expect("refused with a reason before the port closed");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        (&body["code"], &body["ran"]),
        (&"stopping".into(), &"no".into())
    );
    assert_eq!(body["addresses"][0], other);
    let got = Got::all(running).await;
    assert_eq!(got.text, answer("hello", 400));
    assert!(got.done);
    stopping.await.unwrap();
}

/// A router restarts. The first request after its port answers must be served, and must find the
/// prompt's prefix where the router's peers know it to be.
#[tokio::test]
async fn a_restarted_router_serves_at_once_and_warm() {
    let mut site = Site::start(plan().engines(6), 2).await;
    let text = "a long dossier ".repeat(40);
    for router in [1, 1] {
        let sent = site
            .chat(router, &question(&text, 2, false))
            .send()
            .await
            .unwrap();
        assert_eq!(sent.status(), StatusCode::OK);
    }
    site.restart(0).await;
    let (status, body) = read(
        site.chat(0, &question(&text, 2, false))
            .send()
            .await
            .unwrap(),
    )
    .await;
    assert_eq!(status, StatusCode::OK, "{body}");
    let cached = &body["usage"]["prompt_tokens_details"]["cached_tokens"];
    assert!(cached.as_u64().unwrap() > 0, "{body}");
}

/// All routers restart at the same moment, with the log up. Each serves as soon as its port
/// answers.
#[tokio::test]
async fn routers_that_restart_together_serve_at_once() {
    let mut site = Site::start(plan(), 3).await;
    for number in 0..3 {
        site.restart(number).await;
    }
    for number in 0..3 {
        let sent = site
            .chat(number, &question("hello", 2, false))
            .send()
            .await
            .unwrap();
        assert_eq!(sent.status(), StatusCode::OK);
    }
}

/// Peers speak to each other under a shared secret. Without it nobody may read another team's
/// answer, or the settings, through the peers' side.
#[tokio::test]
async fn the_peers_side_needs_the_secret() {
    let site = Site::start(plan(), 1).await;
    for path in ["hello", "warmth", "settings", "relay", "resume", "cancel"] {
        for secret in ["", "a secret that only routers know not"] {
            let path = format!("/peer/{path}");
            let request = site.ask(0, Method::POST, &path, ALPHA);
            let sent = request
                .header("sesamegap-secret", secret)
                .send()
                .await
                .unwrap();
            assert_eq!(sent.status(), StatusCode::UNAUTHORIZED, "{path}");
        }
    }
}
