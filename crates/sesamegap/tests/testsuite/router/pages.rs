//! Pages that must agree with the code, and what operators see.

use crate::support::{ALPHA, Site, plan, question};
use reqwest::{Method, StatusCode};
use sesamegap::events;
use std::fmt::Write as _;

#[test]
fn the_page_of_events_lists_them_all() {
    let page = include_str!("../../../../../docs/events.md");
    let rows = page.lines().filter(|line| line.starts_with("| 1"));
    let rows: Vec<&str> = rows.collect();
    let mut expected = String::new();
    for event in events::ALL {
        writeln!(expected, "| {} | {} |", event.number, event.meaning).unwrap();
    }
    assert_eq!(rows.join("\n") + "\n", expected);
    let rising = events::ALL
        .windows(2)
        .all(|two| two[0].number < two[1].number);
    assert!(rising);
}

#[tokio::test]
async fn metrics_tell_decisions_tokens_and_the_logs_age() {
    let site = Site::start(plan(), 1).await;
    let sent = site
        .chat(0, &question("hello", 2, false))
        .send()
        .await
        .unwrap();
    assert_eq!(sent.status(), StatusCode::OK);
    let metrics = site.ask(0, Method::GET, "/metrics", ALPHA).send().await;
    let metrics = metrics.unwrap().text().await.unwrap();
    for name in [
        "sesamegap_decisions_total{",
        "outcome=\"send\"",
        "sesamegap_prompt_tokens_total{",
        "sesamegap_first_token_seconds_bucket{",
        "what=\"log_age_seconds\"",
        "what=\"peers\"",
        "what=\"queued\"",
    ] {
        assert!(metrics.contains(name), "{name} is not in {metrics}");
    }
}
