//! Every subject gives figures at tiny sizes.

use clap::ValueEnum;
use sesamegap_measure::slopes::{Row, Subject, measure};

/// Divides the sizes so far that a subject takes a moment.
const SHRINK: usize = 1_000;

fn figures(rows: &[Row], what: &str) -> Vec<f64> {
    let rows = rows.iter().filter(|row| row.what == what);
    rows.map(|row| row.value).collect()
}

#[test]
fn every_subject_gives_three_sizes() {
    for subject in Subject::value_variants() {
        let rows = measure(*subject, SHRINK);
        for row in &rows {
            assert!(row.value.is_finite(), "{row}");
            let same = figures(&rows, row.what).len();
            assert!(same >= 3, "{row}: {same} sizes");
        }
    }
}

#[test]
fn all_requests_of_the_decider_are_sent() {
    let rows = measure(Subject::Decider, SHRINK);
    let sent = figures(&rows, "part of the requests sent");
    assert_eq!(sent, [1.0, 1.0, 1.0]);
}

#[test]
fn one_that_leaves_is_known_to_all_at_last() {
    let rows = measure(Subject::Membership, SHRINK);
    let rounds = figures(&rows, "rounds until all know one that leaves");
    assert!(rounds.iter().all(|count| (1.0..200.0).contains(count)));
}
