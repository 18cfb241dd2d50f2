use sesamegap_policy::routing::telling::{Audience, FANOUT, Sum, Telling};

/// Ticks in a second.
const TICKS: usize = 20;

fn told(audience: Audience, peers: usize) -> usize {
    match audience {
        Audience::Nobody => 0,
        Audience::Turn => FANOUT.min(peers),
        Audience::All => peers,
    }
}

/// 84 VMs place two long prompts a second each. A VM that has not heard of the others' takes an
/// engine that reads for idle, and its caller's answer is stalled.
#[test]
fn the_begin_of_a_prompt_is_told_to_all_at_once() {
    let mut telling = Telling::default();
    for _ in 0..5 * TICKS {
        telling.tick(Sum::default(), false, 83);
    }
    for _ in 0..20 {
        let begun = Sum {
            running: 1,
            unread: 9_000,
        };
        assert_eq!(telling.tick(begun, true, 83), Audience::All);
        let read = Sum {
            running: 1,
            unread: 0,
        };
        assert_ne!(telling.tick(read, true, 83), Audience::All);
        for _ in 0..8 {
            telling.tick(Sum::default(), false, 83);
        }
    }
}

/// A burst of prompts at 340 VMs. If each begin were told to all, the VMs' links and processors would
/// be taken up by it.
#[test]
fn what_is_sent_in_a_second_is_bounded_however_many_prompts_begin() {
    for peers in [6, 83, 339] {
        let mut telling = Telling::default();
        let sent: usize = (0..30 * TICKS as u64)
            .map(|tick| {
                let now = Sum {
                    running: 5,
                    unread: 1 + tick,
                };
                told(telling.tick(now, true, peers), peers)
            })
            .sum();
        let a_second = sent / 30;
        assert!(a_second <= 400 + FANOUT * TICKS, "{peers}: {a_second}");
        assert!(
            a_second >= FANOUT.min(peers) * TICKS / 2,
            "{peers}: {a_second}"
        );
    }
}

/// The last datagram of a VM was lost and nothing changes any more. Its peers would count its load
/// for seconds, or not at all.
#[test]
fn an_unchanged_load_is_told_again_and_an_empty_one_no_longer() {
    let mut telling = Telling::default();
    let held = Sum {
        running: 2,
        unread: 0,
    };
    let again = (0..3 * TICKS).filter(|_| telling.tick(held, false, 8) == Audience::Turn);
    assert!(again.count() >= 6);
    let mut telling = Telling::default();
    telling.tick(Sum::default(), true, 8);
    let empty =
        (0..100 * TICKS).filter(|_| telling.tick(Sum::default(), false, 8) != Audience::Nobody);
    assert!(empty.count() <= 1);
}
