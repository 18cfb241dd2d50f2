//! Documents of thousands of routes over thin links.

use crate::support::{
    Platform, ThinPath, add_peer, document, offset, route, settings, unused_addr, wait_until,
};
use poem::IntoEndpoint;
use poem::Server;
use poem::listener::TcpAcceptor;
use sesamegap_entry::catalogue::{Document, Kind, Revision};
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::follow::follow;
use sesamegap_entry::peers;
use sesamegap_entry::ports::Table;
use sesamegap_entry::telemetry::Logging;
use sesamegap_policy::agreement::membership::Status;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// VMs that are never reached but make the fleet so large that not every VM reads the store.
const STRANGERS: usize = 40;

/// Bytes a second of a thin link: a tenth of 10 Mbit/s, which callers leave.
const THIN: f64 = 125_000.0;

/// Bytes a second of a path that is no bottleneck.
const WIDE: f64 = 1e9;

/// A VM that peers reach through a path of this many bytes a second. Its store is unavailable.
async fn vm(name: &str, ip: &str, port: u16, bytes_per_s: f64) -> (Arc<Core>, Arc<ThinPath>) {
    let mut settings = settings(name, Vec::new());
    settings.listen.peers = SocketAddr::new(ip.parse().unwrap(), port);
    settings.listen.loads = settings.listen.peers;
    settings.link_mbps = bytes_per_s * 8.0 / 1e6;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let behind = listener.local_addr().unwrap();
    let path = ThinPath::open(settings.listen.peers, behind, bytes_per_s).await;
    let platform = Arc::new(Platform::default());
    *platform.is_unavailable.lock().unwrap() = true;
    let core = Core::new(settings, platform.ports(), Logging::disabled()).unwrap();
    let core = Arc::new(core);
    let acceptor = TcpAcceptor::from_tokio(listener).unwrap();
    let endpoints = peers::endpoints(Arc::clone(&core)).into_endpoint();
    tokio::spawn(Server::new_with_acceptor(acceptor).run(endpoints));
    core.peers.set_list_known();
    (core, path)
}

/// Makes a VM know another one, and so many that are never reached that it does not read the store.
fn introduce(core: &Core, peers: &[&Arc<Core>]) {
    for peer in peers {
        let settings = peer.settings();
        add_peer(core, settings.vm.as_str(), settings.listen.peers);
    }
    let first = peers[0].settings().listen.peers;
    for no in 0..STRANGERS {
        add_peer(core, &format!("stranger-{no}"), first);
    }
}

/// A document with this many routes.
fn large(revision: u64, routes: usize) -> Document {
    let mut document = document(revision);
    let numbers = (0..routes as u64).map(|no| no.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let prefixes = numbers.map(|no| format!("/{no:016x}/{:08x}/", no >> 7));
    let added = prefixes.map(|prefix| route(&prefix, Kind::Idempotent, "desk", 2));
    document.routes.extend(added);
    document
}

/// Puts a document in force as if the VM had read it from the store.
fn publish(core: &Core, document: Document, at: u64) {
    core.adopt(&Arc::new(document), "store");
    let mut position = core.table_progress(Table::Settings).position();
    position.record_read(offset(at), clock::now());
}

/// Guards against a fleet that takes its members for dead while a document of thousands of routes is on its way: the answer
/// to a probe carried it, and came later than the probe's timeout.
#[tokio::test]
async fn a_probe_of_a_vm_with_a_newer_document_is_answered_over_a_thin_link() {
    let port = unused_addr().port();
    let (holder, path) = vm("vm-holder", "127.0.61.1", port, THIN).await;
    let (behind, _) = vm("vm-behind", "127.0.61.2", port, WIDE).await;
    publish(&holder, large(2, 4_250), 2);
    add_peer(&behind, "vm-holder", holder.settings().listen.peers);
    tokio::spawn(peers::run_probes(Arc::clone(&behind)));
    wait_until(|| {
        let known = behind.peers.export();
        let holder = known
            .iter()
            .find(|peer| peer.who.vm == holder.settings().vm);
        let status = holder.map(|peer| peer.status);
        assert_eq!(
            status,
            Some(Status::Alive),
            "a slow answer counts as a death"
        );
        path.asked() > 6
    })
    .await;
}

/// Guards against documents that never arrive: a copy was ended after a fixed time although it made progress, and the next
/// one began at zero.
#[tokio::test]
async fn a_document_of_thousands_of_routes_crosses_a_thin_link() {
    let port = unused_addr().port();
    let (holder, _) = vm("vm-holder", "127.0.61.3", port, THIN).await;
    let (behind, _) = vm("vm-behind", "127.0.61.4", port, WIDE).await;
    publish(&holder, large(2, 4_250), 2);
    introduce(&behind, &[&holder]);
    tokio::spawn(follow(Arc::clone(&behind), Table::Settings));
    wait_until(|| behind.revision() == Revision(2)).await;
}

/// Guards against changes that cost a copy of the whole document on each VM's link.
#[tokio::test]
async fn a_change_of_one_route_costs_a_small_part_of_the_document() {
    let port = unused_addr().port();
    let (holder, path) = vm("vm-holder", "127.0.61.5", port, WIDE).await;
    let (behind, _) = vm("vm-behind", "127.0.61.6", port, WIDE).await;
    let old = large(2, 4_250);
    publish(&holder, old.clone(), 2);
    introduce(&behind, &[&holder]);
    tokio::spawn(follow(Arc::clone(&behind), Table::Settings));
    wait_until(|| behind.revision() == Revision(2)).await;
    let before = path.carried();
    let mut new = old;
    new.revision = Revision(3);
    new.routes[7].timeout = Duration::from_secs(1);
    publish(&holder, new, 3);
    behind
        .table_progress(Table::Settings)
        .position()
        .require_full_read();
    wait_until(|| behind.revision() == Revision(3)).await;
    let cost = path.carried() - before;
    assert!(cost < 16_384, "{cost} bytes for one route");
}

/// Guards against a copy that begins at zero when its sender is lost, or a newer document appears: with many VMs it would
/// never end.
#[tokio::test]
async fn a_copy_goes_on_after_its_sender_is_lost_and_a_newer_document_appears() {
    let port = unused_addr().port();
    let (first, first_path) = vm("vm-first", "127.0.61.7", port, 4.0 * THIN).await;
    let (second, second_path) = vm("vm-second", "127.0.61.8", port, 4.0 * THIN).await;
    let (behind, _) = vm("vm-behind", "127.0.61.9", port, WIDE).await;
    let old = large(2, 4_250);
    publish(&first, old.clone(), 2);
    for no in 0..STRANGERS {
        let peer = if no % 2 == 0 { &first } else { &second };
        add_peer(
            &behind,
            &format!("stranger-{no}"),
            peer.settings().listen.peers,
        );
    }
    tokio::spawn(follow(Arc::clone(&behind), Table::Settings));
    wait_until(|| first_path.carried() > 150_000).await;
    assert_eq!(behind.revision(), Revision(0));
    first_path.close();
    let mut new = old;
    new.revision = Revision(3);
    new.routes[7].timeout = Duration::from_secs(1);
    publish(&second, new.clone(), 3);
    wait_until(|| behind.revision() == Revision(3)).await;
    assert_eq!(behind.catalogue().unwrap().document().as_ref(), &new);
    let whole = rmp_serde::to_vec(&new).unwrap().len();
    let (lost, sent) = (first_path.carried(), second_path.carried());
    // Ids and frames come on top of the entries; the first answers of both senders may overlap.
    assert!(
        sent < whole,
        "{sent} bytes of {whole} after {lost} had arrived"
    );
}
