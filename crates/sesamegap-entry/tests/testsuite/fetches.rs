//! What VMs know of fetches that are on their way from a store of kept cache.

use crate::support::Process;
use sesamegap_entry::clock;
use sesamegap_entry::kept::{InFlightTokens, load_key};
use sesamegap_entry::peers::{Loads, UpstreamLoad};
use std::net::SocketAddr;
use std::time::Duration;

/// Tokens that the store's link carries in a millisecond.
const PER_MS: u64 = 277;

fn store() -> SocketAddr {
    "127.0.0.1:8207".parse().unwrap()
}

/// A caller leaves, or its prompt was read. What it had asked of the store must not count for ever, or all prompts would
/// soon be kept from a store that is idle.
#[tokio::test]
async fn a_fetch_that_is_over_counts_no_longer() {
    let process = Process::new().await;
    let fleet = &process.core.fleet;
    let first = InFlightTokens::new(fleet, store(), 6_300);
    let second = InFlightTokens::new(fleet, store(), 12_600);
    assert_eq!(fleet.lock().on_way(store(), PER_MS), 18_900);
    drop(first);
    assert_eq!(fleet.lock().on_way(store(), PER_MS), 12_600);
    drop(second);
    assert_eq!(fleet.lock().on_way(store(), PER_MS), 0);
}

/// Eighty VMs tell each other by turns, and the word that a fetch has arrived comes seconds after it. Taken at their word,
/// a store whose link is idle would seem to have half a second of work before it.
#[test]
fn an_old_word_of_a_fetch_fades_as_the_link_delivers() {
    let mut loads = Loads::default();
    let told = clock::now();
    for vm in 0..85 {
        let held = UpstreamLoad {
            life: load_key(store()),
            running: 0,
            unread: 2_000,
        };
        let vm = format!("vm-{vm}").parse().unwrap();
        loads.record(vm, vec![held], told);
    }
    let on_way = |loads: &mut Loads, ms| {
        loads.tick(told + Duration::from_millis(ms));
        loads.in_flight_tokens(load_key(store()), PER_MS)
    };
    assert_eq!(on_way(&mut loads, 100), 170_000);
    assert_eq!(on_way(&mut loads, 700), 170_000 - 300 * PER_MS);
    assert_eq!(on_way(&mut loads, 1_200), 0);
}
