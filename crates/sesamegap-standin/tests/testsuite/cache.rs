//! The engines' prompt cache, its events and gaps, and imported blocks.

use crate::support::{
    ask, dispatch, engine_limits, first_engine, incarnation, once, plan, settings, start, url,
};
use sesamegap_standin::{Fault, Tag};
use sesamegap_upstream::{Engine, HttpStore, KvStore};
use sesamegap_wire::engine::CacheEvent;
use sesamegap_wire::{BlockKey, Tokens, WeightsVersion};
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(5);

fn stored(events: &[(u64, CacheEvent)]) -> Vec<BlockKey> {
    let keys = |event: &(u64, CacheEvent)| match &event.1 {
        CacheEvent::Stored { keys } => keys.clone(),
        CacheEvent::Evicted { .. } => Vec::new(),
    };
    events.iter().flat_map(keys).collect()
}

#[tokio::test]
async fn a_second_request_finds_the_blocks_of_the_first() {
    let deployment = start(plan()).await;
    let engine = first_engine(&deployment);
    ask(&engine, dispatch(&deployment, 1, 2)).await;
    let second = ask(&engine, dispatch(&deployment, 2, 2)).await;
    assert_eq!(second.cached, Some(Tokens(48)));
    let batch = engine.events(0, WAIT).await.unwrap();
    assert_eq!(batch.incarnation, incarnation(&deployment));
    assert_eq!(stored(&batch.events), [0, 1, 2].map(BlockKey));
    assert_eq!(batch.newest, 3);
    let listing = engine.listing().await.unwrap();
    assert_eq!((listing.keys.len(), listing.newest), (3, 3));
}

/// An event gets lost. A router that goes by events alone would believe for ever in a block that
/// is not there, or never hear of one that is; the numbers show the gap, even at the end.
#[tokio::test]
async fn a_lost_event_leaves_a_gap_in_the_numbers() {
    let deployment = start(plan()).await;
    let engine = first_engine(&deployment);
    once(&deployment, Fault::EventGap);
    ask(&engine, dispatch(&deployment, 1, 2)).await;
    let batch = engine.events(0, WAIT).await.unwrap();
    let numbers: Vec<_> = batch.events.iter().map(|event| event.0).collect();
    assert_eq!((numbers, batch.newest), (vec![2, 3], 3));
    assert_eq!(engine.listing().await.unwrap().keys.len(), 3);
}

#[tokio::test]
async fn evicted_blocks_go_to_the_store_and_come_back() {
    let mut limits = engine_limits();
    limits.capacity = 3;
    let deployment = start(plan().store().engine(limits)).await;
    let engine = first_engine(&deployment);
    ask(&engine, dispatch(&deployment, 1, 2)).await;
    let mut other = dispatch(&deployment, 2, 2);
    other.blocks = (10..13).map(BlockKey).collect();
    ask(&engine, other).await;
    let store = HttpStore::new(url(deployment.addresses().store.unwrap()), settings());
    let keys: Vec<_> = (0..4).map(BlockKey).collect();
    assert_eq!(store.held_prefix_len(&keys).await.unwrap(), 3);
    let mut again = dispatch(&deployment, 3, 2);
    again.import = Some("store-1".parse().unwrap());
    assert_eq!(ask(&engine, again).await.cached, Some(Tokens(48)));
}

/// The store still holds a block that was computed with weights since replaced. An answer from it
/// would be quietly wrong, so the engine computes the block instead.
#[tokio::test]
async fn an_imported_block_of_other_weights_is_refused() {
    let deployment = start(plan().store()).await;
    let engine = first_engine(&deployment);
    let tag = Tag {
        model: "model-1".parse().unwrap(),
        version: WeightsVersion(9),
    };
    deployment.keep(BlockKey(0), tag);
    let mut asked = dispatch(&deployment, 1, 2);
    asked.import = Some("store-1".parse().unwrap());
    assert_eq!(ask(&engine, asked).await.cached, Some(Tokens(0)));
    assert_eq!(deployment.engine("engine-1").unwrap().refused_imports, 1);
}

#[tokio::test]
async fn the_load_report_tells_what_runs() {
    let deployment = start(plan()).await;
    let engine = first_engine(&deployment);
    let _running = engine
        .generate(dispatch(&deployment, 1, 60_000))
        .await
        .unwrap();
    loop {
        let report = engine.load().await.unwrap();
        assert_eq!(report.incarnation, incarnation(&deployment));
        if report.running == 1 {
            break;
        }
    }
}
