use crate::support::{Platform, StandinEngine, document, entry, offset, settings, until, unused};
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

/// An entry VM that rolls weights on these engines.
fn vm(platform: &Arc<Platform>, name: &str, engines: usize) -> Arc<Core> {
    let core = Core::new(
        settings(name, Vec::new()),
        platform.ports(),
        Logging::none(),
    );
    let core = Arc::new(core.unwrap());
    let mut all = platform.engines.lock().unwrap();
    while all.len() < engines {
        all.push(StandinEngine::new(unused()));
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

fn name(core: &Core, version: u32) {
    let weights = Weights {
        model: "m".into(),
        version: WeightsVersion(version),
    };
    core.fleet.lock().name_weights(&weights, clock::now());
    core.weights_named.notify_one();
}

fn all_hold(platform: &Platform, version: u32) -> bool {
    let engines = platform.engines.lock().unwrap();
    engines.iter().all(|engine| engine.version == version)
}

#[tokio::test]
async fn each_engine_gets_one_order_and_some_serve_all_the_while() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 5);
    tokio::spawn(roll::run(Arc::clone(&core)));
    name(&core, 2);
    let mut least = usize::MAX;
    until(|| {
        let now = clock::now();
        let fleet = core.fleet.lock();
        let open = fleet.upstreams().filter(|up| !up.is_paused(now));
        least = least.min(open.count());
        all_hold(&platform, 2)
    })
    .await;
    assert!(least >= 2, "{least} engines were open at the least");
    let engines = platform.engines.lock().unwrap();
    assert!(engines.iter().all(|engine| engine.orders.len() == 1));
}

/// An engine leaves an order unanswered and carries it out later, when a newer one was carried out.
/// The older weights would come back.
#[tokio::test]
async fn an_order_that_is_carried_out_late_does_nothing() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 3);
    platform.engines.lock().unwrap()[0].mute_orders = 1;
    tokio::spawn(roll::run(Arc::clone(&core)));
    name(&core, 2);
    until(|| all_hold(&platform, 2)).await;
    let mut engines = platform.engines.lock().unwrap();
    let late = engines[0]
        .late
        .clone()
        .expect("an order was left unanswered");
    assert!(
        !engines[0].carry_out(&late),
        "its number of orders is that of before"
    );
    assert_eq!(engines[0].version, 2);
}

/// Weights are named while older ones still load. Loading those in between costs callers twice.
#[tokio::test]
async fn a_version_that_is_overtaken_while_engines_drain_is_not_loaded() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 4);
    tokio::spawn(roll::run(Arc::clone(&core)));
    name(&core, 2);
    name(&core, 3);
    until(|| all_hold(&platform, 3)).await;
    let engines = platform.engines.lock().unwrap();
    let orders = engines.iter().flat_map(|engine| &engine.orders);
    assert!(
        orders
            .into_iter()
            .all(|order| order.weights.version == WeightsVersion(3))
    );
}

/// Two VMs see new weights at the same moment and do not hear each other. Engines that check no
/// fencing number would take orders of both.
#[tokio::test]
async fn only_one_vm_orders() {
    let platform = Arc::new(Platform::default());
    let one = vm(&platform, "vm-1", 4);
    let two = vm(&platform, "vm-2", 4);
    for core in [&one, &two] {
        tokio::spawn(roll::run(Arc::clone(core)));
        name(core, 2);
    }
    until(|| all_hold(&platform, 2)).await;
    let engines = platform.engines.lock().unwrap();
    let orders: Vec<_> = engines.iter().flat_map(|engine| &engine.orders).collect();
    assert!(
        orders.iter().all(|order| order.holder == orders[0].holder),
        "{orders:?}"
    );
    assert!(orders.iter().all(|order| order.fence == orders[0].fence));
}

/// The store is away when weights are named, so nobody can hold the lease. Ordering without it
/// could cross another VM's orders.
#[tokio::test]
async fn nothing_is_ordered_without_the_lease() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 2);
    *platform.away.lock().unwrap() = true;
    tokio::spawn(roll::run(Arc::clone(&core)));
    name(&core, 2);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let ordered = || {
        let engines = platform.engines.lock().unwrap();
        engines
            .iter()
            .map(|engine| engine.orders.len())
            .sum::<usize>()
    };
    assert_eq!(ordered(), 0);
    *platform.away.lock().unwrap() = false;
    until(|| all_hold(&platform, 2)).await;
}

/// An engine crashed and another instance has its address, while the list still names it. The roll
/// would order it over and over, and the VMs would go on sending it requests.
#[tokio::test]
async fn an_engine_that_is_another_instance_now_is_left_alone_and_told_to_all() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 5);
    platform.engines.lock().unwrap()[0].moved = true;
    tokio::spawn(roll::run(Arc::clone(&core)));
    name(&core, 2);
    let others_hold = || {
        let engines = platform.engines.lock().unwrap();
        engines[1..].iter().all(|engine| engine.version == 2)
    };
    until(|| others_hold() && !platform.engines.lock().unwrap()[0].orders.is_empty()).await;
    let gone = "e0".parse().unwrap();
    until(|| core.fleet.lock().get(&gone).unwrap().is_gone(clock::now())).await;
    let told = core.peers.outbox.take();
    let word = told.iter().find(|news| news.engine == gone);
    assert!(word.is_some_and(|news| news.gone), "{told:?}");
    assert_eq!(platform.engines.lock().unwrap()[0].orders.len(), 1);
}

/// An engine crashes right after it took an order and starts again under its id, with the weights that it
/// had. It has answered "taken" and carries nothing out, so callers would go on getting old weights for
/// as long as the roll waits for it; and the order's number is that of its former life.
#[tokio::test]
async fn an_engine_that_starts_again_while_it_loads_is_ordered_anew() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 4);
    {
        let mut engines = platform.engines.lock().unwrap();
        engines[0].born = Some(Incarnation(7));
        engines[0].restarts = 1;
    }
    tokio::spawn(roll::run(Arc::clone(&core)));
    name(&core, 2);
    until(|| all_hold(&platform, 2)).await;
    let engines = platform.engines.lock().unwrap();
    let orders = &engines[0].orders;
    assert_eq!(orders.len(), 2);
    assert!(
        orders.iter().all(|order| order.expected == 0),
        "each life counts its own orders: {orders:?}"
    );
    let fleet = core.fleet.lock();
    let belief = fleet.belief(&"e0".parse().unwrap()).unwrap();
    assert_eq!(belief.born(), Some(Incarnation(8)));
    assert!(
        engines[0].reports < 15,
        "an order of a former life is not waited for: asked {} times",
        engines[0].reports
    );
}

/// Many engines load at once, so that each takes three and a half seconds. Engines are named as out for three seconds,
/// which is said again while they drain and not while they load: callers are sent to an engine in the middle of
/// its load, which refuses them.
#[tokio::test]
async fn an_engine_that_loads_for_long_stays_out() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 3);
    tokio::spawn(roll::run(Arc::clone(&core)));
    name(&core, 2);
    until(|| !platform.engines.lock().unwrap()[0].orders.is_empty()).await;
    platform.engines.lock().unwrap()[0].version = 1;
    let began = clock::now();
    let id = "e0".parse().unwrap();
    while clock::now().since(began) < Duration::from_millis(3_500) {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let open = !core.fleet.lock().get(&id).unwrap().is_paused(clock::now());
        let after = clock::now().since(began);
        assert!(!open, "open {after:?} after its order, while it loads");
    }
}

/// All engines must load within a moment, since their weights are shut or soon will be. What the weight store gives is
/// shared by all that load, so that six at once are all away for as long as the last of them by turns.
#[tokio::test]
async fn engines_load_by_turns() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 6);
    for engine in platform.engines.lock().unwrap().iter_mut() {
        engine.load = Duration::from_millis(400);
    }
    name(&core, 2);
    let weights = Weights {
        model: "m".into(),
        version: WeightsVersion(2),
    };
    let long_ago = clock::ago(Duration::from_secs(7));
    core.fleet.lock().name_weights(&weights, long_ago);
    tokio::spawn(roll::run(Arc::clone(&core)));
    let mut most = 0;
    until(|| {
        let engines = platform.engines.lock().unwrap();
        let loading = engines.iter().filter(|engine| engine.is_loading()).count();
        most = most.max(loading);
        loading == 0 && engines.iter().all(|engine| engine.version == 2)
    })
    .await;
    assert_eq!(most, max_concurrent_loads(6));
    assert!(most < 6, "all load at once");
}

/// Five of nine engines have the newest weights, so that the others may drain for three seconds, and weights were
/// named two seconds ago. The time that is still left shrinks while an engine drains; if it is compared with the
/// time since its drain began, what passes counts twice. A stream that needs a moment more is then cut over
/// to the new weights after two seconds, and its rest is worth nothing to its caller.
#[tokio::test]
async fn an_engine_drains_for_as_long_as_it_may() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 9);
    let ids: Vec<sesamegap_wire::UpstreamId> =
        (0..9).map(|no| format!("e{no}").parse().unwrap()).collect();
    for (no, id) in ids[..5].iter().enumerate() {
        platform.engines.lock().unwrap()[no].version = 2;
        let mut fleet = core.fleet.lock();
        fleet.get_mut(id).unwrap().holds("m", WeightsVersion(2));
    }
    let service = "engines".parse().unwrap();
    let domain = "hall-a".parse().unwrap();
    let selection = sesamegap_entry::fleet::Selection {
        service: &service,
        domain: &domain,
        stores: &[],
        shape: None,
        tried: &ids[..8],
        spread: 0,
        shard: None,
        apart: false,
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
    core.fleet.lock().name_weights(&weights, named);
    core.weights_named.notify_one();
    until(|| !platform.engines.lock().unwrap()[8].orders.is_empty()).await;
    let drained = clock::now().since(began);
    assert!(drained >= Duration::from_millis(2_900), "{drained:?}");
}

/// Another writer lists an engine of a service that no document names. Its owner did not ask for orders, and
/// counted as one of ours it would take a place in each step of the roll.
#[tokio::test]
async fn an_engine_of_a_service_that_nobody_named_is_not_ordered() {
    let platform = Arc::new(Platform::default());
    let core = vm(&platform, "vm-1", 3);
    core.adopt(&Arc::new(document(1)), "test");
    let stranger = StandinEngine::new(unused());
    let foreign = Entry {
        service: "strangers".parse().unwrap(),
        ..entry("engines", stranger.addr)
    };
    platform.engines.lock().unwrap().push(stranger);
    let id = "e9".parse().unwrap();
    core.fleet
        .lock()
        .apply(&id, foreign, offset(9), clock::now());
    tokio::spawn(roll::run(Arc::clone(&core)));
    name(&core, 2);
    let own_hold = || {
        let engines = platform.engines.lock().unwrap();
        engines[..3].iter().all(|engine| engine.version == 2)
    };
    until(own_hold).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(platform.engines.lock().unwrap()[3].orders.is_empty());
}
