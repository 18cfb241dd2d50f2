use sesamegap_policy::routing::dissemination::{
    FANOUT, MAX_DIRECT, RecipientSelector, Recipients, Sum, relay_groups,
};

/// Ticks in a second.
const TICKS: usize = 20;

fn recipients(audience: Recipients, peers: usize) -> usize {
    match audience {
        Recipients::Nobody => 0,
        Recipients::Rotation => FANOUT.min(peers),
        Recipients::All => peers,
    }
}

/// With 84 VMs that each place two long prompts a second, a VM that does not know the others' prompts takes an engine
/// that is prefilling for idle, and an answer stalls.
#[test]
fn the_start_of_a_prompt_is_sent_to_all_peers_at_once() {
    let mut telling = RecipientSelector::default();
    for _ in 0..5 * TICKS {
        telling.tick(Sum::default(), false, 83);
    }
    for _ in 0..20 {
        let begun = Sum {
            running: 1,
            unread: 9_000,
        };
        assert_eq!(telling.tick(begun, true, 83), Recipients::All);
        let read = Sum {
            running: 1,
            unread: 0,
        };
        assert_ne!(telling.tick(read, true, 83), Recipients::All);
        for _ in 0..8 {
            telling.tick(Sum::default(), false, 83);
        }
    }
}

/// Guards against broadcasts that exhaust links and processors when prompts arrive in a burst at 340 VMs.
#[test]
fn the_send_rate_is_bounded_however_many_prompts_start() {
    for peers in [6, 83, 339] {
        let mut telling = RecipientSelector::default();
        let sent: usize = (0..30 * TICKS as u64)
            .map(|tick| {
                let now = Sum {
                    running: 5,
                    unread: 1 + tick,
                };
                recipients(telling.tick(now, true, peers), peers)
            })
            .sum();
        let per_second = sent / 30;
        assert!(per_second <= 400 + FANOUT * TICKS, "{peers}: {per_second}");
        assert!(
            per_second >= FANOUT.min(peers) * TICKS / 2,
            "{peers}: {per_second}"
        );
    }
}

/// If a VM's last datagram is lost and its load no longer changes, its peers would count the load wrongly unless it
/// is sent again.
#[test]
fn an_unchanged_load_is_sent_again_unless_it_is_empty() {
    let mut telling = RecipientSelector::default();
    let held = Sum {
        running: 2,
        unread: 0,
    };
    let repeated = (0..3 * TICKS).filter(|_| telling.tick(held, false, 8) == Recipients::Rotation);
    assert!(repeated.count() >= 6);
    let mut telling = RecipientSelector::default();
    telling.tick(Sum::default(), true, 8);
    let empty =
        (0..100 * TICKS).filter(|_| telling.tick(Sum::default(), false, 8) != Recipients::Nobody);
    assert!(empty.count() <= 1);
}

/// Guards against load that ended long ago and still counts at the peers of a fleet so large that its turn to be told
/// comes once in a minute.
#[test]
fn vms_of_a_very_large_fleet_do_not_exchange_loads() {
    let mut telling = RecipientSelector::default();
    let held = Sum {
        running: 1,
        unread: 9_000,
    };
    let told = (0..60 * TICKS).filter(|_| telling.tick(held, true, 984) != Recipients::Nobody);
    assert_eq!(told.count(), 0);
}

/// Guards against a VM whose link and processor are busy for tens of milliseconds with one event, and against peers that
/// no datagram reaches.
#[test]
fn an_event_reaches_all_peers_in_two_hops_with_few_datagrams_per_vm() {
    for count in [0, 1, 68, MAX_DIRECT, MAX_DIRECT + 1, 984, 1_969, 4_000] {
        for capacity in [0, 8, 40, 200] {
            let peers: Vec<usize> = (0..count).collect();
            let groups: Vec<&[usize]> = relay_groups(&peers, capacity).collect();
            assert_eq!(groups.concat(), peers, "every peer is in one group");
            let longest = groups.iter().map(|group| group.len()).max().unwrap_or(0);
            assert!(longest <= capacity + 1, "{count}: {longest} addresses");
            if count <= MAX_DIRECT {
                assert!(longest <= 1, "{count} peers need no relay");
            } else if capacity >= 64 {
                let bound = 2 * count.isqrt() + 2;
                assert!(groups.len() + longest <= bound, "{count}: {}", groups.len());
            }
        }
    }
}
