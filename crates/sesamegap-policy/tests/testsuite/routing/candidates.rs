use sesamegap_policy::routing::candidates::{COMPARED, Seat, home, nearest};
use sesamegap_policy::routing::engines::{Prefix, Prompt, rank, seed};
use std::collections::BTreeSet;

const ENGINES: usize = 9_715;

fn seats(count: usize) -> Vec<Seat> {
    (0..count)
        .map(|no| Seat {
            seed: seed(&format!("engine-{no}")),
            long: no % 10 < 7,
        })
        .collect()
}

fn prompt(part: u64, tokens: u64) -> Prompt {
    let prefix = |hash, tokens| Prefix { hash, tokens };
    Prompt {
        prefixes: vec![prefix(part % 4, 2_500), prefix(1_000 + part, 6_300)],
        tokens,
    }
}

/// Guards against VMs that disagree on the home of a prefix, and against engines that hold no part of any prefix.
#[test]
fn homes_are_the_highest_ranked_engines_and_use_the_whole_fleet() {
    let seats = seats(ENGINES);
    let mut homes = BTreeSet::new();
    for part in 0..3_000 {
        let prompt = prompt(part, 9_000);
        let at = home(&prompt, &seats, |_| true).unwrap();
        let own_kind = seats.iter().filter(|seat| seat.long);
        let best = own_kind.max_by_key(|seat| rank(1_000 + part, seat.seed));
        assert_eq!(Some(&seats[at]), best);
        homes.insert(at);
    }
    assert!(homes.len() > 2_300, "{} homes", homes.len());
}

/// Guards against prompts that are refused while engines are free, because the first in rank are down.
#[test]
fn a_home_is_found_while_any_engine_is_open() {
    let seats = seats(2_000);
    for open in [0, 3, 1_999] {
        let found = home(&prompt(7, 9_000), &seats, |no| no == open);
        assert_eq!(found, Some(open));
    }
    assert_eq!(home(&prompt(7, 9_000), &seats, |_| false), None);
}

/// Guards against the comparison of all engines for each prompt, which takes a small VM a tenth of a second, and
/// against a small choice that leaves out the home or has no open engine.
#[test]
fn few_engines_of_a_large_service_are_compared() {
    let seats = seats(ENGINES);
    let is_open = |no: usize| !no.is_multiple_of(4);
    for (part, tokens) in [(1, 9_000), (2, 700)] {
        let prompt = prompt(part, tokens);
        let chosen = nearest(&prompt, &seats, is_open);
        assert!((12..=36).contains(&chosen.len()), "{}", chosen.len());
        assert!(chosen.iter().all(|no| is_open(*no)));
        let home = home(&prompt, &seats, is_open).unwrap();
        assert!(chosen.contains(&home));
    }
}

#[test]
fn all_engines_of_a_small_service_are_compared() {
    let seats = seats(COMPARED);
    let all: Vec<usize> = (0..COMPARED).collect();
    assert_eq!(nearest(&prompt(1, 9_000), &seats, |_| false), all);
}
