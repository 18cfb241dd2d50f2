//! Controllers under a lease, over sockets.

use crate::support::{PATIENCE, Site, answer, plan, question};
use bytes::Bytes;
use futures_util::future::{BoxFuture, FutureExt, ready};
use serde_json::{Value, json};
use sesamegap::config::{ProcessConfig, Timing};
use sesamegap::controller::{self, Links, Running};
use sesamegap_platform::{Log, Page, PlatformError, Reason};
use sesamegap_standin::{Engines, Fault, Hit, OrderRecord};
use sesamegap_wire::engine::{OrderAnswer, Wanted};
use sesamegap_wire::{Fence, Offset, StreamId};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// A lease so short that a test need not wait, and long against a busy machine's hiccups.
const LEASE: Duration = Duration::from_secs(2);

fn tuned(site: &Site, number: usize) -> ProcessConfig {
    let mut config = site.config(number, None);
    config.timing = Timing {
        lease: LEASE,
        log: Duration::from_millis(500),
        silence: Duration::from_millis(300),
        connect: Duration::from_millis(200),
        ..config.timing
    };
    config
}

async fn start(site: &Site, number: usize) -> Running {
    let config = tuned(site, number);
    let links = Links::http(&config);
    controller::start(config, links).await.unwrap()
}

async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < PATIENCE, "not seen: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn acts(controller: &Running) -> bool {
    controller.dump()["acting"] == true
}

/// Publishes another version of the model.
async fn roll(site: &Site, base: u64, version: u32) {
    let edits = json!([{ "path": "models/model-1/version", "value": version }]);
    let (status, answer) = site.publish(0, base, &edits).await;
    assert!(status.is_success(), "{answer}");
}

fn holders(engines: &Engines, version: u32) -> usize {
    let all = engines.engines.iter();
    all.filter(|engine| engine.loaded.iter().any(|(_, held)| held.0 == version))
        .count()
}

fn orders(engines: &Engines) -> Vec<Vec<OrderRecord>> {
    let all = engines.engines.iter();
    all.map(|engine| engine.orders.clone()).collect()
}

fn taken(orders: &[OrderRecord]) -> Vec<Fence> {
    let taken = orders.iter().filter(|o| o.answer == OrderAnswer::Taken);
    taken.map(|record| record.order.fence).collect()
}

/// A new version is published while callers ask. They would notice a refusal, an answer that
/// mixes weights, or a standstill while all engines load at once.
#[tokio::test]
async fn a_version_is_rolled_without_a_refusal() {
    let builder = plan().engines(5).model("model-1".parse().unwrap(), &[1, 2]);
    let site = Site::start(builder, 1).await;
    let controller = start(&site, 7).await;
    until("a controller that acts", || acts(&controller)).await;
    roll(&site, 1, 2).await;
    let started = Instant::now();
    while holders(&site.deployment.engines(), 2) < 5 {
        assert!(started.elapsed() < PATIENCE, "not rolled");
        let sent = site.chat(0, &question("hello", 5, false)).send().await;
        let body: Value = sent.unwrap().json().await.unwrap();
        let text = body["choices"][0]["message"]["content"].as_str();
        assert_eq!(text, Some(answer("hello", 5).as_str()), "{body}");
    }
    let engines = site.deployment.engines();
    assert!(engines.peak <= 2, "{} loads at once", engines.peak);
    controller.stop().await;
}

/// Two controllers run, and the one that acts dies. Without a successor no engine would get
/// another order; with two that act at once, engines would be ordered back and forth.
#[tokio::test]
async fn one_controller_acts_and_another_succeeds_it() {
    let builder = plan()
        .engines(3)
        .model("model-1".parse().unwrap(), &[1, 2, 3]);
    let site = Site::start(builder, 1).await;
    let first = start(&site, 7).await;
    until("a controller that acts", || acts(&first)).await;
    let second = start(&site, 8).await;
    roll(&site, 1, 2).await;
    until("the first roll", || {
        holders(&site.deployment.engines(), 2) == 3
    })
    .await;
    assert!(!acts(&second));
    first.kill();
    roll(&site, 2, 3).await;
    let rolled = || holders(&site.deployment.engines(), 3) == 3;
    until("the second roll", rolled).await;
    for orders in orders(&site.deployment.engines()) {
        let fences = taken(&orders);
        assert!(fences.is_sorted(), "{fences:?}");
        let loads = orders.iter().map(|record| &record.order.wanted);
        let versions: Vec<u32> = loads
            .filter_map(|wanted| match wanted {
                Wanted::Load { version, .. } => Some(version.0),
                Wanted::Drop { .. } => None,
            })
            .collect();
        assert!(versions.is_sorted(), "ordered back and forth: {versions:?}");
    }
    second.stop().await;
}

/// The log is down for longer than the lease, and the holder cannot renew. Another could have got
/// the lease meanwhile, for all it knows; going on would be two that order.
#[tokio::test]
async fn a_holder_that_cannot_renew_stops() {
    let site = Site::start(plan(), 1).await;
    let controller = start(&site, 7).await;
    until("a controller that acts", || acts(&controller)).await;
    site.deployment.set_log_down(true);
    until("a controller that stopped", || !acts(&controller)).await;
    site.deployment.set_log_down(false);
    until("a controller that acts again", || acts(&controller)).await;
    controller.stop().await;
}

/// The answer to the append that took the lease is lost. A holder that did not recognise its own
/// record would leave the engines without orders for a whole lease.
#[tokio::test]
async fn a_lease_whose_answer_was_lost_is_held() {
    let site = Site::start(plan(), 1).await;
    site.hit(Hit::once(Fault::LogLostAnswer), None);
    let controller = start(&site, 7).await;
    until("a controller that acts", || acts(&controller)).await;
    controller.stop().await;
}

/// A planned stop gives the lease back, so that the next controller need not wait it out.
#[tokio::test]
async fn a_stopped_controller_gives_the_lease_back() {
    let site = Site::start(plan(), 1).await;
    let controller = start(&site, 7).await;
    until("a controller that acts", || acts(&controller)).await;
    controller.stop().await;
    let next = start(&site, 8).await;
    until("the next controller", || acts(&next)).await;
    assert_eq!(next.dump()["lease"]["own"], next.dump()["lease"]["fence"]);
    next.stop().await;
}

/// A log that can be cut off from one process while others go on reaching it.
#[derive(Debug)]
struct CutLog {
    log: Arc<dyn Log>,
    cut: AtomicBool,
}

impl CutLog {
    fn reached(&self) -> Result<(), PlatformError> {
        if self.cut.load(Ordering::Acquire) {
            return Err(PlatformError::new(Reason::Unreached, "cut off"));
        }
        Ok(())
    }
}

impl Log for CutLog {
    fn append<'a>(
        &'a self,
        stream: &'a StreamId,
        records: Vec<Bytes>,
    ) -> BoxFuture<'a, Result<Offset, PlatformError>> {
        match self.reached() {
            Ok(()) => self.log.append(stream, records),
            Err(error) => ready(Err(error)).boxed(),
        }
    }

    fn read<'a>(
        &'a self,
        stream: &'a StreamId,
        from: Offset,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Page, PlatformError>> {
        match self.reached() {
            Ok(()) => self.log.read(stream, from, wait),
            Err(error) => ready(Err(error)).boxed(),
        }
    }
}

/// The holder is cut off from the log and from its successor, but still reaches the engines. If it
/// went on ordering, engines that ignore fencing numbers would be ordered back and forth by two.
#[tokio::test]
async fn a_holder_that_is_cut_off_orders_no_more_than_its_successor_allows() {
    let builder = plan()
        .engines(3)
        .fencing(false)
        .model("model-1".parse().unwrap(), &[1, 2]);
    let site = Site::start(builder, 1).await;
    let config = tuned(&site, 7);
    let links = Links::http(&config);
    let link = Arc::new(CutLog {
        log: Arc::clone(&links.log),
        cut: AtomicBool::new(false),
    });
    let log: Arc<dyn Log> = Arc::clone(&link) as Arc<dyn Log>;
    let first = controller::start(config, Links { log, ..links }).await;
    let first = first.unwrap();
    until("a controller that acts", || acts(&first)).await;
    link.cut.store(true, Ordering::Release);
    let second = start(&site, 8).await;
    until("the successor", || acts(&second)).await;
    // What a dump shows lags by a round; the order of the fencing numbers below is exact.
    until("a former holder that stopped", || !acts(&first)).await;
    roll(&site, 1, 2).await;
    until("the roll", || holders(&site.deployment.engines(), 2) == 3).await;
    for orders in orders(&site.deployment.engines()) {
        assert!(taken(&orders).is_sorted(), "{orders:?}");
    }
    first.stop().await;
    second.stop().await;
}
