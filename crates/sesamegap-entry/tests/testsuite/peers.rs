use crate::support::{Platform, document, offset, settings, wait_until};
use poem::IntoEndpoint;
use poem::Server;
use poem::listener::TcpAcceptor;
use sesamegap_entry::catalogue::Revision;
use sesamegap_entry::core::Core;
use sesamegap_entry::peers;
use sesamegap_entry::ports::Weights;
use sesamegap_entry::telemetry::Logging;
use sesamegap_wire::WeightsVersion;
use std::net::SocketAddr;
use std::sync::Arc;

/// Starts an entry VM that runs only the exchange with peers.
async fn vm(name: &str, seeds: Vec<SocketAddr>) -> Arc<Core> {
    let platform = Arc::new(Platform::default());
    // Bind before advertising the address: any connection on the machine may take a port that is merely free.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut settings = settings(name, seeds);
    settings.listen.peers = listener.local_addr().unwrap();
    let core = Core::new(settings, platform.ports(), Logging::disabled());
    let core = Arc::new(core.unwrap());
    let acceptor = TcpAcceptor::from_tokio(listener).unwrap();
    let endpoints = peers::endpoints(Arc::clone(&core)).into_endpoint();
    tokio::spawn(Server::new_with_acceptor(acceptor).run(endpoints));
    tokio::spawn(peers::run_probes(Arc::clone(&core)));
    core
}

fn newest(core: &Core) -> Option<WeightsVersion> {
    let fleet = core.fleet.lock();
    fleet.namings().newest_of("m").map(|naming| naming.version)
}

/// Guards against VMs that keep accepting a revoked key while the store rejects their calls. The other VMs must pass
/// on the new document and weights.
#[tokio::test]
async fn a_document_and_weights_reach_a_vm_that_the_store_rejects() {
    let one = vm("vm-1", Vec::new()).await;
    let seed = one.settings().listen.peers;
    let two = vm("vm-2", vec![seed]).await;
    let three = vm("vm-3", vec![seed]).await;
    wait_until(|| two.peers.count() == 3 && three.peers.count() == 3).await;
    two.adopt(&Arc::new(document(9)), "store");
    let named = Weights {
        model: "m".into(),
        version: WeightsVersion(2),
    };
    two.fleet
        .lock()
        .observe_naming(&named, sesamegap_entry::clock::now());
    wait_until(|| one.revision() == Revision(9) && three.revision() == Revision(9)).await;
    wait_until(|| newest(&three) == Some(WeightsVersion(2))).await;
}

/// Guards against callers being sent to a VM that announced its shutdown.
#[tokio::test]
async fn a_leaving_peer_is_not_offered_to_callers() {
    let one = vm("vm-1", Vec::new()).await;
    let two = vm("vm-2", vec![one.settings().listen.peers]).await;
    wait_until(|| one.peers.addrs_by_status().alive.len() == 1).await;
    two.peers.leave();
    peers::broadcast_state(&two).await;
    wait_until(|| one.peers.addrs_by_status().alive.is_empty()).await;
}

/// Guards against requests to engines on which another VM is about to load weights: each would be refused.
#[tokio::test]
async fn engine_updates_pause_engines_on_other_vms() {
    let count = 40;
    let one = vm("vm-1", Vec::new()).await;
    let two = vm("vm-2", vec![one.settings().listen.peers]).await;
    let engine = |no: u32| {
        format!("e{no}")
            .parse::<sesamegap_wire::UpstreamId>()
            .unwrap()
    };
    for no in 0..count {
        let entry = crate::support::entry("engines", crate::support::unused_addr());
        two.fleet
            .lock()
            .apply(&engine(no), entry, offset(0), sesamegap_entry::clock::now());
    }
    wait_until(|| one.peers.addrs_by_status().alive.len() == 1).await;
    // Both VMs run on one machine with different datagram ports, so the updates are applied directly.
    let update = |no| peers::EngineUpdate {
        born: None,
        engine: engine(no),
        out_ms: 60_000,
        weights: None,
        gone: false,
    };
    for no in 0..count {
        one.peers.outbox.put(update(no));
    }
    let sent = one.peers.outbox.take();
    assert_eq!(sent.len(), usize::try_from(count).unwrap());
    peers::apply_engine_updates(&two, &sent);
    let now = sesamegap_entry::clock::now();
    let fleet = two.fleet.lock();
    assert!(fleet.upstreams().all(|up| up.is_paused(now)));
    assert_eq!(
        one.peers.outbox.take().len(),
        sent.len(),
        "each update is sent twice"
    );
    assert!(one.peers.outbox.take().is_empty());
}

/// Guards against probes of the previous release that cannot be decoded, because it encodes named weights as two values
/// each. During a rolling upgrade, each half of the fleet would consider the other dead once weights were named, and
/// documents and weights would not pass between the halves.
#[tokio::test]
async fn a_probe_of_the_previous_release_is_accepted() {
    use sesamegap_policy::agreement::ProcessId;
    use sesamegap_policy::agreement::membership::{MemberUpdate, Status};
    let newer = vm("new-1", Vec::new()).await;
    let me = MemberUpdate {
        who: ProcessId {
            vm: "old-1".parse().unwrap(),
            incarnation: sesamegap_wire::Incarnation(1),
        },
        addr: crate::support::unused_addr(),
        version: 1,
        status: Status::Alive,
    };
    let weights = Weights {
        model: "m".into(),
        version: WeightsVersion(2),
    };
    let no_updates: Vec<MemberUpdate> = Vec::new();
    let hello = (me, no_updates, Revision(1), vec![(weights, 500_u64)]);
    let addr = newer.settings().listen.peers;
    let answer = reqwest::Client::new()
        .post(format!("http://{addr}/peers/hello"))
        .body(rmp_serde::to_vec(&hello).unwrap())
        .send()
        .await
        .unwrap();
    let status = answer.status();
    let why = answer.text().await.unwrap_or_default();
    assert!(status.is_success(), "{status} {why}");
    assert_eq!(newest(&newer), Some(WeightsVersion(2)));
}
