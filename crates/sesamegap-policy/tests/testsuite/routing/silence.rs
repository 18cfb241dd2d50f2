use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sesamegap_policy::routing::silence::{SilenceReport, SilenceReports};
use sesamegap_wire::{Moment, VmId};
use std::collections::HashMap;
use std::time::Duration;

const ENGINES: u64 = 140;
const UNRESPONSIVE: u64 = 35;

fn at(ms: u64) -> Moment {
    Moment(0) + Duration::from_millis(ms)
}

fn vm(no: usize) -> VmId {
    format!("vm-{no}").parse().expect("a name")
}

fn report(seed: u64, avoided_ms: u32) -> SilenceReport {
    SilenceReport { seed, avoided_ms }
}

/// A VM with the number of failures and the end of the avoidance for each engine.
#[derive(Debug, Default)]
struct Vm {
    silence_reports: SilenceReports,
    avoided: HashMap<u64, (u32, Moment)>,
}

impl Vm {
    fn choose(&self, rng: &mut StdRng, now: Moment) -> u64 {
        loop {
            let seed = rng.random_range(0..ENGINES);
            let own = self.avoided.get(&seed);
            let avoided = own.is_some_and(|(_, until)| now < *until);
            if !avoided && !self.silence_reports.is_silent(seed, now) {
                return seed;
            }
        }
    }

    fn record_failure(&mut self, seed: u64, now: Moment) {
        let (failures, until) = self.avoided.entry(seed).or_insert((0, now));
        let alone = Duration::from_millis(600 << (*failures).min(3));
        *failures += 1;
        *until = now + self.silence_reports.failed(seed, alone, now);
    }
}

/// Simulates ten seconds of 500 requests a second over 84 VMs; returns how many attempts hit an unresponsive engine.
fn requests_to_unresponsive(share_reports: bool) -> usize {
    let mut rng = StdRng::seed_from_u64(7);
    let mut vms: Vec<Vm> = Vec::new();
    vms.resize_with(84, Vm::default);
    let mut hits = 0;
    for step in 0..5_000 {
        let now = at(2 * step);
        let no = rng.random_range(0..vms.len());
        // A request whose connection failed is sent to another engine at once.
        loop {
            let seed = vms[no].choose(&mut rng, now);
            if seed >= UNRESPONSIVE {
                vms[no].silence_reports.connected(now);
                vms[no].silence_reports.answered(seed, false, now);
                break;
            }
            hits += 1;
            vms[no].record_failure(seed, now);
        }
        let reports = vms[no].silence_reports.take_outgoing();
        for (other, receiver) in vms.iter_mut().enumerate().filter(|_| share_reports) {
            if other != no {
                for report in &reports {
                    receiver.silence_reports.apply(&vm(no), *report, now);
                }
            }
        }
    }
    hits
}

/// When a quarter of the engines stops responding and every VM detects this itself, one caller in five waits for a
/// connection that never opens.
#[test]
fn sharing_reports_keeps_most_callers_from_unresponsive_engines() {
    let (alone, shared) = (
        requests_to_unresponsive(false),
        requests_to_unresponsive(true),
    );
    assert!(alone > 800, "{alone} of 5,000 alone");
    assert!(shared * 4 < alone, "{shared} shared, {alone} alone");
}

/// A VM loses its connection to all engines, but not to its peers. If its reports counted, no VM would have an engine
/// left.
#[test]
fn reports_of_a_vm_that_is_cut_off_have_no_effect() {
    let mut cut = SilenceReports::default();
    let mut other = SilenceReports::default();
    for seed in 0..5 {
        cut.answered(seed, false, at(0));
    }
    for seed in 0..ENGINES {
        let now = at(100 + seed);
        cut.failed(seed, Duration::from_millis(600), now);
        for report in cut.take_outgoing() {
            other.apply(&vm(1), report, now);
        }
    }
    assert!((0..ENGINES).all(|seed| !other.is_silent(seed, at(300))));
    let mut late = SilenceReports::default();
    late.failed(3, Duration::from_millis(600), at(0));
    assert_eq!(late.take_outgoing(), [], "nothing has answered it");
}

/// Several VMs lose their links at the same moment, right after upstreams answered them. Together they are enough for a
/// report to count, before any of them notices.
#[test]
fn failures_are_reported_only_once_another_connection_is_accepted() {
    let mut cut = SilenceReports::default();
    for seed in 0..5 {
        cut.connected(at(0));
        cut.answered(seed, false, at(0));
    }
    cut.failed(3, Duration::from_millis(600), at(100));
    assert_eq!(cut.take_outgoing(), []);
    cut.connected(at(300));
    assert_eq!(
        cut.take_outgoing(),
        [report(3, 400)],
        "what is left of the avoidance"
    );
    cut.failed(4, Duration::from_millis(600), at(400));
    cut.discard_unconfirmed();
    cut.connected(at(450));
    assert_eq!(cut.take_outgoing(), [], "the failure was this VM's own");
}

/// Guards against an engine that responds again but stays idle for the rest of the avoidance.
#[test]
fn an_engine_that_answers_one_vm_is_available_to_all_again() {
    let mut silence_reports = SilenceReports::default();
    silence_reports.apply(&vm(1), report(9, 4_800), at(0));
    assert!(
        !silence_reports.is_silent(9, at(1)),
        "one report is not enough"
    );
    silence_reports.apply(&vm(2), report(9, 4_800), at(2));
    assert!(silence_reports.is_silent(9, at(3)));
    silence_reports.apply(&vm(1), report(9, 0), at(1_000));
    assert!(!silence_reports.is_silent(9, at(1_001)));
}

/// An engine does not answer two VMs but answers a third, which must keep using it despite the others' reports.
#[test]
fn own_observations_take_precedence_over_reports() {
    let mut silence_reports = SilenceReports::default();
    silence_reports.apply(&vm(1), report(9, 600), at(0));
    silence_reports.apply(&vm(2), report(9, 600), at(0));
    silence_reports.answered(9, false, at(10));
    assert!(!silence_reports.is_silent(9, at(11)));
    assert_eq!(
        silence_reports.take_outgoing(),
        [report(9, 0)],
        "it reports the recovery"
    );
}

#[test]
fn reports_expire() {
    let mut silence_reports = SilenceReports::default();
    silence_reports.apply(&vm(1), report(9, 600), at(0));
    silence_reports.apply(&vm(2), report(9, 600), at(0));
    assert!(silence_reports.is_silent(9, at(899)));
    assert!(!silence_reports.is_silent(9, at(901)));
}
