//! Entries of other writers with extreme values among sound ones, and what is done with them after they are read.

use crate::support::{Platform, batch, entry, offset, settings, unused_addr, wait_until};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use sesamegap_entry::core::Core;
use sesamegap_entry::fleet::{Entry, Flight, PromptShape, Selection, SharedFleet};
use sesamegap_entry::follow::{FleetSnapshot, TableUpdate, apply_batch, apply_update};
use sesamegap_entry::peers;
use sesamegap_entry::placing::Terms;
use sesamegap_entry::ports::{EngineReport, Load, Record, Table, Unreadable, Weights};
use sesamegap_entry::settings::Settings;
use sesamegap_entry::telemetry::Logging;
use sesamegap_policy::agreement::membership::{MemberUpdate, Status};
use sesamegap_policy::routing::engines::{Prefix, Prompt};
use sesamegap_wire::{Incarnation, Moment, Offset, UpstreamId, WeightsVersion};
use std::net::SocketAddr;
use std::sync::{Arc, LazyLock};
use std::time::Duration;

const SERVICES: [&str; 2] = ["desk", "engines"];

const COUNTS: [u32; 6] = [0, 1, 6, u32::MAX / 2, u32::MAX - 1, u32::MAX];

const LONG_COUNTS: [u64; 6] = [0, 1, 700, u64::MAX / 2, u64::MAX - 1, u64::MAX];

const ADDRS: [&str; 6] = [
    "127.0.0.1:0",
    "0.0.0.0:80",
    "[::]:1",
    "255.255.255.255:65535",
    "224.0.0.1:9",
    "[fd00::7]:8080",
];

fn pick<T: Copy>(g: &mut Gen, values: &[T]) -> T {
    *g.choose(values).unwrap()
}

/// Something that happens in a process that reads the list.
#[derive(Debug, Clone)]
enum Step {
    Listed(u8, Box<Entry>),
    Removed(u8),
    Unreadable(u8),
    Report(u8, EngineReport),
    Load(Load),
    Choose(Choice),
    /// Ends the request that was begun first.
    End,
    Wait(u64),
}

/// A request that an upstream is chosen for.
#[derive(Debug, Clone)]
struct Choice {
    service: &'static str,
    tokens: u64,
    is_prompt: bool,
    is_admitted: bool,
    least_loaded: bool,
}

fn odd_entry(g: &mut Gen) -> Entry {
    let mut odd = entry(pick(g, &SERVICES), pick(g, &ADDRS).parse().unwrap());
    odd.slots = pick(g, &COUNTS);
    odd.leaving = u8::arbitrary(g).is_multiple_of(8);
    odd.beat = pick(g, &LONG_COUNTS);
    odd.born = bool::arbitrary(g).then(|| Incarnation(pick(g, &LONG_COUNTS)));
    odd.software = pick(g, &["", "v1", "v2", "\0\u{1b}[31m\n"])
        .parse()
        .unwrap();
    odd.weights = odd_weights(g);
    odd
}

fn odd_weights(g: &mut Gen) -> Vec<Weights> {
    let held = 0..u8::arbitrary(g) % 4;
    let held = held.map(|_| Weights {
        model: pick(g, &["m", "", "other"]).into(),
        version: WeightsVersion(pick(g, &COUNTS)),
    });
    held.collect()
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let id = u8::arbitrary(g) % 4;
        match u8::arbitrary(g) % 12 {
            0..4 => Self::Listed(id, Box::new(odd_entry(g))),
            4 => Self::Removed(id),
            5 => Self::Unreadable(id),
            6 => Self::Report(
                id,
                EngineReport {
                    weights: odd_weights(g),
                    busy: bool::arbitrary(g),
                    orders: pick(g, &LONG_COUNTS),
                    born: bool::arbitrary(g).then(|| Incarnation(pick(g, &LONG_COUNTS))),
                },
            ),
            7 => Self::Load(Load {
                running: pick(g, &COUNTS),
                waiting: pick(g, &COUNTS),
                slots: pick(g, &COUNTS),
                work: None,
            }),
            8..10 => Self::Choose(Choice {
                service: pick(g, &SERVICES),
                tokens: pick(g, &LONG_COUNTS),
                is_prompt: bool::arbitrary(g),
                is_admitted: bool::arbitrary(g),
                least_loaded: bool::arbitrary(g),
            }),
            10 => Self::End,
            _ => Self::Wait(u64::arbitrary(g) % 90_000),
        }
    }
}

fn odd_id(no: u8) -> UpstreamId {
    format!("odd-{no}").parse().unwrap()
}

fn sound_ids() -> [UpstreamId; 2] {
    SERVICES.map(|service| format!("sound-{service}").parse().unwrap())
}

/// A process that listens nowhere; all share their addresses, as there are more processes than ports.
fn core(name: &str) -> Arc<Core> {
    static SETTINGS: LazyLock<Settings> = LazyLock::new(|| settings("vm-1", Vec::new()));
    let settings = Settings {
        vm: name.parse().unwrap(),
        ..SETTINGS.clone()
    };
    let ports = Arc::new(Platform::default()).ports();
    Arc::new(Core::new(settings, ports, Logging::disabled()).unwrap())
}

/// A process that reads the list, one that hears of it, and the requests under way.
struct World {
    reader: Arc<Core>,
    hearer: Arc<Core>,
    flights: Vec<Flight>,
    end: u64,
    now: Moment,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            reader: core("vm-1"),
            hearer: core("vm-2"),
            flights: Vec::new(),
            end: 0,
            now: sesamegap_entry::clock::now(),
        };
        for core in [&world.reader, &world.hearer] {
            let list = core.table_progress(Table::Fleet);
            list.position().record_read(offset(0), world.now);
        }
        for (id, service) in sound_ids().into_iter().zip(SERVICES) {
            let sound = entry(service, "127.0.0.1:9".parse().unwrap());
            world.read(Record::Upstream(id, Box::new(sound)));
        }
        world
    }

    /// Reads a record, and sends what was read to the other process.
    fn read(&mut self, record: Record) {
        let records = batch(self.end, vec![record]);
        let update = apply_batch(&self.reader, Table::Fleet, offset(self.end), records);
        self.end += 1;
        let sent = rmp_serde::to_vec(&update).unwrap();
        let update: TableUpdate = rmp_serde::from_slice(&sent).unwrap();
        apply_update(&self.hearer, update);
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Listed(no, entry) => self.read(Record::Upstream(odd_id(no), entry)),
            Step::Removed(no) => self.read(Record::Removed(odd_id(no))),
            Step::Unreadable(no) => {
                let id = odd_id(no);
                let found =
                    Unreadable::new(Table::Fleet, Offset(self.end), id.as_str(), &"no entry");
                self.read(Record::Unreadable(found));
            }
            Step::Report(no, report) => {
                let mut fleet = self.reader.fleet.lock();
                fleet.apply_report(&odd_id(no), &report);
            }
            Step::Load(load) => {
                if let Some(flight) = self.flights.last() {
                    flight.record_load(load, self.now);
                }
            }
            Step::Choose(choice) => {
                let begun = choose(&self.reader.fleet, &choice, &[], self.now);
                self.flights.extend(begun);
            }
            Step::End => drop(self.flights.drain(..self.flights.len().min(1))),
            Step::Wait(ms) => self.now = self.now + Duration::from_millis(ms),
        }
        let window = Duration::from_secs(20);
        for core in [&self.reader, &self.hearer] {
            let mut fleet = core.fleet.lock();
            fleet.expire(self.now);
            let services = SERVICES.map(|service| service.parse().unwrap());
            fleet.testimony(&services, &[], window, self.now);
            drop(fleet.held_loads());
        }
    }

    /// Whether both processes send requests to the sound upstreams, and a copy of the list has them.
    fn serves(&self) -> bool {
        let tried: Vec<UpstreamId> = (0..4).map(odd_id).collect();
        let served = SERVICES.into_iter().zip(sound_ids()).all(|(service, id)| {
            let choice = Choice {
                service,
                tokens: 100,
                is_prompt: service == "engines",
                is_admitted: false,
                least_loaded: false,
            };
            [&self.reader, &self.hearer].into_iter().all(|core| {
                let flight = choose(&core.fleet, &choice, &tried, self.now);
                flight.is_some_and(|flight| flight.id == id)
            })
        });
        let copy = FleetSnapshot::of(&self.reader.fleet.lock(), offset(self.end));
        let sent = rmp_serde::to_vec(&copy).unwrap();
        let copy: FleetSnapshot = rmp_serde::from_slice(&sent).unwrap();
        let records = copy.into_batch().unwrap().records;
        let has = |sound: &UpstreamId| {
            let mut records = records.iter();
            records.any(|(_, record)| matches!(record, Record::Upstream(id, _) if id == sound))
        };
        served && sound_ids().iter().all(has)
    }
}

fn choose(
    fleet: &SharedFleet,
    choice: &Choice,
    tried: &[UpstreamId],
    now: Moment,
) -> Option<Flight> {
    let prefix = Prefix {
        hash: 7,
        tokens: choice.tokens / 2,
    };
    let shape = PromptShape {
        model: "m".into(),
        prompt: Prompt {
            prefixes: vec![prefix],
            tokens: choice.tokens,
        },
    };
    let terms = Terms {
        key: choice.tokens,
        priority: 3,
        objective_ms: 800,
        urgent_ms: choice.least_loaded.then_some(400),
        waited_ms: 0,
        team: None,
    };
    let selection = Selection {
        service: &choice.service.parse().unwrap(),
        domain: &"hall-a".parse().unwrap(),
        stores: &[],
        shape: choice.is_prompt.then_some(&shape),
        tried,
        tie_breaker: 0,
        shard: None,
        least_loaded: choice.least_loaded,
        software: None,
        terms: choice.is_admitted.then_some(&terms),
        left: Duration::from_secs(5),
        alone: false,
    };
    fleet.choose(&selection, now).ok()
}

fn cases() -> u64 {
    let cases = std::env::var("SESAMEGAP_CASES").ok();
    cases.and_then(|text| text.parse().ok()).unwrap_or(300)
}

/// Entries, loads and reports with the largest and smallest values of their types: sums of these must not end a task
/// of the process, and the sound upstreams must stay in use at each VM.
#[test]
fn extreme_entries_keep_no_request_from_a_sound_upstream() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut world = World::new();
        steps.into_iter().all(|step| {
            world.play(step);
            world.serves()
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 41))
        .tests(cases())
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

/// An unreadable record of the settings whose key is an upstream's id says nothing of the upstream: peers that hear of
/// the reading must not lose it.
#[test]
fn an_unreadable_setting_removes_no_upstream() {
    let world = World::new();
    let [sound, _] = sound_ids();
    let found = Unreadable::new(Table::Settings, Offset(9), sound.as_str(), &"no setting");
    let records = batch(9, vec![Record::Unreadable(found)]);
    let update = apply_batch(&world.reader, Table::Settings, offset(9), records);
    apply_update(&world.hearer, update);
    for core in [&world.reader, &world.hearer] {
        assert!(core.fleet.lock().get(&sound).is_some());
    }
}

/// An odd record with each heartbeat, under a key that is no upstream's id: every peer would ask for what it missed,
/// though there is nothing to know.
#[test]
fn an_unreadable_record_without_an_id_leaves_nothing_to_ask_for() {
    let world = World::new();
    for (table, key) in [
        (Table::Fleet, "two words"),
        (Table::Fleet, ""),
        (Table::Settings, "config"),
    ] {
        let found = Unreadable::new(table, Offset(2), key, &"no entry");
        let records = batch(2, vec![Record::Unreadable(found)]);
        let update = apply_batch(&world.reader, table, offset(2), records);
        assert!(update.whole && update.pieces.is_empty(), "{update:?}");
    }
}

/// A VM that runs only the exchange of datagrams.
fn datagram_vm(name: &str, ip: &str, port: u16) -> Arc<Core> {
    let mut settings = settings(name, Vec::new());
    settings.listen.loads = SocketAddr::new(ip.parse().unwrap(), port);
    settings.listen.peers = settings.listen.loads;
    let ports = Arc::new(Platform::default()).ports();
    let core = Arc::new(Core::new(settings, ports, Logging::disabled()).unwrap());
    core.table_progress(Table::Fleet)
        .position()
        .record_read(offset(0), sesamegap_entry::clock::now());
    tokio::spawn(peers::run_datagrams(Arc::clone(&core)));
    core
}

/// Entries with the longest names that are valid, and one that no datagram has room for: the others are relayed, and a
/// peer knows that it lacks one.
#[tokio::test]
async fn long_entries_are_relayed_and_hold_back_no_other() {
    let port = unused_addr().port();
    let reader = datagram_vm("vm-1", "127.0.0.1", port);
    let hearer = datagram_vm("vm-2", "127.0.0.2", port);
    reader.peers.apply_update(
        &MemberUpdate {
            who: hearer.peers.local_process().clone(),
            addr: hearer.settings().listen.peers,
            version: 0,
            status: Status::Alive,
        },
        sesamegap_entry::clock::now(),
    );
    let long = "n".repeat(62);
    let listed = |no: usize, models: usize| {
        let mut listed = entry("engines", "127.0.0.1:9".parse().unwrap());
        listed.service = long.parse().unwrap();
        listed.domain = long.parse().unwrap();
        listed.software = long.parse().unwrap();
        let held = (0..models).map(|model| Weights {
            model: format!("{model}{long}").into(),
            version: WeightsVersion(u32::MAX),
        });
        listed.weights = held.collect();
        let id: UpstreamId = format!("{no:02}{long}").parse().unwrap();
        (id, listed)
    };
    let all: Vec<_> = (0..20)
        .map(|no| listed(no, if no == 7 { 60 } else { 2 }))
        .collect();
    let records = all.iter().cloned();
    let records = records.map(|(id, entry)| Record::Upstream(id, Box::new(entry)));
    let read = apply_batch(
        &reader,
        Table::Fleet,
        offset(0),
        batch(0, records.collect()),
    );
    reader.peers.outbox.put_reading(read);
    wait_until(|| {
        let fleet = hearer.fleet.lock();
        let known = all.iter().filter(|(id, _)| fleet.get(id).is_some());
        known.count() >= 19
    })
    .await;
    assert!(hearer.fleet.lock().get(&all[7].0).is_none());
    assert!(hearer.table_progress(Table::Fleet).position().has_missed());
}
