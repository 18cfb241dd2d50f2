use crate::support::at;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sesamegap_policy::routing::kept_parts::{KeptParts, Key};
use sesamegap_policy::routing::transfers::{AtStore, Informed, informed};
use std::collections::HashMap;
use std::time::Duration;

fn key(prefix: u64) -> Key {
    Key {
        store: 1,
        prefix,
        version: 3,
    }
}

/// A store that drops what was least recently used.
struct Store {
    room: u64,
    uses: u64,
    parts: HashMap<u64, (u64, u64)>,
}

impl Store {
    fn fetch(&mut self, part: u64) -> bool {
        self.uses += 1;
        let uses = self.uses;
        self.parts
            .get_mut(&part)
            .map(|held| held.1 = uses)
            .is_some()
    }

    fn save(&mut self, part: u64, tokens: u64) {
        self.uses += 1;
        self.parts.insert(part, (tokens, self.uses));
        while self.parts.values().map(|held| held.0).sum::<u64>() > self.room {
            let oldest = self.parts.iter().min_by_key(|(_, held)| held.1);
            let oldest = *oldest.expect("it holds something").0;
            self.parts.remove(&oldest);
        }
    }
}

/// Plays prompts that share 6,300 tokens each with others and have 2,900 of their own; how many tokens of shared
/// parts are read again, and how many are sent to the store.
fn played(saves_all: bool) -> (u64, u64) {
    const SHARED: u64 = 6_300;
    const OWN: u64 = 2_900;
    const PARTS: u64 = 300;
    let mut rng = StdRng::seed_from_u64(7);
    let mut store = Store {
        room: PARTS * SHARED * 13 / 10,
        uses: 0,
        parts: HashMap::new(),
    };
    let mut known = KeptParts::default();
    let (mut again, mut sent) = (0, 0);
    for number in 0..6_000_u64 {
        let part = rng.random_range(0..PARTS);
        let held = known.holds(key(part), Some(store.room), 1);
        let at_store = if held || saves_all {
            AtStore::Held { arrives: true }
        } else {
            AtStore::Missing { room: true }
        };
        let transfers = informed(&Informed {
            shared: SHARED,
            own: OWN,
            served: None,
            store: Some(at_store),
        });
        let found = transfers.from_store && store.fetch(part);
        if found {
            known.fetched(key(part));
        } else if number > PARTS * 5 {
            again += SHARED;
        }
        if transfers.save || saves_all {
            sent += OWN + if found { 0 } else { SHARED };
            store.save(part, SHARED);
            store.save(1_000_000 + number, OWN);
            known.saved(key(part), SHARED + OWN);
        }
    }
    (again, sent)
}

/// Guards against a store whose room and link are taken up by what nobody asks for again.
#[test]
fn saving_what_is_missing_keeps_what_is_shared() {
    let (all_again, all_sent) = played(true);
    let (again, sent) = played(false);
    assert!(
        again * 2 < all_again,
        "{again} read again, {all_again} when all is saved"
    );
    assert!(
        sent * 4 < all_sent,
        "{sent} sent, {all_sent} when all is saved"
    );
}

/// Guards against prefixes that are asked of a store long after it dropped them.
#[test]
fn a_prefix_counts_as_held_until_as_much_was_saved_as_there_is_room() {
    let mut known = KeptParts::default();
    assert!(!known.holds(key(1), Some(100_000), 1));
    known.saved(key(1), 10_000);
    for prefix in 2..9 {
        known.saved(key(prefix), 10_000);
    }
    assert!(known.holds(key(1), Some(100_000), 1));
    assert!(
        !known.holds(key(1), Some(100_000), 2),
        "another shard saves as much"
    );
    known.fetched(key(1));
    for prefix in 9..11 {
        known.saved(key(prefix), 10_000);
    }
    assert!(known.holds(key(1), Some(100_000), 1), "its use renewed it");
    assert!(!known.holds(key(2), Some(100_000), 1));
    assert!(known.holds(key(2), None, 1), "nothing is known of its room");
}

/// Guards against a store that started again empty and is counted on, and against parts of other weights.
#[test]
fn what_a_store_held_before_it_started_again_is_forgotten() {
    let mut known = KeptParts::default();
    known.saved(key(1), 10_000);
    let newer = Key {
        version: 4,
        ..key(1)
    };
    assert!(!known.holds(newer, None, 1));
    known.forget(1);
    assert!(!known.holds(key(1), None, 1));
    known.fetched(key(1));
    assert!(!known.holds(key(1), None, 1));
}

/// Guards against saves that fill a store's link after weights changed, so that neither they nor fetches arrive.
#[test]
fn saves_take_what_fetches_leave_of_a_link() {
    let mut known = KeptParts::default();
    let takes = Duration::from_millis(60);
    assert!(known.may_save(1, at(0)));
    known.occupy(1, takes, at(0));
    assert!(known.may_save(1, at(0)));
    known.occupy(1, takes, at(0));
    assert!(!known.may_save(1, at(0)));
    assert_eq!(known.queue(1, at(50)), Duration::from_millis(70));
    assert!(known.may_save(1, at(50)));
    assert!(known.may_save(2, at(0)), "another store's link is its own");
    assert_eq!(known.queue(1, at(500)), Duration::ZERO);
}
