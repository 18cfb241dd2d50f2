//! Stateful fuzzing of the fold against a reference oracle.
//!
//! A script of actions drives several processes over one log: operators publish concurrently,
//! appends are repeated after lost responses, records expire, snapshots are appended and sent
//! between peers, processes restart, and garbage is appended to the log. After each action every
//! process must be in the oracle's state for its position, and no position may decrease.

use crate::support::naive::{Oracle, agrees, tidy};
use crate::support::property_test;
use quickcheck::{Arbitrary, Gen};
use serde_json::{Value, json};
use sesamegap_settings::{Change, ChangeId, Edit, Fold, Outcome};
use sesamegap_wire::Offset;

const PROCESSES: usize = 3;

const PATHS: [&str; 16] = [
    "classes/c",
    "classes/c/priority",
    "classes/d",
    "models/m",
    "teams/a",
    "teams/a/class",
    "teams/a/weight",
    "teams/a/models",
    "teams/b",
    "groups/g",
    "groups/g/teams/a",
    "groups/g/teams/x/key_hashes",
    "groups/g/defaults/team",
    "defaults/team",
    "defaults/team/class",
    "teams/nobody/weight",
];

/// One step of a script.
#[derive(Debug, Clone)]
enum Action {
    /// An operator publishes edits, based on a revision this many records old.
    Publish(Vec<(u8, u8)>, u8),
    /// An earlier append is repeated.
    Repeat(u8),
    /// Arbitrary bytes are appended to the log.
    Garbage(Vec<u8>),
    /// A process reads this many records.
    Read(u8, u8),
    /// A process appends a snapshot.
    Snapshot(u8),
    /// The log drops this many of its oldest records.
    Expire(u8),
    /// A process restarts with an empty fold.
    Restart(u8),
    /// A process sends its state to a peer.
    Send(u8, u8),
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Self {
        let byte = u8::arbitrary;
        match byte(g) % 16 {
            0..=5 => {
                let mut edits = vec![(byte(g), byte(g))];
                if byte(g) % 3 == 0 {
                    edits.push((byte(g), byte(g)));
                }
                Self::Publish(edits, byte(g) % 4)
            }
            6 => Self::Repeat(byte(g)),
            7 => Self::Garbage(Vec::arbitrary(g)),
            8..=11 => Self::Read(byte(g), byte(g) % 8),
            12 => Self::Snapshot(byte(g)),
            13 => Self::Expire(byte(g) % 4),
            14 => Self::Restart(byte(g)),
            _ => Self::Send(byte(g), byte(g)),
        }
    }
}

#[derive(Debug, Clone)]
struct Script(Vec<Action>);

impl Arbitrary for Script {
    fn arbitrary(g: &mut Gen) -> Self {
        // Start from a populated tree, so that later edits can succeed.
        let start =
            [(0, 0), (2, 0), (3, 0), (4, 1), (9, 0)].map(|edit| Action::Publish(vec![edit], 0));
        let acts: Vec<Action> = Vec::arbitrary(g);
        Self(start.into_iter().chain(acts).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let acts = self.0.clone();
        let without = (0..acts.len()).map(move |index| {
            let mut fewer = acts.clone();
            fewer.remove(index);
            Self(fewer)
        });
        Box::new(without)
    }
}

/// The value that an edit sets; some are invalid at their path.
fn value(path: &str, choice: u8) -> Option<Value> {
    let hash = sesamegap_settings::key_hash("k");
    let object = |choice: u8| match choice % 3 {
        0 => json!({}),
        1 => json!({"class": "c"}),
        _ => json!({"class": "d", "weight": 3, "key_hashes": [hash]}),
    };
    if choice % 5 == 4 {
        return None;
    }
    Some(match path.rsplit('/').next().unwrap_or_default() {
        "priority" => json!(choice),
        "class" => json!(["c", "d", "none"][usize::from(choice % 3)]),
        "weight" => json!(f64::from(choice) - 20.0),
        "models" => json!([if choice < 200 { "m" } else { "absent" }]),
        "key_hashes" => json!([hash]),
        "c" | "d" | "m" => json!({}),
        "g" => json!({"teams": {"x": object(choice)}, "defaults": {"team": object(choice / 3)}}),
        _ => object(choice),
    })
}

/// A fault injected into the code under test.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// A change overwrites modifications that its author has not read.
    IgnoresBase,
    /// Only the first edit of a change takes effect.
    AppliesPartially,
    /// A repeated append is treated as a new change.
    ForgetsIds,
    /// Any snapshot is adopted, even an older one.
    AdoptsOlderSnapshots,
    /// Missing records are skipped instead of reported as a gap.
    SkipsGaps,
}

/// A process under test, possibly with a fault.
#[derive(Debug, Default)]
struct Process(Fold);

impl Process {
    fn apply(&mut self, offset: Offset, body: &[u8], fault: Fault) {
        let change = Change::decode(body);
        match (fault, change) {
            (Fault::IgnoresBase, Ok(change)) => {
                let base = self.0.revision();
                self.feed(offset, &Change { base, ..change });
            }
            (Fault::ForgetsIds, Ok(change)) => {
                let id = ChangeId(u128::from(offset.0) << 64);
                let base = self.0.revision();
                self.feed(offset, &Change { id, base, ..change });
            }
            (Fault::AppliesPartially, Ok(change)) if change.edits.len() > 1 => {
                let mut first = change.clone();
                first.edits.truncate(1);
                self.feed(offset, &first);
            }
            _ => {
                self.0.apply(offset, offset.0, body);
            }
        }
    }

    fn feed(&mut self, offset: Offset, change: &Change) {
        let body = change.encode().expect("within bounds");
        self.0.apply(offset, offset.0, &body);
    }

    fn adopt(&mut self, snapshot: &[u8], fault: Fault) -> bool {
        if fault == Fault::AdoptsOlderSnapshots {
            let mut fresh = Fold::default();
            let taken = fresh.adopt(snapshot) == Ok(true);
            if taken {
                self.0 = fresh;
            }
            return taken;
        }
        self.0.adopt(snapshot) == Ok(true)
    }
}

/// The log, the processes and the oracle's state at each position.
struct Cluster {
    fault: Fault,
    log: Vec<Vec<u8>>,
    oldest: usize,
    states: Vec<Oracle>,
    sent: Vec<Vec<u8>>,
    processes: Vec<Process>,
    snapshots: Vec<Option<Vec<u8>>>,
}

impl Cluster {
    fn new(fault: Fault) -> Self {
        Self {
            fault,
            log: Vec::new(),
            oldest: 0,
            states: vec![Oracle::new()],
            sent: Vec::new(),
            processes: (0..PROCESSES).map(|_| Process::default()).collect(),
            snapshots: vec![None],
        }
    }

    fn append(&mut self, body: Vec<u8>) {
        let offset = Offset(self.log.len() as u64);
        let state = self.states[self.log.len()].after(offset, &body);
        self.states.push(state);
        self.snapshots.push(None);
        self.log.push(body);
    }

    fn act(&mut self, act: &Action) {
        match act {
            Action::Publish(edits, old) => self.publish(edits, usize::from(*old)),
            Action::Repeat(which) if !self.sent.is_empty() => {
                let body = self.sent[usize::from(*which) % self.sent.len()].clone();
                self.append(body);
            }
            Action::Repeat(_) => {}
            Action::Garbage(bytes) => self.append(bytes.clone()),
            Action::Read(who, count) => {
                for _ in 0..*count {
                    self.read(usize::from(*who) % PROCESSES);
                }
            }
            Action::Snapshot(who) => {
                let body = self.processes[usize::from(*who) % PROCESSES].0.snapshot();
                self.append(body);
            }
            Action::Expire(count) => {
                self.oldest = (self.oldest + usize::from(*count)).min(self.log.len());
            }
            Action::Restart(who) => {
                self.processes[usize::from(*who) % PROCESSES] = Process::default();
            }
            Action::Send(from, to) => {
                let body = self.processes[usize::from(*from) % PROCESSES].0.snapshot();
                let fault = self.fault;
                self.processes[usize::from(*to) % PROCESSES].adopt(&body, fault);
            }
        }
    }

    fn publish(&mut self, edits: &[(u8, u8)], old: usize) {
        let seen = &self.states[self.log.len().saturating_sub(old)];
        let edit = |(path, choice): &(u8, u8)| {
            let path = PATHS[usize::from(*path) % PATHS.len()];
            Edit {
                path: path.parse().expect("a path"),
                value: value(path, *choice),
            }
        };
        let change = Change {
            id: ChangeId(self.sent.len() as u128),
            base: seen.revision,
            by: "op".into(),
            note: String::new(),
            edits: edits.iter().map(edit).collect(),
        };
        let body = change.encode().expect("within bounds");
        self.sent.push(body.clone());
        self.append(body);
    }

    /// Applies one record, or adopts a snapshot if the next record has expired.
    fn read(&mut self, who: usize) {
        let fault = self.fault;
        let process = &mut self.processes[who];
        let next = usize::try_from(process.0.next().0).expect("a small offset");
        if next < self.oldest {
            for body in &self.log[self.oldest..] {
                process.adopt(body, fault);
            }
            if fault == Fault::SkipsGaps && process.0.next().0 < self.oldest as u64 {
                let garbage = (process.0.next().0..self.oldest as u64).map(Offset);
                garbage.for_each(|offset| process.apply(offset, b"", fault));
            }
        } else if let Some(body) = self.log.get(next) {
            process.apply(Offset(next as u64), body, fault);
        }
    }

    /// Compares each process with the oracle and with other processes at the same position.
    fn check(&mut self) -> Result<(), String> {
        for process in &self.processes {
            let fold = &process.0;
            let at = usize::try_from(fold.next().0).expect("a small offset");
            let state = &self.states[at];
            if fold.tree().to_value() != tidy(&state.tree) {
                return Err(format!("another tree at {at}"));
            }
            if *fold.catalogue() != state.catalogue() {
                return Err(format!("another catalogue at {at}"));
            }
            for (id, verdict) in &state.judged {
                let outcome = fold.outcome(id).ok_or(format!("{id} forgotten at {at}"))?;
                if !agrees(&outcome, *verdict) {
                    return Err(format!("{id} at {at}: {outcome} but {verdict:?}"));
                }
            }
            let snapshot = fold.snapshot();
            let known = self.snapshots[at].get_or_insert_with(|| snapshot.clone());
            if *known != snapshot {
                return Err(format!("two processes differ at {at}"));
            }
        }
        Ok(())
    }
}

fn run(script: &Script, fault: Fault) -> Result<(), String> {
    let mut cluster = Cluster::new(fault);
    for act in &script.0 {
        let before: Vec<Offset> = cluster.processes.iter().map(|p| p.0.next()).collect();
        cluster.act(act);
        let restarted = matches!(act, Action::Restart(_));
        for (process, before) in cluster.processes.iter().zip(before) {
            if process.0.next() < before && !restarted {
                return Err(format!("went back from {before}"));
            }
        }
        cluster.check()?;
    }
    Ok(())
}

#[test]
fn all_processes_agree_with_the_oracle_and_nothing_reverts() {
    let property: fn(Script) -> Result<(), String> = |script| run(&script, Fault::None);
    property_test(0x5e77, 300, 60).quickcheck(property);
}

#[test]
fn injected_faults_are_detected() {
    fn assert_detected(property: fn(Script) -> Result<(), String>) {
        assert!(property_test(0x5e78, 300, 60).quicktest(property).is_err());
    }
    assert_detected(|script| run(&script, Fault::IgnoresBase));
    assert_detected(|script| run(&script, Fault::AppliesPartially));
    assert_detected(|script| run(&script, Fault::ForgetsIds));
    assert_detected(|script| run(&script, Fault::AdoptsOlderSnapshots));
    assert_detected(|script| run(&script, Fault::SkipsGaps));
}

#[test]
fn the_scripts_produce_each_outcome() {
    // If all changes were rejected for one reason, the fuzz test could not fail.
    let mut g = Gen::from_size_and_seed(60, 0x5e79);
    let mut seen = [0; 4];
    for _ in 0..200 {
        let mut cluster = Cluster::new(Fault::None);
        for act in &Script::arbitrary(&mut g).0 {
            cluster.act(act);
        }
        let mut fold = Fold::default();
        for (offset, body) in (0..).map(Offset).zip(&cluster.log) {
            match fold.apply(offset, 0, body) {
                Outcome::Accepted { .. } => seen[0] += 1,
                Outcome::Conflict { .. } => seen[1] += 1,
                Outcome::Invalid(_) => seen[2] += 1,
                Outcome::Duplicate { .. } => seen[3] += 1,
                _ => {}
            }
        }
    }
    assert!(seen.iter().all(|count| *count > 100), "{seen:?}");
}

/// Runs each change of a script as a dry run right before applying it.
fn compare_dry_runs(
    script: &Script,
    dry_run: fn(&mut Fold, &Change) -> Outcome,
) -> Result<(), String> {
    let mut cluster = Cluster::new(Fault::None);
    script.0.iter().for_each(|act| cluster.act(act));
    let mut fold = Fold::default();
    for (offset, body) in (0..).map(Offset).zip(&cluster.log) {
        if let Ok(change) = Change::decode(body) {
            let before = (fold.snapshot(), fold.catalogue());
            let predicted = dry_run(&mut fold, &change);
            if (fold.snapshot(), fold.catalogue()) != before {
                return Err(format!("the dry run at {offset} changed the state"));
            }
            let judged = fold.apply(offset, 0, body);
            if predicted != judged {
                return Err(format!("predicted {predicted}, judged {judged}"));
            }
        } else {
            fold.apply(offset, 0, body);
        }
    }
    Ok(())
}

#[test]
fn a_dry_run_predicts_the_outcome_and_changes_nothing() {
    let property: fn(Script) -> Result<(), String> =
        |script| compare_dry_runs(&script, Fold::dry_run);
    property_test(0x5e7a, 300, 60).quickcheck(property);
}

#[test]
fn a_dry_run_that_takes_effect_is_detected() {
    let broken: fn(Script) -> Result<(), String> = |script| {
        compare_dry_runs(&script, |fold, change| {
            let body = change.encode().expect("within bounds");
            fold.apply(fold.next(), 0, &body)
        })
    };
    assert!(property_test(0x5e7b, 300, 60).quicktest(broken).is_err());
}
