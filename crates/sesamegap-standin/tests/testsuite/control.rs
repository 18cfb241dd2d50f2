//! The control address.

use crate::support::{ask, dispatch, first_engine, incarnation, plan, settings, start, until, url};
use bytes::Bytes;
use reqwest::{Client, Method, StatusCode};
use sesamegap_platform::{HttpLog, HttpVms, Log, Reason, VmList};
use sesamegap_standin::{Deployment, Engines, Executions, Fault, FaultError, Restart};
use sesamegap_wire::Offset;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

async fn send(
    deployment: &Deployment,
    key: &str,
    method: Method,
    path: &str,
) -> (StatusCode, String) {
    let client = Client::builder().no_proxy().build().unwrap();
    let url = format!("{}{path}", url(deployment.addresses().control));
    let sent = client.request(method, url).bearer_auth(key).send().await;
    let response = sent.unwrap();
    (response.status(), response.text().await.unwrap())
}

#[tokio::test]
async fn only_the_operators_key_opens_it() {
    let deployment = start(plan()).await;
    for key in ["", "operato", "operator2"] {
        let (status, _) = send(&deployment, key, Method::GET, "/engines").await;
        assert_eq!(status, StatusCode::UNAUTHORIZED, "{key}");
    }
}

#[tokio::test]
async fn it_tells_what_ran_and_what_engines_hold() {
    let deployment = start(plan()).await;
    ask(&first_engine(&deployment), dispatch(&deployment, 1, 2)).await;
    let (_, text) = send(&deployment, "operator", Method::GET, "/executions").await;
    let executions: Executions = serde_json::from_str(&text).unwrap();
    assert_eq!(executions.of_key("key-1"), 1);
    let (_, text) = send(&deployment, "operator", Method::GET, "/engines").await;
    let engines: Engines = serde_json::from_str(&text).unwrap();
    assert_eq!(engines.engines.len(), 2);
    assert_eq!(engines.engines[0].blocks, 3);
}

#[tokio::test]
async fn it_brings_about_faults_and_refuses_nonsense() {
    let deployment = start(plan()).await;
    let before = incarnation(&deployment);
    let post = |path| send(&deployment, "operator", Method::POST, path);
    let (status, _) = post("/fault/engine-crash?target=engine-1&seconds=0").await;
    assert_eq!(status, StatusCode::NO_CONTENT);
    assert!(incarnation(&deployment) > before);
    for path in [
        "/fault/nonsense",
        "/fault/engine-crash?target=nobody",
        "/fault/engine-crash?seconds=-1",
        "/fault/engine-crash?seconds=NaN",
        "/fault/vm-leaving",
        "/fault/router-restart",
    ] {
        let (status, text) = post(path).await;
        assert_eq!(status, StatusCode::BAD_REQUEST, "{path}: {text}");
    }
}

/// The log is out for a demonstration that knows one address only. The control must stay open, or
/// nobody could look at what happens.
#[tokio::test]
async fn it_serves_the_platform_too_and_outlives_the_logs_outage() {
    let deployment = start(plan()).await;
    let base = url(deployment.addresses().control);
    let log = HttpLog::new(base.clone(), settings());
    let name = "settings".parse().unwrap();
    log.append(&name, vec![Bytes::from_static(b"a")])
        .await
        .unwrap();
    assert_eq!(
        HttpVms::new(base, settings()).list().await.unwrap().len(),
        2
    );
    deployment.set_log_down(true);
    let error = log.append(&name, vec![Bytes::from_static(b"b")]).await;
    assert_eq!(error.unwrap_err().reason(), Reason::Unknown);
    let (status, _) = send(&deployment, "operator", Method::GET, "/engines").await;
    assert_eq!(status, StatusCode::OK);
    deployment.set_log_down(false);
    let page = log.read(&name, Offset(0), Duration::ZERO).await.unwrap();
    assert_eq!(page.records.len(), 1);
}

#[derive(Debug, Default)]
struct Restarts(AtomicUsize);

impl Restart for Restarts {
    fn restart(&self, _: Option<&str>) -> Result<(), FaultError> {
        self.0.fetch_add(1, Ordering::AcqRel);
        Ok(())
    }
}

#[tokio::test]
async fn restarts_are_passed_on_to_whoever_runs_routers() {
    let deployment = start(plan()).await;
    let restarts = Arc::new(Restarts::default());
    deployment.on_restart(Arc::clone(&restarts) as Arc<dyn Restart>);
    let (status, _) = send(
        &deployment,
        "operator",
        Method::POST,
        "/fault/routers-restart",
    )
    .await;
    assert_eq!(status, StatusCode::NO_CONTENT);
    until(|| restarts.0.load(Ordering::Acquire) == 1).await;
}

#[test]
fn every_fault_stands_in_the_operators_page() {
    let page = include_str!("../../../../docs/standins.md");
    for fault in Fault::ALL {
        assert!(page.contains(&format!("`{fault}`")), "{fault}");
        assert_eq!(fault.name().parse(), Ok(*fault));
    }
}
