//! Orders to engines, with and without fencing, and loads from the weight store.

use crate::support::{first_engine, plan, settings, start, until, url};
use sesamegap_platform::{HttpWeights, Reason, WeightStore};
use sesamegap_standin::Deployment;
use sesamegap_upstream::Engine;
use sesamegap_wire::engine::{Order, OrderAnswer, Wanted};
use sesamegap_wire::{Fence, ModelId, WeightsVersion};

fn model() -> ModelId {
    "model-1".parse().unwrap()
}

fn load(fence: u64, version: u32) -> Order {
    let wanted = Wanted::Load {
        model: model(),
        version: WeightsVersion(version),
    };
    Order {
        fence: Fence(fence),
        wanted,
    }
}

fn holds(deployment: &Deployment, version: u32) -> bool {
    let engine = deployment.engine("engine-1").unwrap();
    engine.loaded.contains(&(model(), WeightsVersion(version)))
}

/// A controller was paused past its lease and gives an old order. An engine that checks fencing
/// numbers refuses it, one that does not obeys, and whoever waits for the outcome must know which.
#[tokio::test]
async fn an_old_order_is_refused_only_where_fences_are_checked() {
    for (checks, answer) in [(true, OrderAnswer::Fenced), (false, OrderAnswer::Taken)] {
        let deployment = start(plan().fencing(checks)).await;
        let engine = first_engine(&deployment);
        let newer = engine.order(&load(8, 2)).await.unwrap();
        let older = engine.order(&load(5, 3)).await.unwrap();
        assert_eq!((newer, older), (OrderAnswer::Taken, answer));
        until(|| holds(&deployment, 2)).await;
        if !checks {
            until(|| holds(&deployment, 3)).await;
        }
        assert_eq!(holds(&deployment, 3), !checks);
        let orders = deployment.engine("engine-1").unwrap().orders;
        let fences: Vec<_> = orders.iter().map(|taken| taken.order.fence.0).collect();
        assert_eq!(fences, [8, 5]);
    }
}

#[tokio::test]
async fn a_repeated_order_loads_once_and_a_drop_drops() {
    let deployment = start(plan()).await;
    let engine = first_engine(&deployment);
    for _ in 0..3 {
        engine.order(&load(1, 2)).await.unwrap();
    }
    until(|| holds(&deployment, 2)).await;
    assert_eq!(deployment.engines().peak, 1);
    let wanted = Wanted::Drop {
        model: model(),
        below: WeightsVersion(2),
    };
    let drop = Order {
        fence: Fence(1),
        wanted,
    };
    engine.order(&drop).await.unwrap();
    assert!(!holds(&deployment, 1) && holds(&deployment, 2));
}

#[tokio::test]
async fn the_weight_store_lists_versions() {
    let deployment = start(plan().model(model(), &[1, 2])).await;
    let weights = HttpWeights::new(url(deployment.addresses().weights), settings());
    deployment.add_version(&model(), WeightsVersion(4));
    let versions = weights.versions(&model()).await.unwrap();
    assert_eq!(versions, [1, 2, 4].map(WeightsVersion));
    let unknown = weights.versions(&"other".parse().unwrap()).await;
    assert_eq!(unknown.unwrap_err().reason(), Reason::Refused);
}
