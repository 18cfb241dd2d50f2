use crate::support::{
    Platform, StandinEngine, document, entry, offset, settings, unused_addr, wait_until,
};
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::fleet::Entry;
use sesamegap_entry::ports::Weights;
use sesamegap_entry::roll;
use sesamegap_entry::telemetry::Logging;
use sesamegap_policy::routing::rolls::max_concurrent_loads;
use sesamegap_wire::{Incarnation, WeightsVersion};
use std::sync::Arc;
use std::time::Duration;

/// Creates an entry VM that runs rolling updates on the first `engines` engines.
fn vm(platform: &Arc<Platform>, name: &str, engines: usize) -> Arc<Core> {
    let core = Core::new(
        settings(name, Vec::new()),
        platform.ports(),
        Logging::disabled(),
    );
    let core = Arc::new(core.unwrap());
    let mut all = platform.engines.lock().unwrap();
    while all.len() < engines {
        all.push(StandinEngine::new(unused_addr()));
    }
    for (no, engine) in all.iter().enumerate() {
        let id = format!("e{no}").parse().unwrap();
        let entry = entry("engines", engine.addr);
        core.fleet
            .lock()
            .apply(&id, entry, offset(no as u64), clock::now());
    }
    core
}

fn name_weights(core: &Core, version: u32) {
    let weights = Weights {
        model: "m".into(),
        version: WeightsVersion(version),
    };
    core.fleet.lock().observe_naming(&weights, clock::now());
    core.weights_named.notify_one();
}

fn all_have(platform: &Platform, version: u32) -> bool {
    let engines = platform.engines.lock().unwrap();
    engines.iter().all(|engine| engine.version == version)
}

/// Two stand-in engines at one address count as one: the other gets no order, and the test waits in vain.
#[test]
fn no_two_standins_share_an_address() {
    let mut addrs: Vec<_> = (0..3_000).map(|_| unused_addr()).collect();
    addrs.sort_unstable();
    addrs.dedup();
    assert_eq!(addrs.len(), 3_000);
}

#[tokio::test]
async fn each_engine_gets_one_order_while_others_serve() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 5);
    tokio::spawn(roll::run(Arc::clone(&core)));
    name_weights(&core, 2);
    let mut least = usize::MAX;
    wait_until(|| {
        let now = clock::now();
        let fleet = core.fleet.lock();
        let open = fleet.upstreams().filter(|up| !up.is_paused(now));
        least = least.min(open.count());
        all_have(&platform, 2)
    })
    .await;
    assert!(least >= 2, "minimum of open engines: {least}");
    let engines = platform.engines.lock().unwrap();
    assert!(engines.iter().all(|engine| engine.orders.len() == 1));
}

/// An engine leaves an order unanswered and executes it only after a newer one. It would go back to the older weights.
#[tokio::test]
async fn a_late_order_is_rejected() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 3);
    platform.engines.lock().unwrap()[0].unanswered_orders = 1;
    tokio::spawn(roll::run(Arc::clone(&core)));
    name_weights(&core, 2);
    wait_until(|| all_have(&platform, 2)).await;
    let mut engines = platform.engines.lock().unwrap();
    let late = engines[0]
        .late
        .clone()
        .expect("an order should have been left unanswered");
    assert!(
        !engines[0].execute(&late),
        "the late order expects an earlier number of orders"
    );
    assert_eq!(engines[0].version, 2);
}

/// New weights are named while engines drain for an earlier version. Loading the superseded version as well would take
/// the engines out of service twice.
#[tokio::test]
async fn a_version_superseded_during_the_drain_is_not_loaded() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 4);
    tokio::spawn(roll::run(Arc::clone(&core)));
    name_weights(&core, 2);
    name_weights(&core, 3);
    wait_until(|| all_have(&platform, 3)).await;
    let engines = platform.engines.lock().unwrap();
    let orders = engines.iter().flat_map(|engine| &engine.orders);
    assert!(
        orders
            .into_iter()
            .all(|order| order.weights.version == WeightsVersion(3))
    );
}

/// Two VMs learn of new weights at the same time and cannot reach each other. Engines that do not check fencing numbers
/// would accept orders of both.
#[tokio::test]
async fn only_one_vm_gives_orders() {
    let platform = Arc::new(Platform::default());
    let one = vm(&platform, "vm-1", 4);
    let two = vm(&platform, "vm-2", 4);
    for core in [&one, &two] {
        tokio::spawn(roll::run(Arc::clone(core)));
        name_weights(core, 2);
    }
    wait_until(|| all_have(&platform, 2)).await;
    let engines = platform.engines.lock().unwrap();
    let orders: Vec<_> = engines.iter().flat_map(|engine| &engine.orders).collect();
    assert!(
        orders.iter().all(|order| order.holder == orders[0].holder),
        "{orders:?}"
    );
    assert!(orders.iter().all(|order| order.fence == orders[0].fence));
}

/// The store is unavailable when weights are named, so no VM can hold the lease. Orders given without it could conflict
/// with those of another VM.
#[tokio::test]
async fn no_orders_are_given_without_the_lease() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 2);
    *platform.is_unavailable.lock().unwrap() = true;
    tokio::spawn(roll::run(Arc::clone(&core)));
    name_weights(&core, 2);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let ordered = || {
        let engines = platform.engines.lock().unwrap();
        engines
            .iter()
            .map(|engine| engine.orders.len())
            .sum::<usize>()
    };
    assert_eq!(ordered(), 0);
    *platform.is_unavailable.lock().unwrap() = false;
    wait_until(|| all_have(&platform, 2)).await;
}

/// An engine crashed and another instance has its address, but the list still contains the old entry. The roll would
/// repeat its order, and the VMs would keep sending requests to it.
#[tokio::test]
async fn an_engine_replaced_by_another_instance_is_announced_as_gone() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 5);
    platform.engines.lock().unwrap()[0].moved = true;
    tokio::spawn(roll::run(Arc::clone(&core)));
    name_weights(&core, 2);
    let others_have = || {
        let engines = platform.engines.lock().unwrap();
        engines[1..].iter().all(|engine| engine.version == 2)
    };
    wait_until(|| others_have() && !platform.engines.lock().unwrap()[0].orders.is_empty()).await;
    let gone = "e0".parse().unwrap();
    wait_until(|| core.fleet.lock().get(&gone).unwrap().is_gone(clock::now())).await;
    let told = core.peers.outbox.take();
    let word = told.iter().find(|news| news.engine == gone);
    assert!(word.is_some_and(|news| news.gone), "{told:?}");
    assert_eq!(platform.engines.lock().unwrap()[0].orders.len(), 1);
}

/// An engine crashes right after it accepted an order, and restarts under the same id with its former weights. The order
/// is lost, so the engine would serve old weights for as long as the roll waits for the load; and the next order must
/// expect the new instance's number of orders rather than that of the former one.
#[tokio::test]
async fn an_engine_that_restarts_while_loading_gets_a_new_order() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 4);
    {
        let mut engines = platform.engines.lock().unwrap();
        engines[0].born = Some(Incarnation(7));
        engines[0].restarts = 1;
    }
    tokio::spawn(roll::run(Arc::clone(&core)));
    name_weights(&core, 2);
    wait_until(|| all_have(&platform, 2)).await;
    let engines = platform.engines.lock().unwrap();
    let orders = &engines[0].orders;
    assert_eq!(orders.len(), 2);
    assert!(
        orders.iter().all(|order| order.expected == 0),
        "each instance counts its own orders: {orders:?}"
    );
    let fleet = core.fleet.lock();
    let belief = fleet.belief(&"e0".parse().unwrap()).unwrap();
    assert_eq!(belief.born(), Some(Incarnation(8)));
    assert!(
        engines[0].reports < 15,
        "the roll waited for an order of the former instance: asked {} times",
        engines[0].reports
    );
}

/// Many engines load at once, so that each load takes three and a half seconds, but an engine is announced as out for
/// only three seconds. If the announcement were renewed only during the drain, requests would be sent to an engine that
/// is still loading and refuses them.
#[tokio::test]
async fn a_slowly_loading_engine_stays_out_of_service() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 3);
    tokio::spawn(roll::run(Arc::clone(&core)));
    name_weights(&core, 2);
    wait_until(|| !platform.engines.lock().unwrap()[0].orders.is_empty()).await;
    platform.engines.lock().unwrap()[0].version = 1;
    let began = clock::now();
    let id = "e0".parse().unwrap();
    while clock::now().since(began) < Duration::from_millis(3_500) {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let open = !core.fleet.lock().get(&id).unwrap().is_paused(clock::now());
        let after = clock::now().since(began);
        assert!(!open, "open {after:?} after its order, while still loading");
    }
}

/// All engines must load within a short time, since no new requests may start on their weights, or soon will not. Loads
/// share the bandwidth of the weight store: if six ran at once, each would take as long as the last one does when they
/// take turns.
#[tokio::test]
async fn concurrent_loads_are_limited() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 6);
    for engine in platform.engines.lock().unwrap().iter_mut() {
        engine.load_time = Duration::from_millis(400);
    }
    name_weights(&core, 2);
    let weights = Weights {
        model: "m".into(),
        version: WeightsVersion(2),
    };
    let long_ago = clock::ago(Duration::from_secs(7));
    core.fleet.lock().observe_naming(&weights, long_ago);
    tokio::spawn(roll::run(Arc::clone(&core)));
    let mut most = 0;
    wait_until(|| {
        let engines = platform.engines.lock().unwrap();
        let loading = engines.iter().filter(|engine| engine.is_loading()).count();
        most = most.max(loading);
        loading == 0 && engines.iter().all(|engine| engine.version == 2)
    })
    .await;
    assert_eq!(most, max_concurrent_loads(6));
    assert!(most < 6, "all engines loaded at once");
}

/// Five of nine engines have the newest weights, so the others may drain for three seconds; the weights were named two
/// seconds ago. The time left until the bound on old weights shrinks during the drain. If it were compared with the time
/// since the drain began, elapsed time would count twice: after two seconds a stream that needs a little longer would be
/// switched to the new weights, and the rest of it would be worthless to its caller.
#[tokio::test]
async fn an_engine_may_use_its_whole_drain_time() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 9);
    let ids: Vec<sesamegap_wire::UpstreamId> =
        (0..9).map(|no| format!("e{no}").parse().unwrap()).collect();
    for (no, id) in ids[..5].iter().enumerate() {
        platform.engines.lock().unwrap()[no].version = 2;
        let mut fleet = core.fleet.lock();
        fleet
            .get_mut(id)
            .unwrap()
            .record_version("m", WeightsVersion(2));
    }
    let service = "engines".parse().unwrap();
    let domain = "hall-a".parse().unwrap();
    let selection = sesamegap_entry::fleet::Selection {
        service: &service,
        domain: &domain,
        stores: &[],
        shape: None,
        tried: &ids[..8],
        tie_breaker: 0,
        shard: None,
        least_loaded: false,
        software: None,
        terms: None,
        left: Duration::ZERO,
        alone: false,
    };
    let stream = core.fleet.choose(&selection, clock::now()).unwrap();
    assert_eq!(stream.id, ids[8]);
    tokio::spawn(roll::run(Arc::clone(&core)));
    let began = clock::now();
    let weights = Weights {
        model: "m".into(),
        version: WeightsVersion(2),
    };
    let named = clock::ago(Duration::from_secs(2));
    core.fleet.lock().observe_naming(&weights, named);
    core.weights_named.notify_one();
    wait_until(|| !platform.engines.lock().unwrap()[8].orders.is_empty()).await;
    let drained = clock::now().since(began);
    assert!(drained >= Duration::from_millis(2_900), "{drained:?}");
}

/// Another writer lists an engine of a service that is not in the catalogue. Its owner did not ask for orders, and if the
/// roll counted it, it would take up one of the places for engines that may be out.
#[tokio::test]
async fn an_engine_of_a_service_outside_the_catalogue_gets_no_orders() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 3);
    core.adopt(&Arc::new(document(1)), "test");
    let foreign_engine = StandinEngine::new(unused_addr());
    let foreign_entry = Entry {
        service: "strangers".parse().unwrap(),
        ..entry("engines", foreign_engine.addr)
    };
    platform.engines.lock().unwrap().push(foreign_engine);
    let id = "e9".parse().unwrap();
    core.fleet
        .lock()
        .apply(&id, foreign_entry, offset(9), clock::now());
    tokio::spawn(roll::run(Arc::clone(&core)));
    name_weights(&core, 2);
    let own_engines_have = || {
        let engines = platform.engines.lock().unwrap();
        engines[..3].iter().all(|engine| engine.version == 2)
    };
    wait_until(own_engines_have).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(platform.engines.lock().unwrap()[3].orders.is_empty());
}

/// The holder of the lease loses its links to all engines. It would announce one engine after the other as out of
/// service, and all VMs would keep their requests from engines that nobody loads.
#[tokio::test]
async fn a_partitioned_vm_takes_no_engine_out_of_service() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 5);
    let lives = || {
        let fleet = core.fleet.lock();
        fleet.upstreams().map(|up| up.life).collect::<Vec<u64>>()
    };
    for life in lives() {
        core.record_connection(life, clock::now(), false);
    }
    assert!(core.fleet.lock().is_partitioned());
    core.peers.set_list_known();
    tokio::spawn(roll::run(Arc::clone(&core)));
    name_weights(&core, 2);
    for _ in 0..100 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let fleet = core.fleet.lock();
        let now = clock::now();
        assert!(fleet.upstreams().all(|up| !up.is_paused(now)));
    }
    let asked = |platform: &Platform| {
        let engines = platform.engines.lock().unwrap();
        engines.iter().map(|engine| engine.reports).sum::<u32>()
    };
    assert_eq!(asked(&platform), 0);
    core.record_connection(lives()[0], clock::now(), true);
    wait_until(|| all_have(&platform, 2)).await;
}
