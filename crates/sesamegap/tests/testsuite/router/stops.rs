//! Planned stops and restarts.

use crate::support::{ALPHA, Got, PATIENCE, Site, answer, plan, plan_with, question, read, url};
use reqwest::{Method, StatusCode};
use std::time::Duration;

/// An operator stops a router that has answers under way. None may be cut, callers that still hold
/// its address are served for that address's time to live, and after that are sent elsewhere.
#[tokio::test]
async fn a_planned_stop_cuts_nothing_and_then_names_others() {
    // The answer under way takes far longer than the address lives, so that the router is seen
    // refusing while it finishes.
    let slow = plan_with(Duration::from_millis(8));
    let mut site = Site::start_tuned(slow, 2, |config| {
        config.timing.address = Duration::from_millis(300);
    })
    .await;
    let running = site.stream("hello", 400).await;
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

/// All routers die at once while the log is down. Nobody has the settings any longer, so callers
/// are refused as not run, not told that their keys are wrong; once the log is back all is well.
#[tokio::test]
async fn without_log_and_peers_callers_are_told_to_wait() {
    let mut site = Site::start_tuned(plan(), 2, |config| {
        config.timing.log = Duration::from_millis(600);
    })
    .await;
    site.deployment.set_log_down(true);
    let at = [site.crash(0).await, site.crash(0).await];
    for (number, at) in at.into_iter().enumerate() {
        site.revive(number, at).await;
    }
    let body = question("hello", 2, false);
    let (status, refused) = read(site.chat(0, &body).send().await.unwrap()).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        (&refused["code"], &refused["ran"]),
        (&"starting".into(), &"no".into())
    );
    site.deployment.set_log_down(false);
    let started = std::time::Instant::now();
    while site.chat(0, &body).send().await.unwrap().status() != StatusCode::OK {
        assert!(started.elapsed() < PATIENCE, "never served again");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Operators restart all routers one after another while callers go on. A caller that is refused
/// as not run, or finds a port closed, asks another router; none may lose an answer.
#[tokio::test]
async fn a_rolling_restart_loses_no_request() {
    let mut site = Site::start(plan(), 3).await;
    let addresses: Vec<_> = site
        .routers
        .iter()
        .map(|router| url(router.addr()))
        .collect();
    let http = site.http.clone();
    let stop = tokio_util::sync::CancellationToken::new();
    let stopped = stop.clone();
    let caller = tokio::spawn(async move {
        let mut whole = 0;
        while !stopped.is_cancelled() {
            let text = format!("question {whole}");
            let router = &addresses[whole % addresses.len()];
            let request = http.post(format!("{router}/v1/chat/completions"));
            let request = request.bearer_auth(ALPHA).json(&question(&text, 30, true));
            let sent = match request.send().await {
                Ok(sent) if sent.status().is_success() => sent,
                Ok(refused) => {
                    let (_, body) = read(refused).await;
                    assert_eq!(body["ran"], "no", "{body}");
                    whole += 1;
                    continue;
                }
                Err(error) => {
                    assert!(error.is_connect(), "cut: {error:?}");
                    whole += 1;
                    continue;
                }
            };
            let got = Got::all(sent).await;
            assert_eq!(got.text, answer(&text, 30), "{:?}", got.error);
            assert!(got.done);
            whole += 1;
        }
        whole
    });
    for number in 0..3 {
        let old = site.routers.remove(number);
        let at = old.addr();
        old.stop().await;
        site.revive(number, at).await;
    }
    stop.cancel();
    assert!(caller.await.unwrap() > 0);
}
