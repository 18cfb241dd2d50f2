use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sesamegap_policy::routing::silence::{Silences, Word};
use sesamegap_wire::{Moment, VmId};
use std::collections::HashMap;
use std::time::Duration;

const ENGINES: u64 = 140;
const DARK: u64 = 35;

fn at(ms: u64) -> Moment {
    Moment(0) + Duration::from_millis(ms)
}

fn vm(no: usize) -> VmId {
    format!("vm-{no}").parse().expect("a name")
}

fn word(seed: u64, avoided_ms: u32) -> Word {
    Word { seed, avoided_ms }
}

/// A VM, and how often and until when it avoids engines.
#[derive(Debug, Default)]
struct Vm {
    silences: Silences,
    avoided: HashMap<u64, (u32, Moment)>,
}

impl Vm {
    fn choose(&self, rng: &mut StdRng, now: Moment) -> u64 {
        loop {
            let seed = rng.random_range(0..ENGINES);
            let own = self.avoided.get(&seed);
            let avoided = own.is_some_and(|(_, until)| now < *until);
            if !avoided && !self.silences.is_silent(seed, now) {
                return seed;
            }
        }
    }

    fn meet_dark(&mut self, seed: u64, now: Moment) {
        let (failures, until) = self.avoided.entry(seed).or_insert((0, now));
        let alone = Duration::from_millis(600 << (*failures).min(3));
        *failures += 1;
        *until = now + self.silences.failed(seed, alone, now);
    }
}

/// Ten seconds of 500 requests a second over 84 VMs; how many meet a dark engine.
fn meet_dark(tells: bool) -> usize {
    let mut rng = StdRng::seed_from_u64(7);
    let mut vms: Vec<Vm> = Vec::new();
    vms.resize_with(84, Vm::default);
    let mut met = 0;
    for step in 0..5_000 {
        let now = at(2 * step);
        let no = rng.random_range(0..vms.len());
        let seed = vms[no].choose(&mut rng, now);
        if seed >= DARK {
            vms[no].silences.answered(seed, false, now);
        } else {
            met += 1;
            vms[no].meet_dark(seed, now);
        }
        let said = vms[no].silences.said();
        for (other, hearer) in vms.iter_mut().enumerate().filter(|_| tells) {
            if other != no {
                for word in &said {
                    hearer.silences.take(&vm(no), *word, now);
                }
            }
        }
    }
    met
}

/// A quarter of the engines goes dark. If every VM finds out for itself, one caller in five waits for a
/// connection that never opens.
#[test]
fn few_callers_meet_dark_engines_once_vms_tell_each_other() {
    let (alone, told) = (meet_dark(false), meet_dark(true));
    assert!(alone > 800, "{alone} of 5,000 alone");
    assert!(told * 4 < alone, "{told} told, {alone} alone");
}

/// One VM loses its way to all engines, not to its peers. If its word counted, no engine would be left
/// to anybody.
#[test]
fn a_vm_that_is_cut_off_itself_persuades_nobody() {
    let mut cut = Silences::default();
    let mut other = Silences::default();
    for seed in 0..5 {
        cut.answered(seed, false, at(0));
    }
    for seed in 0..ENGINES {
        let now = at(100 + seed);
        cut.failed(seed, Duration::from_millis(600), now);
        for word in cut.said() {
            other.take(&vm(1), word, now);
        }
    }
    assert!((0..ENGINES).all(|seed| !other.is_silent(seed, at(300))));
    let mut late = Silences::default();
    late.failed(3, Duration::from_millis(600), at(0));
    assert_eq!(late.said(), [], "nothing has answered it");
}

/// An engine comes back. It would stay idle for as long as it was last avoided.
#[test]
fn an_engine_that_answers_one_vm_is_open_to_all_again() {
    let mut silences = Silences::default();
    silences.take(&vm(1), word(9, 4_800), at(0));
    assert!(!silences.is_silent(9, at(1)), "one voice is not enough");
    silences.take(&vm(2), word(9, 4_800), at(2));
    assert!(silences.is_silent(9, at(3)));
    silences.take(&vm(1), word(9, 0), at(1_000));
    assert!(!silences.is_silent(9, at(1_001)));
}

/// An engine is silent to two VMs and answers a third. The third must not leave its answers there for
/// what the others say.
#[test]
fn what_a_vm_sees_itself_goes_before_the_words_of_others() {
    let mut silences = Silences::default();
    silences.take(&vm(1), word(9, 600), at(0));
    silences.take(&vm(2), word(9, 600), at(0));
    silences.answered(9, false, at(10));
    assert!(!silences.is_silent(9, at(11)));
    assert_eq!(silences.said(), [word(9, 0)], "and it says so");
}

#[test]
fn words_wear_off() {
    let mut silences = Silences::default();
    silences.take(&vm(1), word(9, 600), at(0));
    silences.take(&vm(2), word(9, 600), at(0));
    assert!(silences.is_silent(9, at(899)));
    assert!(!silences.is_silent(9, at(901)));
}
