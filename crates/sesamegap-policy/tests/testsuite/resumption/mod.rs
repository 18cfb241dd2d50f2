//! Tests of the resumption of streams at their software version: decisions, records, and simulated fleets in releases.

mod world;

use sesamegap_policy::resumption::{
    Answer, Evidence, Origin, Records, ServedVersions, StreamKey, Testimony, Verdict, decide,
};
use sesamegap_wire::Moment;
use std::time::Duration;
use world::{Flaw, World};

/// Number of random histories; `SESAMEGAP_CASES` overrides it.
const HISTORIES: u64 = 30;

fn cases() -> u64 {
    let cases = std::env::var("SESAMEGAP_CASES").ok();
    cases
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(HISTORIES)
}

fn origin(software: &str) -> Origin {
    Origin {
        service: "engines".parse().unwrap(),
        software: software.parse().unwrap(),
    }
}

fn testimony(versions: &[&str], complete: bool) -> Testimony {
    Testimony {
        origins: versions.iter().map(|version| origin(version)).collect(),
        complete,
    }
}

fn recorded(version: &str) -> Answer {
    Answer::Record(origin(version))
}

fn versions(versions: &[&str], complete: bool) -> Answer {
    Answer::Versions(testimony(versions, complete))
}

fn goes_on_at(version: &str, evidence: Evidence) -> Verdict {
    Verdict::At(origin(version), evidence)
}

#[test]
fn a_record_decides_whatever_versions_serve() {
    let own = testimony(&["v1", "v2"], true);
    let answers = [versions(&["v3"], true), recorded("v2")];
    assert_eq!(decide(&own, &answers), goes_on_at("v2", Evidence::Record));
}

/// A version that served lately may be gone, and its record stands all the same.
#[test]
fn a_record_of_a_version_that_nobody_knows_decides() {
    let own = testimony(&["v2"], true);
    assert_eq!(
        decide(&own, &[recorded("v1")]),
        goes_on_at("v1", Evidence::Record)
    );
}

/// Two VMs hold records of one stream that name different versions.
#[test]
fn records_that_contradict_each_other_decide_nothing() {
    let own = testimony(&["v1", "v2"], true);
    let answers = [recorded("v1"), recorded("v2")];
    assert_eq!(decide(&own, &answers), Verdict::Ambiguous);
}

/// The list of the VM at which a stream is taken up lags behind those of others.
#[test]
fn a_version_that_only_another_vm_knows_counts() {
    let own = testimony(&["v1"], true);
    let answers = [versions(&["v1"], true), versions(&["v1", "v2"], false)];
    assert_eq!(decide(&own, &answers), Verdict::Ambiguous);
}

/// A VM that has just started knows the present only.
#[test]
fn a_past_that_nobody_knows_decides_nothing() {
    let own = testimony(&["v1"], false);
    let nobody = [versions(&["v1"], false)];
    assert_eq!(decide(&own, &nobody), Verdict::Uninformed);
    let one = [versions(&["v1"], false), versions(&["v1"], true)];
    assert_eq!(decide(&own, &one), goes_on_at("v1", Evidence::OnlyVersion));
}

#[test]
fn a_vm_without_a_list_is_uninformed() {
    assert_eq!(decide(&Testimony::default(), &[]), Verdict::Uninformed);
}

/// The last upstream of a version has gone; the streams that it began may be taken up for a while.
#[test]
fn a_version_counts_until_its_streams_are_over() {
    let (service, v1) = (origin("v1").service, origin("v1").software);
    let mut served = ServedVersions::default();
    let start = Moment(0) + Duration::from_hours(1);
    served.record_list(start);
    served.record(&service, &v1, start);
    let window = Duration::from_secs(12);
    let counts = |served: &ServedVersions, after| {
        let within = served.within(&service, window, start + Duration::from_secs(after));
        within.count()
    };
    assert_eq!(counts(&served, 12), 1);
    assert_eq!(counts(&served, 13), 0);
    assert!(!served.covers(window, start + Duration::from_secs(11)));
    assert!(served.covers(window, start + Duration::from_secs(12)));
}

/// A record ends with its caller's time, and with it what a VM has to keep.
#[test]
fn records_end_with_their_callers_time() {
    let mut records = Records::default();
    let start = Moment(0) + Duration::from_hours(1);
    let stream = StreamKey::of(Some("clerks"), "a1");
    records.insert(stream, origin("v1"), start + Duration::from_secs(6));
    assert_eq!(records.get(stream, start), Some(&origin("v1")));
    let over = start + Duration::from_secs(6);
    assert_eq!(records.get(stream, over), None);
    records.expire(over);
    assert!(records.is_empty());
}

/// A VM of a large fleet holds records of many others' streams, and must not run out of memory.
#[test]
fn the_number_of_records_is_bounded() {
    let mut records = Records::default();
    let start = Moment(0) + Duration::from_hours(1);
    for no in 0..100_000 {
        let until = start + Duration::from_millis(no);
        records.insert(StreamKey(no), origin("v1"), until);
    }
    assert!(records.len() <= 40_000);
    assert!(records.get(StreamKey(99_999), start).is_some());
}

/// Equal ids of two teams are two streams.
#[test]
fn a_stream_belongs_to_its_team() {
    let key = |team| StreamKey::of(team, "a1");
    assert_ne!(key(Some("clerks")), key(Some("fitters")));
    assert_ne!(key(Some("")), key(None));
}

/// Releases overlap, stop halfway and are undone while VMs are killed, frozen and cut off, and lists lag.
#[test]
fn streams_stay_at_their_version_in_random_histories() {
    for seed in 0..cases() {
        let world = World::play(seed, None);
        assert_eq!(world.mixed, 0, "seed {seed}: streams of two versions");
    }
}

/// Most VMs live on, so most streams must go on.
#[test]
fn most_streams_of_killed_vms_go_on_in_random_histories() {
    let (mut taken_up, mut went_on) = (0, 0);
    for seed in 0..cases() {
        let world = World::play(seed, None);
        taken_up += world.taken_up;
        went_on += world.went_on;
    }
    assert!(
        went_on * 10 >= taken_up * 9,
        "{went_on} of {taken_up} went on"
    );
}

#[test]
fn broken_variants_are_caught() {
    for flaw in [
        Flaw::KeepsRecords,
        Flaw::TrustsItself,
        Flaw::ForgetsVersions,
    ] {
        let found = (0..HISTORIES).any(|seed| {
            let world = World::play(seed, Some(flaw));
            world.mixed > 0 || world.went_on * 10 < world.taken_up * 5
        });
        assert!(found, "{flaw:?}");
    }
}
