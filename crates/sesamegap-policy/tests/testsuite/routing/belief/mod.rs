//! Compares the view of an upstream with the truth in a small simulation.

mod world;

use crate::support::{at, cases, offset};
use quickcheck::{Arbitrary, Gen};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use sesamegap_policy::routing::belief::{
    Belief, Change, LAPSE, ListRecord, ListUpdate, Listing, Rules, StoreReachability, TOMBSTONE,
};
use sesamegap_wire::{Incarnation, LogPosition, Offset, Timeline};
use world::{Judge, Real, Step, World, play};

fn steps(seed: u64) -> Vec<Step> {
    let mut gen_ = Gen::from_size_and_seed(60, seed);
    Vec::arbitrary(&mut gen_)
}

/// The first seed at which a judge contradicts the truth.
fn first_failing_seed(seeds: u64, judge: impl Fn() -> Box<dyn Judge>) -> Option<(u64, String)> {
    (0..seeds).find_map(|seed| {
        let fault = play(&steps(seed), &mut *judge()).err()?;
        Some((seed, fault))
    })
}

/// Writes are delayed or lost, upstreams restart, leave or crash, the store becomes unreachable, and updates are
/// duplicated and reordered. Afterwards a live upstream must get requests and a gone one none, and one that announced
/// that it leaves must not have been restored.
#[test]
fn the_view_converges_to_the_truth() {
    let fault = first_failing_seed(cases(2_000), || Box::new(Real::new()));
    assert_eq!(fault, None);
}

/// Entry VMs receive the same updates from several readers in any order and number, and must reach the same view.
#[test]
fn updates_may_arrive_in_any_order() {
    for seed in 0..cases(500) {
        let world = play(&steps(seed), &mut Real::new()).expect("checked by the other test");
        let mut updates: Vec<ListUpdate> =
            (0..world.log.len()).map(|no| world.update(no)).collect();
        updates.extend(updates.clone());
        updates.shuffle(&mut StdRng::seed_from_u64(seed));
        let mut judge = Real::new();
        let reachability = StoreReachability::default();
        for update in updates {
            judge.apply(update, &reachability, world.now);
        }
        judge.expire(&reachability, world.now + 100);
        let usable = judge.is_known() && !judge.is_leaving();
        assert_eq!(
            usable,
            world.alive().is_some(),
            "seed {seed}: {:?}",
            world.log
        );
    }
}

/// Uses only heartbeats and a one-minute tombstone. Without positions, a removal counts as often as it is received.
#[derive(Debug, Default)]
struct HeartbeatsOnly {
    known: Option<Listing>,
    tomb: Option<u64>,
}

impl Judge for HeartbeatsOnly {
    fn apply(
        &mut self,
        update: ListUpdate,
        _reachability: &StoreReachability,
        _now: u64,
    ) -> Change {
        match update.record {
            ListRecord::Listed(listing) if self.tomb.is_some_and(|beat| listing.beat <= beat) => {}
            ListRecord::Listed(listing) => {
                let newer = self.known.is_none_or(|known| known.beat <= listing.beat);
                self.known = if newer { Some(listing) } else { self.known };
            }
            _ => self.tomb = self.known.take().map(|known| known.beat).or(self.tomb),
        }
        Change::Same
    }

    fn expire(&mut self, _reachability: &StoreReachability, _now: u64) {}

    fn is_known(&self) -> bool {
        self.known.is_some()
    }

    fn is_leaving(&self) -> bool {
        self.known.is_some_and(|known| known.leaving)
    }

    fn born(&self) -> Option<Incarnation> {
        self.known.and_then(|known| known.born)
    }
}

/// Uses only positions, and so takes a delayed record as the truth.
#[derive(Debug, Default)]
struct PositionsOnly {
    at: Option<LogPosition>,
    known: Option<Listing>,
}

impl Judge for PositionsOnly {
    fn apply(
        &mut self,
        update: ListUpdate,
        _reachability: &StoreReachability,
        _now: u64,
    ) -> Change {
        if self.at.is_none_or(|at| at < update.at) {
            self.at = Some(update.at);
            self.known = match update.record {
                ListRecord::Listed(listing) => Some(listing),
                _ => self.known.map(|known| Listing {
                    leaving: true,
                    ..known
                }),
            };
        }
        Change::Same
    }

    fn expire(&mut self, _reachability: &StoreReachability, _now: u64) {}

    fn is_known(&self) -> bool {
        self.known.is_some_and(|known| !known.leaving)
    }

    fn is_leaving(&self) -> bool {
        self.known.is_some_and(|known| known.leaving)
    }

    fn born(&self) -> Option<Incarnation> {
        self.known.and_then(|known| known.born)
    }
}

/// The real implementation with altered updates, or without expiry.
#[derive(Debug)]
struct Altered {
    real: Real,
    alter: fn(ListUpdate) -> ListUpdate,
    expires: bool,
}

impl Altered {
    fn new(alter: fn(ListUpdate) -> ListUpdate) -> Self {
        Self {
            real: Real::new(),
            alter,
            expires: true,
        }
    }

    /// Doubt never ends.
    fn without_expiry() -> Self {
        Self {
            expires: false,
            ..Self::new(|update| update)
        }
    }

    fn without_incarnations() -> Self {
        Self::new(|update| {
            let record = match update.record {
                ListRecord::Listed(listing) => ListRecord::Listed(Listing {
                    born: None,
                    ..listing
                }),
                record => record,
            };
            ListUpdate { record, ..update }
        })
    }

    /// Offsets of a restored store are compared with those from before the restore.
    fn without_timelines() -> Self {
        Self::new(|update| ListUpdate {
            at: offset(update.at.offset.0),
            ..update
        })
    }
}

impl Judge for Altered {
    fn apply(&mut self, update: ListUpdate, reachability: &StoreReachability, now: u64) -> Change {
        self.real.apply((self.alter)(update), reachability, now)
    }

    fn expire(&mut self, reachability: &StoreReachability, now: u64) {
        if self.expires {
            self.real.expire(reachability, now);
        }
    }

    fn is_known(&self) -> bool {
        self.real.is_known()
    }

    fn is_leaving(&self) -> bool {
        self.real.is_leaving()
    }

    fn born(&self) -> Option<Incarnation> {
        self.real.born()
    }
}

/// Verifies that the simulation detects broken implementations.
#[test]
fn broken_orderings_are_detected() {
    type Made = fn() -> Box<dyn Judge>;
    let broken: [(&str, Made); 5] = [
        ("heartbeats alone", || Box::new(HeartbeatsOnly::default())),
        ("positions alone", || Box::new(PositionsOnly::default())),
        ("endless doubt", || Box::new(Altered::without_expiry())),
        ("no incarnations", || {
            Box::new(Altered::without_incarnations())
        }),
        ("no timelines", || Box::new(Altered::without_timelines())),
    ];
    for (name, judge) in broken {
        assert!(
            first_failing_seed(2_000, judge).is_some(),
            "{name} is not detected"
        );
    }
}

fn listed(at: u64, beat: u64, born: Option<u64>) -> ListUpdate {
    ListUpdate {
        at: offset(at),
        record: ListRecord::Listed(Listing {
            beat,
            born: born.map(Incarnation),
            leaving: false,
        }),
    }
}

fn removed(at: u64) -> ListUpdate {
    ListUpdate {
        at: offset(at),
        record: ListRecord::Removed,
    }
}

fn apply(belief: &mut Belief, update: ListUpdate, ms: u64) -> Change {
    belief.apply(
        update,
        &Rules::default(),
        &StoreReachability::default(),
        at(ms),
    )
}

/// A worker's heartbeats are delayed until the store drops its entry, and the first to complete lists it again. That
/// record is older than the known one, and no other follows, since only the heartbeat changes from then on. The
/// worker would stay excluded forever.
#[test]
fn a_delayed_record_that_remains_restores_a_worker() {
    let rules = Rules::default();
    let mut belief = Belief::new(at(0));
    assert_eq!(apply(&mut belief, listed(0, 5, Some(1)), 0), Change::New);
    assert_eq!(apply(&mut belief, removed(1), 4_000), Change::Gone);
    assert_eq!(
        apply(&mut belief, listed(2, 4, Some(1)), 5_000),
        Change::Doubted
    );
    assert!(!belief.is_known());
    let reachability = StoreReachability::default();
    let stood = 5_000 + u64::try_from(rules.confirmation.as_millis()).expect("a short span");
    assert_eq!(
        belief.expire(&rules, &reachability, at(stood - 1)),
        Change::Same
    );
    assert_eq!(belief.expire(&rules, &reachability, at(stood)), Change::New);
    assert!(belief.is_known());
}

/// The same with a worker that is gone: the store drops the entry that the delayed heartbeat created, and no request may
/// be sent there in between.
#[test]
fn a_delayed_record_that_is_dropped_restores_no_worker() {
    let mut belief = Belief::new(at(0));
    apply(&mut belief, listed(0, 5, Some(1)), 0);
    apply(&mut belief, removed(1), 4_000);
    apply(&mut belief, listed(2, 5, Some(1)), 5_000);
    assert!(!belief.is_known());
    assert_eq!(apply(&mut belief, removed(3), 8_600), Change::Gone);
    let end = belief.expire(&Rules::default(), &StoreReachability::default(), at(20_000));
    assert_eq!(end, Change::Same);
    assert!(!belief.is_known() && !belief.is_forgotten(at(20_000)));
    let forgotten = at(8_600) + TOMBSTONE;
    assert!(belief.is_forgotten(forgotten));
}

/// While the store is unreachable no VM sees it drop an entry, so an entry that remains proves nothing.
#[test]
fn doubt_does_not_end_while_the_store_is_unreachable() {
    let rules = Rules::default();
    let mut belief = Belief::new(at(0));
    apply(&mut belief, listed(0, 5, None), 0);
    apply(&mut belief, removed(1), 4_000);
    apply(&mut belief, listed(2, 5, None), 5_000);
    let mut reachability = StoreReachability::default();
    reachability.record_response(false, at(5_500));
    assert_eq!(
        belief.expire(&rules, &reachability, at(30_000)),
        Change::Same
    );
    reachability.record_response(true, at(30_000));
    assert_eq!(
        belief.expire(&rules, &reachability, at(31_000)),
        Change::Same
    );
    let stood = at(30_000) + rules.confirmation;
    assert_eq!(belief.expire(&rules, &reachability, stood), Change::New);
}

/// A worker announces that it leaves, ends, and restarts under the same id. It must get requests at once, and delayed
/// writes of its previous incarnation must not remove it.
#[test]
fn a_restarted_worker_is_a_new_incarnation() {
    let mut belief = Belief::new(at(0));
    let mut leaving = listed(0, 90, Some(1));
    leaving.record = ListRecord::Listed(Listing {
        beat: 90,
        born: Some(Incarnation(1)),
        leaving: true,
    });
    apply(&mut belief, leaving, 0);
    assert_eq!(apply(&mut belief, removed(1), 2_000), Change::Gone);
    assert_eq!(
        apply(&mut belief, listed(2, 1, Some(50)), 3_000),
        Change::Restarted
    );
    assert!(belief.is_known() && !belief.is_leaving());
    leaving.at = offset(3);
    assert_eq!(apply(&mut belief, leaving, 3_500), Change::Former);
    assert!(belief.is_known() && !belief.is_leaving());
    assert_eq!(
        belief.observe_incarnation(Some(Incarnation(1))),
        Change::Former
    );
    assert_eq!(
        belief.observe_incarnation(Some(Incarnation(70))),
        Change::Restarted
    );
    assert_eq!(belief.born(), Some(Incarnation(70)));
}

/// Entries lapse while the store is unreachable. A live worker writes within two seconds of the store's return, however
/// long it was away; a longer limit would send requests to workers that are gone.
#[test]
fn a_lapse_ends_two_seconds_after_the_stores_return() {
    let rules = Rules::default();
    let mut reachability = StoreReachability::default();
    let mut belief = Belief::new(at(0));
    apply(&mut belief, listed(0, 5, Some(1)), 0);
    reachability.record_response(false, at(1_000));
    let lapsed = belief.apply(removed(1), &rules, &reachability, at(1_500));
    assert_eq!(lapsed, Change::Lapsed);
    reachability.record_response(true, at(9_000));
    assert!(belief.is_known());
    let due = at(9_000) + LAPSE;
    assert!(!belief.is_overdue(&rules, &reachability, at(10_999)));
    assert!(belief.is_overdue(&rules, &reachability, due));
    assert_eq!(belief.expire(&rules, &reachability, due), Change::Gone);
}

/// Without faults, an upstream writes a single record to the log.
#[test]
fn a_run_without_faults_writes_one_record() {
    let world: World = play(&[Step::Pass(250)], &mut Real::new()).expect("nothing happens");
    assert_eq!(world.log.len(), 1, "heartbeats are not written to the log");
}

/// Guards against excluding a worker because a restored store lists it with a heartbeat that was known before.
#[test]
fn a_worker_missing_from_a_restored_list_comes_back_with_the_same_heartbeat() {
    let rules = Rules::default();
    let mut reachability = StoreReachability::default();
    let mut belief = Belief::new(at(0));
    belief.apply(listed(40, 7, Some(1)), &rules, &reachability, at(100));
    reachability.restored(at(1_000));
    let on_copy = |no: u64, update: ListUpdate| ListUpdate {
        at: LogPosition::new(Timeline(1), Offset(no)),
        ..update
    };
    let missing = belief.apply(on_copy(30, removed(0)), &rules, &reachability, at(1_000));
    assert_eq!(missing, Change::Lapsed);
    assert!(belief.is_known());
    let again = belief.apply(
        on_copy(31, listed(0, 7, Some(1))),
        &rules,
        &reachability,
        at(1_500),
    );
    assert_eq!(again, Change::Returned);
    assert_eq!(
        belief.expire(&rules, &reachability, at(9_000)),
        Change::Same
    );
    assert!(belief.is_known());
}
