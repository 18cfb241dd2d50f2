//! Cost of the fold by number of teams.
//!
//! `cargo bench -p sesamegap-settings --bench fold` measures a change of one team, a change of the
//! defaults of all teams, a day of 9,700 changes, taking a snapshot and starting from one, at
//! three sizes. It also prints the memory used by a fold and the size of its snapshot.

use criterion::measurement::WallTime;
use criterion::{
    BatchSize, BenchmarkGroup, BenchmarkId, Criterion, criterion_group, criterion_main,
};
use serde_json::{Value, json};
use sesamegap_settings::fold::{MAX_CHANGE_IDS, MAX_TRACKED_PATHS};
use sesamegap_settings::{Change, ChangeId, Edit, Fold, Outcome};
use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Numbers of teams, for the slope. The last is the number that users expect in two years.
const TEAMS: [usize; 3] = [3_500, 17_500, 35_000];

/// Changes per day that the users expect.
const DAY: usize = 9_700;

/// Number of teams in one group.
const GROUP: usize = 500;

/// Allocator that counts the bytes in use.
struct Counting;

static IN_USE: AtomicUsize = AtomicUsize::new(0);

#[expect(
    unsafe_code,
    reason = "an allocator can only be wrapped by unsafe functions"
)]
// SAFETY: every call is forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: as above.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: as above.
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static COUNTING: Counting = Counting;

fn change(fold: &Fold, edits: Vec<Edit>) -> Vec<u8> {
    let change = Change {
        id: ChangeId(u128::from(fold.next().0)),
        base: fold.revision(),
        by: "operator".into(),
        note: "a change of the bench".to_owned(),
        edits,
    };
    change.encode().expect("within bounds")
}

fn edit(path: &str, value: Value) -> Edit {
    Edit {
        path: path.parse().expect("a path"),
        value: Some(value),
    }
}

fn append(fold: &mut Fold, edits: Vec<Edit>) {
    let body = change(fold, edits);
    let outcome = fold.apply(fold.next(), 0, &body);
    assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome}");
}

fn team(index: usize) -> String {
    format!("groups/firm-{}/teams/team-{index}", index / GROUP)
}

/// A fold with `teams` teams in groups of equal size. Each has its own key and a weight.
fn fold_with_teams(teams: usize) -> Fold {
    let mut fold = Fold::default();
    append(&mut fold, vec![edit("classes/standard", json!({}))]);
    for group in 0..teams / GROUP {
        append(
            &mut fold,
            vec![edit(&format!("groups/firm-{group}"), json!({}))],
        );
        let member = |index: usize| {
            let hash = sesamegap_settings::key_hash(&index.to_string());
            edit(&team(index), json!({"key_hashes": [hash], "weight": 2}))
        };
        let members = (group * GROUP..(group + 1) * GROUP).map(member);
        append(&mut fold, members.collect());
    }
    fold
}

/// Applies a day's changes, each of one team.
///
/// With `shared`, a clone of the catalogue is held as in the router.
fn day(fold: &mut Fold, teams: usize, shared: bool) {
    let mut kept = Arc::default();
    for turn in 0..DAY {
        let path = format!("{}/burst", team(turn * 7 % teams));
        append(fold, vec![edit(&path, json!(turn + 1))]);
        if shared {
            kept = fold.catalogue();
        }
    }
    black_box(kept);
}

fn sizes(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("fold");
    group
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300));
    group.measurement_time(Duration::from_secs(2));
    for teams in TEAMS {
        let before = IN_USE.load(Ordering::Relaxed);
        let fold = fold_with_teams(teams);
        let bytes = IN_USE.load(Ordering::Relaxed) - before;
        let snapshot = fold.snapshot();
        let record = change(&fold, vec![edit(&(team(0) + "/burst"), json!(7))]);
        let (kept, sent) = (snapshot.len(), record.len());
        println!("teams {teams}: fold {bytes} B, snapshot {kept} B, change {sent} B");
        println!(
            "teams {teams}: fold {} B after a start",
            restored_size(&snapshot)
        );
        let full = with_full_history(fold.clone(), teams).snapshot().len();
        println!("teams {teams}: snapshot {full} B with memories at their bounds");
        days(&fold, teams);
        changes(&mut group, &fold, teams);
        starts(&mut group, &fold, &snapshot, teams);
    }
    group.finish();
}

/// Memory used by a fold that was restored from a snapshot, in bytes.
fn restored_size(snapshot: &[u8]) -> usize {
    let before = IN_USE.load(Ordering::Relaxed);
    let mut fresh = Fold::default();
    assert_eq!(fresh.adopt(snapshot), Ok(true));
    IN_USE.load(Ordering::Relaxed) - before
}

/// Fills the history of ids, and that of modified paths as far as possible.
fn with_full_history(mut fold: Fold, teams: usize) -> Fold {
    const EDITS: usize = MAX_TRACKED_PATHS / MAX_CHANGE_IDS;
    for turn in 0..MAX_CHANGE_IDS {
        let index = |part: usize| (turn * EDITS + part) % (2 * teams);
        let one = |at: usize| {
            edit(
                &format!("{}/{}", team(at / 2), ["burst", "rate"][at % 2]),
                json!(7),
            )
        };
        append(&mut fold, (0..EDITS).map(|part| one(index(part))).collect());
    }
    fold
}

fn days(fold: &Fold, teams: usize) {
    for shared in [false, true] {
        let mut fold = fold.clone();
        let start = Instant::now();
        day(&mut fold, teams, shared);
        println!(
            "teams {teams}: {DAY} changes, shared {shared}: {:?}",
            start.elapsed()
        );
    }
}

fn changes(group: &mut BenchmarkGroup<'_, WallTime>, fold: &Fold, teams: usize) {
    for (name, path) in [
        ("one team", team(0) + "/burst"),
        ("all teams", "defaults/team/burst".to_owned()),
    ] {
        let mut fold = fold.clone();
        let mut turn = 1;
        group.bench_function(BenchmarkId::new(name, teams), |bencher| {
            bencher.iter(|| {
                turn += 1;
                append(&mut fold, vec![edit(&path, json!(turn))]);
            });
        });
    }
}

fn starts(group: &mut BenchmarkGroup<'_, WallTime>, fold: &Fold, snapshot: &[u8], teams: usize) {
    group.bench_function(BenchmarkId::new("snapshot", teams), |bencher| {
        bencher.iter(|| black_box(fold.snapshot()));
    });
    group.bench_function(BenchmarkId::new("adopt", teams), |bencher| {
        let adopt = |mut fresh: Fold| {
            assert_eq!(fresh.adopt(snapshot), Ok(true));
            fresh
        };
        bencher.iter_batched(Fold::default, adopt, BatchSize::PerIteration);
    });
}

criterion_group!(benches, sizes);
criterion_main!(benches);
