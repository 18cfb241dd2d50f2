//! Which upstreams are avoided on the word of other entry VMs.
//!
//! Load: a quarter of 140 engines goes dark, and each of 84 VMs meets each of them seldom. Harm
//! prevented: every VM finds out for itself, at the cost of one caller's wait each time it tries; with
//! six prompts a second and 35 dark engines, nearly every prompt met one or more of them. So a VM
//! that got no connection tells the others.
//!
//! A VM that is itself cut off finds all upstreams silent, and an upstream may be silent to it alone.
//! So a word needs a second VM's to count, and a VM speaks only while most others answer it.

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use sesamegap_wire::{Moment, VmId};
use std::collections::VecDeque;
use std::time::Duration;

/// VMs whose words make an upstream suspect.
const VOICES: usize = 2;

/// Span over which own tries are compared: some ten of them.
const RECENT: Duration = Duration::from_secs(2);

/// How much longer the others avoid an upstream than the VM that tries it next, in percent: so that one
/// of them tries it first, and not all at once.
const LONGER: u32 = 150;

/// Longest time that an upstream is avoided for what others found: it must not stay idle for much
/// longer than it was silent.
const MOST: Duration = Duration::from_millis(2_400);

/// How long it counts that others avoided an upstream: until one of them has tried it again.
const MEMORY: Duration = Duration::from_secs(6);

/// What a VM says of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// The upstream's number, the same in all VMs.
    pub seed: u64,
    /// Milliseconds for which the VM avoids it; zero once it answers again.
    pub avoided_ms: u32,
}

/// What VMs say of silent upstreams.
#[derive(Debug, Default)]
pub struct Silences {
    heard: FxHashMap<u64, Vec<(VmId, Moment)>>,
    /// How long others last avoided an upstream, and until when that says something.
    avoided: FxHashMap<u64, (Duration, Moment)>,
    tries: VecDeque<(Moment, bool)>,
    said: Vec<Word>,
}

impl Silences {
    /// Notes that an upstream did not answer this VM, which would avoid it for a while; for how long
    /// it should.
    pub fn failed(&mut self, seed: u64, avoided: Duration, now: Moment) -> Duration {
        self.tried(false, now);
        let before = self.avoided.get(&seed).filter(|(_, until)| now < *until);
        // It tried for all, so what the others found before it counts as its own.
        let shared = before.map_or(Duration::ZERO, |(before, _)| (*before * 2).min(MOST));
        let avoided = avoided.max(shared);
        if self.may_tell() {
            self.said.push(Word {
                seed,
                avoided_ms: u32::try_from(avoided.as_millis()).unwrap_or(u32::MAX),
            });
            self.avoided.insert(seed, (avoided, now + MEMORY));
        }
        avoided
    }

    /// Notes that an upstream answered this VM, which avoided it before or not.
    ///
    /// What others said of it until now no longer counts here.
    pub fn answered(&mut self, seed: u64, avoided: bool, now: Moment) {
        self.tried(true, now);
        let told = self.heard.remove(&seed).is_some();
        self.avoided.remove(&seed);
        if avoided || told {
            self.said.push(Word {
                seed,
                avoided_ms: 0,
            });
        }
    }

    /// What is to be told to the others.
    pub fn said(&mut self) -> Vec<Word> {
        std::mem::take(&mut self.said)
    }

    /// Takes a VM's word, in place of its former one on the same upstream.
    pub fn take(&mut self, vm: &VmId, word: Word, now: Moment) {
        let words = self.heard.entry(word.seed).or_default();
        words.retain(|(other, until)| other != vm && now < *until);
        if word.avoided_ms > 0 {
            let avoided = Duration::from_millis(u64::from(word.avoided_ms));
            words.push((vm.clone(), now + avoided * LONGER / 100));
            self.avoided.retain(|_, (_, until)| now < *until);
            self.avoided.insert(word.seed, (avoided, now + MEMORY));
        } else {
            self.avoided.remove(&word.seed);
        }
        if words.is_empty() {
            self.heard.remove(&word.seed);
        }
    }

    /// Whether enough VMs find an upstream silent.
    pub fn is_silent(&self, seed: u64, now: Moment) -> bool {
        let words = self.heard.get(&seed);
        words.is_some_and(|words| words.iter().filter(|(_, until)| now < *until).count() >= VOICES)
    }

    fn tried(&mut self, reached: bool, now: Moment) {
        self.tries.retain(|(at, _)| now.since(*at) < RECENT);
        self.tries.push_back((now, reached));
    }

    /// Whether a failure says something about the upstream and not about this VM.
    fn may_tell(&self) -> bool {
        let reached = self.tries.iter().filter(|(_, reached)| *reached).count();
        reached > 0 && reached * 2 >= self.tries.len()
    }
}
