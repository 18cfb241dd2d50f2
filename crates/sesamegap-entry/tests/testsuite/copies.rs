//! Tables that VMs copy from each other instead of reading them from the store.

use crate::support::{
    Platform, add_peer, batch, document, entry, lossy_path, offset, settings, unused_addr,
    wait_until,
};
use poem::IntoEndpoint;
use poem::Server;
use poem::listener::TcpAcceptor;
use sesamegap_entry::catalogue::Revision;
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::fleet::Fleet;
use sesamegap_entry::follow::{
    FleetSnapshot, PullReply, PullRequest, apply_batch, follow, receive_update,
};
use sesamegap_entry::peers;
use sesamegap_entry::ports::{Record, Table};
use sesamegap_entry::telemetry::Logging;
use sesamegap_policy::routing::belief::Belief;
use sesamegap_wire::UpstreamId;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// VMs that are never reached but make the fleet so large that not every VM reads the store.
const STRANGERS: usize = 40;

/// An entry VM that exchanges datagrams and copies with peers. Its store is unavailable.
async fn vm(name: &str, ip: &str, port: u16) -> Arc<Core> {
    let mut settings = settings(name, Vec::new());
    settings.listen.peers = SocketAddr::new(ip.parse().unwrap(), port);
    settings.listen.loads = settings.listen.peers;
    let listener = tokio::net::TcpListener::bind(settings.listen.peers).await;
    let platform = Arc::new(Platform::default());
    *platform.is_unavailable.lock().unwrap() = true;
    let core = Core::new(settings, platform.ports(), Logging::disabled()).unwrap();
    let core = Arc::new(core);
    let acceptor = TcpAcceptor::from_tokio(listener.unwrap()).unwrap();
    let endpoints = peers::endpoints(Arc::clone(&core)).into_endpoint();
    tokio::spawn(Server::new_with_acceptor(acceptor).run(endpoints));
    tokio::spawn(peers::run_datagrams(Arc::clone(&core)));
    core.peers.set_list_known();
    core
}

/// A reader, and a VM that does not read the store while its peers answer.
async fn reader_and_hearer(last: u8) -> (Arc<Core>, Arc<Core>) {
    let port = unused_addr().port();
    let reader = vm("vm-reader", &format!("127.0.21.{last}"), port).await;
    let hearer = vm("vm-hearer", &format!("127.0.22.{last}"), port).await;
    add_peer(&reader, "vm-hearer", hearer.settings().listen.peers);
    add_peer(&hearer, "vm-reader", reader.settings().listen.peers);
    for no in 0..STRANGERS {
        let name = format!("stranger-{no}");
        add_peer(&hearer, &name, reader.settings().listen.peers);
    }
    (reader, hearer)
}

fn id(no: u64) -> UpstreamId {
    format!("i-{no}").parse().unwrap()
}

fn listed(no: u64, beat: u64, leaving: bool) -> Record {
    let mut entry = entry("desk", SocketAddr::from(([127, 0, 0, 1], 9)));
    entry.beat = beat;
    entry.leaving = leaving;
    Record::Upstream(id(no), Box::new(entry))
}

/// Reads records from the store on a VM, and sends the update to its peers if asked.
fn read(core: &Core, from: u64, records: Vec<Record>, send: bool) {
    let batch = batch(from, records);
    let next = batch.next;
    let update = apply_batch(core, Table::Fleet, offset(from), batch);
    core.table_progress(Table::Fleet)
        .position()
        .record_read(next, clock::now());
    if send {
        core.peers.outbox.put_reading(update);
    }
}

fn known(core: &Core) -> usize {
    core.fleet.lock().upstreams().count()
}

fn next(core: &Core) -> Option<u64> {
    let next = core.table_progress(Table::Fleet).position().next();
    next.map(|next| next.offset.0)
}

/// Guards against hundreds of VMs that read the list themselves whenever more upstreams change between two reads than
/// fit into a datagram.
#[tokio::test]
async fn a_burst_of_changes_reaches_all_vms_without_calls_to_the_store() {
    let (reader, hearer) = reader_and_hearer(1).await;
    for core in [&reader, &hearer] {
        let mut position = core.table_progress(Table::Fleet).position();
        position.record_read(offset(0), clock::now());
    }
    tokio::spawn(follow(Arc::clone(&hearer), Table::Fleet));
    let records = (0..500).map(|no| listed(no, 1, false)).collect();
    read(&reader, 0, records, true);
    wait_until(|| known(&hearer) == 500 && next(&hearer) == Some(500)).await;
}

/// Guards against requests to an upstream that announced that it leaves, on VMs that missed the update.
#[tokio::test]
async fn a_vm_that_missed_an_update_asks_its_sender() {
    let (reader, hearer) = reader_and_hearer(2).await;
    for core in [&reader, &hearer] {
        let records = (0..50).map(|no| listed(no, 1, false)).collect();
        read(core, 0, records, false);
    }
    read(&reader, 50, vec![listed(7, 2, true)], false);
    tokio::spawn(follow(Arc::clone(&hearer), Table::Fleet));
    read(&reader, 51, vec![listed(8, 2, true)], true);
    let is_leaving = |no| {
        let fleet = hearer.fleet.lock();
        fleet.get(&id(no)).is_some_and(|up| up.entry.leaving)
    };
    wait_until(|| is_leaving(7) && is_leaving(8)).await;
    assert_eq!(next(&hearer), Some(52));
}

/// Guards against upstreams that most VMs hold for gone for ever: their entries lapsed while the store was away, and only
/// the VMs that read the list learned that they were written again.
#[tokio::test]
async fn entries_that_lapsed_and_came_back_reach_vms_that_do_not_read_the_list() {
    let (reader, hearer) = reader_and_hearer(5).await;
    for core in [&reader, &hearer] {
        let records = (0..20).map(|no| listed(no, 1, false)).collect();
        read(core, 0, records, false);
        core.fleet.lock().record_store_response(false, clock::now());
    }
    tokio::spawn(follow(Arc::clone(&hearer), Table::Fleet));
    let lapsed = (0..20).map(|no| Record::Removed(id(no))).collect();
    read(&reader, 20, lapsed, true);
    let usable = |core: &Core| {
        let fleet = core.fleet.lock();
        let lapsed = (0..20).filter(|no| fleet.belief(&id(*no)).is_some_and(Belief::is_lapsed));
        20 - lapsed.count()
    };
    wait_until(|| usable(&hearer) == 0).await;
    let again = (0..20).map(|no| listed(no, 2, false)).collect();
    read(&reader, 40, again, true);
    wait_until(|| next(&hearer) == Some(60)).await;
    assert_eq!((usable(&reader), usable(&hearer)), (20, 20));
}

/// Guards against an older document on a VM that does not read the store and hears no peer: it waited for its peers'
/// answers until the newer document was long due.
#[tokio::test]
async fn a_vm_that_hears_no_peer_reads_the_settings_at_once() {
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let platform = Arc::new(Platform::default());
    *platform.records.lock().unwrap() = (1..3)
        .map(|revision| Record::Document(Arc::new(document(revision))))
        .collect();
    let settings = settings("vm-1", Vec::new());
    let core = Core::new(settings, platform.ports(), Logging::disabled()).unwrap();
    let core = Arc::new(core);
    core.peers.set_list_known();
    for no in 0..STRANGERS {
        add_peer(
            &core,
            &format!("stranger-{no}"),
            silent.local_addr().unwrap(),
        );
    }
    core.adopt(&Arc::new(document(1)), "test");
    core.table_progress(Table::Settings)
        .position()
        .record_read(offset(1), clock::now());
    tokio::spawn(follow(Arc::clone(&core), Table::Settings));
    wait_until(|| core.revision() == Revision(2)).await;
    let asked = tokio::time::timeout(Duration::ZERO, silent.accept()).await;
    assert!(asked.is_err(), "the VM asked a peer first");
}

/// Guards against a fleet that starts, or is restarted, and whose VMs all read the whole list from the store.
#[tokio::test]
async fn a_starting_vm_copies_the_list_from_a_peer() {
    let (reader, hearer) = reader_and_hearer(3).await;
    let records = (0..3_000).map(|no| listed(no, 1, false)).collect();
    read(&reader, 0, records, false);
    tokio::spawn(follow(Arc::clone(&hearer), Table::Fleet));
    wait_until(|| known(&hearer) == 3_000).await;
    read(&reader, 3_000, vec![Record::Removed(id(4))], true);
    wait_until(|| known(&hearer) == 2_999).await;
}

/// Guards against a VM without any knowledge because the store turns it away while it starts, even if it is among the
/// readers.
#[tokio::test]
async fn a_reader_that_the_store_turns_away_copies_from_a_peer() {
    let port = unused_addr().port();
    let one = vm("vm-1", "127.0.23.1", port).await;
    let two = vm("vm-2", "127.0.23.2", port).await;
    add_peer(&two, "vm-1", one.settings().listen.peers);
    let records = (0..20).map(|no| listed(no, 1, false)).collect();
    read(&one, 0, records, false);
    one.adopt(&Arc::new(document(7)), "test");
    one.table_progress(Table::Settings)
        .position()
        .record_read(offset(3), clock::now());
    for table in [Table::Fleet, Table::Settings] {
        tokio::spawn(follow(Arc::clone(&two), table));
    }
    wait_until(|| known(&two) == 20 && two.revision() == Revision(7)).await;
}

/// Guards against a copied document that lacks what its encoding omits: transfers from the kept-KV stores would not be
/// bounded on VMs that copied it.
#[tokio::test]
async fn a_copied_document_is_complete() {
    let (reader, hearer) = reader_and_hearer(4).await;
    let mut published = document(5);
    for service in &mut published.services {
        if let Some(engine) = &mut service.engine {
            engine.token_bytes = 131_072;
        }
    }
    reader.adopt(&Arc::new(published.clone()), "test");
    reader
        .table_progress(Table::Settings)
        .position()
        .record_read(offset(9), clock::now());
    tokio::spawn(follow(Arc::clone(&hearer), Table::Settings));
    wait_until(|| hearer.revision() == Revision(5)).await;
    let copied = hearer.catalogue().unwrap();
    assert_eq!(copied.document().as_ref(), &published);
}

/// Copies of a list of 10,000 upstreams, out of five requested ones, that a VM with this link sends at once.
fn copies_sent(link_mbps: f64) -> usize {
    let mut settings = settings("vm-1", Vec::new());
    settings.link_mbps = link_mbps;
    let platform = Arc::new(Platform::default());
    let core = Core::new(settings, platform.ports(), Logging::disabled()).unwrap();
    let records = (0..10_000).map(|no| listed(no, 1, false)).collect();
    read(&core, 0, records, false);
    let request = PullRequest {
        table: Table::Fleet,
        since: None,
        revision: Revision::default(),
    };
    let replies = (0..5).map(|_| core.copies.answer(&core, &request).unwrap());
    replies.filter(|reply| reply.len() > 1_000).count()
}

/// Guards against a small VM whose link is occupied for seconds by copies for all others.
#[test]
fn a_vm_sends_as_many_copies_as_its_link_carries() {
    assert_eq!(copies_sent(0.5), 1, "one copy takes seconds");
    assert_eq!(copies_sent(10_000.0), 5);
}

/// Guards against an upstream that a starting VM uses although its entry was removed, or lacks although it is in use.
#[test]
fn a_copy_of_the_list_has_the_state_of_each_upstream() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let _guard = runtime.enter();
    let new_core = || {
        let platform = Arc::new(Platform::default());
        let settings = settings("vm-1", Vec::new());
        Core::new(settings, platform.ports(), Logging::disabled()).unwrap()
    };
    let (one, two) = (new_core(), new_core());
    let records = (0..6).map(|no| listed(no, 3, no == 2)).collect();
    read(&one, 0, records, false);
    read(&one, 6, vec![Record::Removed(id(3))], false);
    // Its entry lapses while the store is unreachable.
    one.fleet.lock().record_store_response(false, clock::now());
    two.fleet.lock().record_store_response(false, clock::now());
    read(&one, 7, vec![Record::Removed(id(4))], false);
    let snapshot = FleetSnapshot::of(&one.fleet.lock(), offset(8));
    let encoded = rmp_serde::to_vec(&PullReply::Fleet(snapshot, 0)).unwrap();
    let PullReply::Fleet(copy, _) = rmp_serde::from_slice(&encoded).unwrap() else {
        panic!("the reply has another kind");
    };
    let copied = copy.into_batch().unwrap();
    for (at, record) in copied.records {
        apply_batch(&two, Table::Fleet, at, batch(at.offset.0, vec![record]));
    }
    let states = |fleet: &Fleet| -> Vec<_> {
        let upstreams = fleet.upstreams();
        upstreams
            .map(|up| (up.id.clone(), up.entry.clone(), up.belief.is_lapsed()))
            .collect()
    };
    assert_eq!(states(&one.fleet.lock()), states(&two.fleet.lock()));
    assert_eq!(known(&two), 5);
}

/// Guards against peers behind a relay that an event does not reach.
#[tokio::test]
async fn an_event_reaches_vms_behind_relays() {
    let port = unused_addr().port();
    let sender = vm("vm-sender", "127.0.25.1", port).await;
    let relay = vm("vm-relay", "127.0.25.2", port).await;
    let receiver = vm("vm-receiver", "127.0.25.3", port).await;
    // All but one of many peers have the address of the relay.
    for no in 0..300 {
        add_peer(
            &sender,
            &format!("relay-{no}"),
            relay.settings().listen.peers,
        );
    }
    add_peer(&sender, "vm-receiver", receiver.settings().listen.peers);
    for core in [&relay, &receiver] {
        let mut position = core.table_progress(Table::Fleet).position();
        position.record_read(offset(0), clock::now());
    }
    // One datagram: the socket's buffer does not hold hundreds of copies of more.
    let records = (0..8).map(|no| listed(no, 1, false)).collect();
    read(&sender, 0, records, true);
    wait_until(|| known(&relay) == 8 && next(&receiver) == Some(8)).await;
    assert_eq!(known(&receiver), 8);
}

/// Guards against a VM that never knows any upstream because no peer answers its requests for copies.
#[tokio::test]
async fn a_vm_reads_the_store_if_no_peer_sends_copies() {
    let port = unused_addr().port();
    let platform = Arc::new(Platform::default());
    platform.records.lock().unwrap().push(listed(1, 1, false));
    let settings = settings("vm-hearer", Vec::new());
    let core = Core::new(settings, platform.ports(), Logging::disabled()).unwrap();
    let core = Arc::new(core);
    core.peers.set_list_known();
    for no in 0..STRANGERS {
        // Nothing listens there.
        let addr = SocketAddr::from(([127, 0, 27, u8::try_from(no).unwrap()], port));
        add_peer(&core, &format!("stranger-{no}"), addr);
    }
    tokio::spawn(follow(Arc::clone(&core), Table::Fleet));
    wait_until(|| known(&core) == 1).await;
}

/// Guards against a VM that missed an update and does not know who has it.
#[tokio::test]
async fn the_sender_of_a_missed_update_is_known() {
    let (reader, hearer) = reader_and_hearer(5).await;
    read(&hearer, 0, vec![listed(1, 1, false)], false);
    let missed = batch(9, vec![listed(2, 1, false)]);
    let update = apply_batch(&reader, Table::Fleet, offset(9), missed);
    let from = reader.settings().listen.loads;
    receive_update(&hearer, update, from);
    let progress = hearer.table_progress(Table::Fleet);
    assert_eq!(progress.sender(), Some(from));
    assert_eq!(
        progress
            .position()
            .time_left(Duration::from_secs(3), clock::now()),
        Duration::ZERO
    );
}

/// Guards against requests to upstreams that announced that they leave, on a VM that received the first part of a reading
/// and took it for the whole.
#[tokio::test]
async fn the_first_part_of_a_reading_is_not_the_whole() {
    let (reader, hearer) = reader_and_hearer(6).await;
    for core in [&reader, &hearer] {
        let records = (0..40).map(|no| listed(no, 1, false)).collect();
        read(core, 0, records, false);
    }
    let leaving = (0..24).map(|no| listed(no, 2, true)).collect();
    let update = apply_batch(&reader, Table::Fleet, offset(40), batch(40, leaving));
    let mut parts = update.into_parts();
    parts.truncate(1);
    for part in parts {
        receive_update(&hearer, part, reader.settings().listen.loads);
    }
    let progress = hearer.table_progress(Table::Fleet);
    assert!(progress.position().has_missed(), "16 changes are missing");
}

/// Guards against requests to upstreams that leave, on a VM that reads the list itself, is turned away by the store, and lost
/// a part of another VM's reading.
#[tokio::test]
async fn a_reader_that_the_store_turns_away_asks_for_what_it_missed() {
    let port = unused_addr().port();
    let one = vm("vm-1", "127.0.31.1", port).await;
    let two = vm("vm-2", "127.0.31.2", port).await;
    add_peer(&two, "vm-1", one.settings().listen.peers);
    for core in [&one, &two] {
        let records = (0..40).map(|no| listed(no, 1, false)).collect();
        read(core, 0, records, false);
    }
    let leaving = (0..24).map(|no| listed(no, 2, true)).collect();
    let update = apply_batch(&one, Table::Fleet, offset(40), batch(40, leaving));
    one.table_progress(Table::Fleet)
        .position()
        .record_read(offset(64), clock::now());
    let first = update.into_parts().swap_remove(0);
    receive_update(&two, first, one.settings().listen.loads);
    tokio::spawn(follow(Arc::clone(&two), Table::Fleet));
    wait_until(|| next(&two) == Some(64)).await;
}

/// Guards against changes that never reach a VM since most datagrams with parts of a reading are lost on the way to it.
#[tokio::test]
async fn a_reading_whose_parts_are_lost_is_completed_by_peers() {
    let port = unused_addr().port();
    let reader = vm("vm-reader", "127.0.33.1", port).await;
    let hearer = vm("vm-hearer", "127.0.33.2", port).await;
    let path = SocketAddr::from(([127, 0, 33, 3], port));
    lossy_path(path, hearer.settings().listen.loads, 3).await;
    add_peer(&reader, "vm-hearer", path);
    add_peer(&hearer, "vm-reader", reader.settings().listen.peers);
    for no in 0..STRANGERS {
        let name = format!("stranger-{no}");
        add_peer(&hearer, &name, reader.settings().listen.peers);
    }
    for core in [&reader, &hearer] {
        let records = (0..300).map(|no| listed(no, 1, false)).collect();
        read(core, 0, records, false);
    }
    tokio::spawn(follow(Arc::clone(&hearer), Table::Fleet));
    for turn in 0..4 {
        let from = 300 * (turn + 1);
        let leaving = (0..300).map(|no| listed(no, turn + 2, turn % 2 == 0));
        read(&reader, from, leaving.collect(), true);
        wait_until(|| next(&hearer) == Some(from + 300)).await;
    }
}

/// Guards against a VM that hangs, or asks for what it has, because the parts of a reading overtook each other on the way.
#[tokio::test]
async fn parts_of_a_reading_may_arrive_in_any_order() {
    let (reader, hearer) = reader_and_hearer(7).await;
    for core in [&reader, &hearer] {
        let records = (0..40).map(|no| listed(no, 1, false)).collect();
        read(core, 0, records, false);
    }
    let leaving = (0..40).map(|no| listed(no, 2, true)).collect();
    let update = apply_batch(&reader, Table::Fleet, offset(40), batch(40, leaving));
    let mut parts = update.into_parts();
    assert_eq!(parts.len(), 5);
    parts.reverse();
    parts.swap(0, 2);
    for part in parts {
        receive_update(&hearer, part, reader.settings().listen.loads);
    }
    assert_eq!(next(&hearer), Some(80));
    let progress = hearer.table_progress(Table::Fleet);
    assert!(!progress.position().has_missed());
}
