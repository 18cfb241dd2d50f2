//! Accounting of tokens in flight from a kept-KV store.

use crate::support::Process;
use sesamegap_entry::clock;
use sesamegap_entry::kept::{InFlightTokens, load_key};
use sesamegap_entry::peers::{Loads, UpstreamLoad};
use std::net::SocketAddr;
use std::time::Duration;

/// Tokens that the store's link carries per millisecond.
const PER_MS: u64 = 277;

fn store() -> SocketAddr {
    "127.0.0.1:8207".parse().unwrap()
}

/// Guards against tokens that stay counted after the caller disconnected or the prompt was read. Soon no prompt would
/// be fetched from a store that is idle.
#[tokio::test]
async fn a_finished_fetch_is_not_counted_any_more() {
    let process = Process::new().await;
    let fleet = &process.core.fleet;
    let first = InFlightTokens::new(fleet, store(), 6_300);
    let second = InFlightTokens::new(fleet, store(), 12_600);
    assert_eq!(fleet.lock().pending_store_tokens(store(), PER_MS), 18_900);
    drop(first);
    assert_eq!(fleet.lock().pending_store_tokens(store(), PER_MS), 12_600);
    drop(second);
    assert_eq!(fleet.lock().pending_store_tokens(store(), PER_MS), 0);
}

/// Guards against outdated load reports counted in full. With about eighty VMs, each VM reports to the others in
/// turn, and the report that a fetch has finished arrives seconds later: an idle link would appear to have half a
/// second of work queued.
#[test]
fn an_old_fetch_report_decays_at_the_rate_of_the_link() {
    let mut loads = Loads::default();
    let reported_at = clock::now();
    for vm in 0..85 {
        let load = UpstreamLoad {
            key: load_key(store()),
            running: 0,
            unread: 2_000,
        };
        let vm = format!("vm-{vm}").parse().unwrap();
        loads.record(vm, vec![load], reported_at);
    }
    let in_flight = |loads: &mut Loads, ms| {
        loads.tick(reported_at + Duration::from_millis(ms));
        loads.in_flight_tokens(load_key(store()), PER_MS)
    };
    assert_eq!(in_flight(&mut loads, 100), 170_000);
    assert_eq!(in_flight(&mut loads, 700), 170_000 - 300 * PER_MS);
    assert_eq!(in_flight(&mut loads, 1_200), 0);
}
