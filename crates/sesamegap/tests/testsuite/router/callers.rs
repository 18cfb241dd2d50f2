//! What callers send and get.

use crate::support::{ALPHA, BETA, Got, Site, answer, plan, question, read, request_id};
use reqwest::{Method, StatusCode};
use serde_json::json;

#[tokio::test]
async fn an_answer_comes_whole_as_one_document() {
    let site = Site::start(plan(), 1).await;
    let sent = site
        .chat(0, &question("hello", 7, false))
        .send()
        .await
        .unwrap();
    let id = request_id(&sent);
    let (status, body) = read(sent).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    assert_eq!(body["choices"][0]["message"]["content"], answer("hello", 7));
    assert_eq!(body["choices"][0]["finish_reason"], "stop");
    assert_eq!(body["usage"]["completion_tokens"], 7);
    assert_eq!(site.deployment.executions().of_request(&id), 1);
}

#[tokio::test]
async fn a_stream_gives_the_same_text_and_says_that_it_is_whole() {
    let site = Site::start(plan(), 1).await;
    let sent = site.stream("hello", 50).await;
    let got = Got::all(sent).await;
    assert_eq!(got.text, answer("hello", 50));
    assert!(got.done && got.error.is_none());
    assert_eq!(got.last, Some(49));
}

#[tokio::test]
async fn a_repeated_prompt_is_found_in_a_cache() {
    let site = Site::start(plan().engines(1), 1).await;
    let text = "a dossier ".repeat(50);
    let mut cached = 0;
    for _ in 0..2 {
        let sent = site
            .chat(0, &question(&text, 2, false))
            .send()
            .await
            .unwrap();
        let (_, body) = read(sent).await;
        cached = body["usage"]["prompt_tokens_details"]["cached_tokens"]
            .as_u64()
            .unwrap();
    }
    assert!(cached > 0);
}

#[tokio::test]
async fn models_are_listed_for_a_team() {
    let site = Site::start(plan(), 1).await;
    let (_, body) = read(
        site.ask(0, Method::GET, "/v1/models", ALPHA)
            .send()
            .await
            .unwrap(),
    )
    .await;
    assert_eq!(body["data"][0]["id"], "model-1");
    let one = site.ask(0, Method::GET, "/v1/models/model-2", ALPHA);
    assert_eq!(one.send().await.unwrap().status(), StatusCode::NOT_FOUND);
}

/// Callers send what they should not: broken JSON, names that do not exist, too much. Each must
/// learn what is wrong and that nothing ran, and the next caller must notice nothing.
#[tokio::test]
async fn bad_input_is_refused_and_disturbs_nobody() {
    let site = Site::start(plan(), 1).await;
    let chat = "/v1/chat/completions";
    let post = |path, body: String| site.ask(0, Method::POST, path, ALPHA).body(body);
    let good = question("hello", 3, false).to_string();
    let mut unknown = question("hello", 3, false);
    unknown["model"] = json!("model-2");
    let long = question(&"x".repeat(40_000), 3, false).to_string();
    let asked = [
        ("not JSON", post(chat, "{\"model\"".into()), 400, "bad_json"),
        (
            "no messages",
            post(chat, json!({ "model": "model-1" }).to_string()),
            400,
            "bad_request",
        ),
        (
            "unknown model",
            post(chat, unknown.to_string()),
            404,
            "model_not_found",
        ),
        ("too long", post(chat, long), 400, "context_length_exceeded"),
        (
            "too large",
            post(chat, "x".repeat(9 << 20)),
            413,
            "body_too_large",
        ),
        (
            "unknown class",
            post(chat, good.clone()).header("sesamegap-class", "gold"),
            400,
            "unknown_class",
        ),
        (
            "garbled header",
            post(chat, good.clone()).header("idempotency-key", b"\xff\xfe".as_slice()),
            400,
            "bad_header",
        ),
        (
            "wrong key",
            site.ask(0, Method::POST, chat, "gamma").body(good.clone()),
            401,
            "wrong_key",
        ),
        (
            "wrong method",
            site.ask(0, Method::PUT, chat, ALPHA),
            405,
            "method_not_allowed",
        ),
        (
            "no such path",
            site.ask(0, Method::GET, "/v2", ALPHA),
            404,
            "not_found",
        ),
        (
            "no such service",
            post("/v1/services/none/x", String::new()),
            404,
            "unknown_service",
        ),
        (
            "no request id",
            site.ask(0, Method::GET, "/v1/requests/x", ALPHA),
            400,
            "bad_request_id",
        ),
    ];
    for (what, request, status, code) in asked {
        let (got, body) = read(request.send().await.unwrap()).await;
        assert_eq!(got.as_u16(), status, "{what}: {body}");
        assert_eq!(body["code"], code, "{what}");
        assert_eq!(body["error"]["code"], code, "{what}");
        assert_eq!(body["ran"], "no", "{what}");
        assert!(body["message"].is_string(), "{what}");
    }
    assert!(site.deployment.executions().requests.is_empty());
    let (status, _) = read(post(chat, good).send().await.unwrap()).await;
    assert_eq!(status, StatusCode::OK);
}

#[tokio::test]
async fn a_team_sees_only_its_own_requests() {
    let site = Site::start(plan(), 1).await;
    let sent = site
        .chat(0, &question("hello", 3, false))
        .send()
        .await
        .unwrap();
    let path = format!("/v1/requests/{}", request_id(&sent));
    for method in [Method::GET, Method::DELETE] {
        let other = site.ask(0, method, &path, BETA).send().await.unwrap();
        assert_eq!(other.status(), StatusCode::NOT_FOUND);
    }
    let own = site.ask(0, Method::GET, &path, ALPHA).send().await.unwrap();
    assert_eq!(Got::all(own).await.text, answer("hello", 3));
}
