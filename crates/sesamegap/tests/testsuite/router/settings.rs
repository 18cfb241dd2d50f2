//! Settings in force on every router, whatever happens to the log.

use crate::support::{OPERATOR, Site, plan, read};
use bytes::Bytes;
use futures_util::future::{BoxFuture, FutureExt, pending, ready};
use reqwest::{Method, StatusCode};
use serde_json::{Value, json};
use sesamegap::router::peers::ListedPeers;
use sesamegap::router::{Links, Router};
use sesamegap_platform::{Log, Page, PlatformError, VmEntry, VmList};
use sesamegap_standin::{Fault, Hit};
use sesamegap_wire::{Offset, StreamId};
use std::sync::Arc;
use std::time::Duration;

fn weight(team: &str, weight: u32) -> Value {
    json!([{ "path": format!("teams/{team}/weight"), "value": weight }])
}

async fn revision(site: &Site, router: usize) -> u64 {
    site.dump(router).await["settings"]["revision"]
        .as_u64()
        .unwrap()
}

async fn everywhere(site: &Site, revision: u64) {
    for router in 0..site.routers.len() {
        site.until(router, "the revision", |dump| {
            dump["settings"]["revision"].as_u64() >= Some(revision)
        })
        .await;
    }
}

#[tokio::test]
async fn a_change_published_at_one_router_is_in_force_on_all() {
    let site = Site::start(plan(), 3).await;
    let base = revision(&site, 0).await;
    let (status, answer) = site.publish(1, base, &weight("alpha", 3)).await;
    assert_eq!(status, StatusCode::OK, "{answer}");
    everywhere(&site, answer["revision"].as_u64().unwrap()).await;
    for router in 0..3 {
        let path = "/admin/effective/teams/alpha";
        let asked = site.ask(router, Method::GET, path, OPERATOR).send().await;
        let (_, shown) = read(asked.unwrap()).await;
        let values = shown["values"].as_array().unwrap();
        let weight = values.iter().find(|value| value["name"] == "weight");
        assert_eq!(weight.unwrap()["value"], 3, "{shown}");
    }
}

/// Two operators change the same value at the same moment, each having seen the same state. One
/// of them must win everywhere, and the other must learn who it was.
#[tokio::test]
async fn racing_operators_get_one_winner_and_one_explained_conflict() {
    let site = Site::start(plan(), 2).await;
    let base = revision(&site, 0).await;
    let (one, other) = (weight("alpha", 3), weight("alpha", 4));
    let sent = [site.publish(0, base, &one), site.publish(1, base, &other)];
    let answers = futures_util::future::join_all(sent).await;
    let won = answers
        .iter()
        .filter(|(status, _)| *status == StatusCode::OK);
    assert_eq!(won.count(), 1, "{answers:?}");
    let lost = answers
        .iter()
        .find(|(status, _)| *status == StatusCode::CONFLICT);
    let (_, explained) = lost.unwrap();
    assert_eq!(explained["by"], "tester");
    assert_eq!(explained["path"], "teams/alpha/weight");
}

#[tokio::test]
async fn a_faulty_change_is_refused_with_all_findings() {
    let site = Site::start(plan(), 1).await;
    let base = revision(&site, 0).await;
    let edits = json!([
        { "path": "teams/alpha/weight", "value": -1 },
        { "path": "teams/alpha/class", "value": "gold" },
        { "path": "no such path", "value": 1 },
    ]);
    let (status, answer) = site.publish(0, base, &edits).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY, "{answer}");
    assert_eq!(revision(&site, 0).await, base);
}

#[tokio::test]
async fn only_the_operators_key_opens_the_operators_side() {
    let site = Site::start(plan(), 1).await;
    for path in ["/admin/tree", "/admin/history", "/dump"] {
        for key in ["", "alpha-key"] {
            let sent = site.ask(0, Method::GET, path, key).send().await.unwrap();
            assert_eq!(sent.status(), StatusCode::UNAUTHORIZED, "{path}");
        }
    }
}

/// The log takes a change and its answer is lost. The operator must be told what became of it,
/// and it must be in force once.
#[tokio::test]
async fn a_change_whose_append_lost_its_answer_is_applied_once() {
    let site = Site::start(plan(), 2).await;
    let base = revision(&site, 0).await;
    site.hit(Hit::once(Fault::LogLostAnswer), None);
    let (status, answer) = site.publish(0, base, &weight("alpha", 3)).await;
    assert_eq!(status, StatusCode::OK, "{answer}");
    everywhere(&site, base + 1).await;
    assert_eq!(revision(&site, 1).await, base + 1);
}

/// A router starts while the log is down. It must serve with the settings that its peers have.
#[tokio::test]
async fn a_router_that_cannot_reach_the_log_gets_settings_from_a_peer() {
    let mut site = Site::start(plan(), 2).await;
    let before = revision(&site, 1).await;
    site.deployment.set_log_down(true);
    site.restart(0).await;
    assert_eq!(revision(&site, 0).await, before);
    site.deployment.set_log_down(false);
    let (status, answer) = site.publish(0, before, &weight("alpha", 3)).await;
    assert_eq!(status, StatusCode::OK, "{answer}");
    everywhere(&site, before + 1).await;
}

/// Retention dropped the log's first records, and all routers restart at once. The settings must
/// come back from a snapshot.
#[tokio::test]
async fn settings_survive_retention_in_a_snapshot() {
    let mut site = Site::start(plan(), 1).await;
    let before = revision(&site, 0).await;
    let core = site.routers[0].core();
    let next = sesamegap::router::tree::snapshots::append(core)
        .await
        .unwrap();
    let stream = sesamegap_platform::log::streams::settings();
    let at = sesamegap_wire::Offset(next.0 - 1);
    site.deployment.expire(&stream, at);
    site.restart(0).await;
    assert_eq!(revision(&site, 0).await, before);
}

/// A log whose waiting reads hang, as when a follower's connection has gone mute.
#[derive(Debug)]
struct MuteFollower(Arc<dyn Log>);

impl Log for MuteFollower {
    fn append<'a>(
        &'a self,
        stream: &'a StreamId,
        records: Vec<Bytes>,
    ) -> BoxFuture<'a, Result<Offset, PlatformError>> {
        self.0.append(stream, records)
    }

    fn read<'a>(
        &'a self,
        stream: &'a StreamId,
        from: Offset,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Page, PlatformError>> {
        if wait > Duration::ZERO {
            return pending().boxed();
        }
        self.0.read(stream, from, wait)
    }
}

/// A router is behind the log, and an operator brings it a change that builds on what it has not
/// read. If it refused, the operator would be told that nothing took effect of a change whose
/// first append may stand in the log.
#[tokio::test]
async fn a_router_behind_the_log_refuses_no_change() {
    let mut site = Site::start(plan(), 1).await;
    let mut config = site.config(1, None);
    config.timing.log = Duration::from_millis(600);
    let links = Links::http(&config);
    let log = Arc::new(MuteFollower(Arc::clone(&links.log)));
    // Without peers to learn from it stays where it is.
    let alone = Arc::new(ListedPeers::new(config.vm.clone(), Duration::ZERO));
    let links = Links {
        log,
        vms: Arc::new(NoVms),
        peers: Some(alone),
        ..links
    };
    let behind = Router::new(config, links).start().await.unwrap();
    site.routers.push(behind);
    // The class stands in the log, which this router has not read.
    let edits = json!([{ "path": "teams/gamma", "value": { "class": "standard" } }]);
    let (status, answer) = site.publish(1, 0, &edits).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{answer}");
    assert_eq!(answer["outcome"], "unavailable", "{answer}");
}

/// A list that names nobody.
#[derive(Debug)]
struct NoVms;

impl VmList for NoVms {
    fn list(&self) -> BoxFuture<'_, Result<Vec<VmEntry>, PlatformError>> {
        ready(Ok(Vec::new())).boxed()
    }
}
