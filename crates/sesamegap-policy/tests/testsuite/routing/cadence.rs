//! Changes of the fleet list on their way to all VMs, in virtual time.

use crate::support::offset;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use sesamegap_policy::routing::cadence::{Cadence, DELIVERY};
use sesamegap_policy::routing::dissemination::{Path, pace};
use sesamegap_policy::routing::reading::{Position, READERS, Reading, Span, UpdateOutcome};
use sesamegap_wire::Moment;
use std::time::Duration;

/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(5);

/// Time for a request of a VM to a peer and back, on a thin link.
const EXCHANGE: Duration = Duration::from_millis(60);

/// Time after which a request to a dead peer fails.
const TIMEOUT: Duration = Duration::from_millis(350);

/// Peers that are asked in one round.
const ASKED: u32 = 3;

/// Time after which the next peer is asked too.
const HEDGE: Duration = Duration::from_millis(100);

/// Changes in one datagram.
const CHANGES: u64 = 8;

/// What happens to the readings of a fleet.
#[derive(Debug, Clone, Copy, Default)]
struct Trouble {
    /// Share of single datagrams that are lost.
    loss: f64,
    /// Share of readings of which a VM gets the first part only.
    lost_tails: f64,
    /// Readers that are dead, and not known to be.
    dead_readers: usize,
    /// Share of all VMs that are dead, so that requests to them fail.
    dead_peers: f64,
}

/// A VM that does not read the list, while readers do.
struct Hearer {
    position: Position,
    held: Vec<(Span, Reading)>,
    /// When the answer to its request arrives, and whether it brings the changes.
    asked: Option<(Moment, bool)>,
}

fn at(ms: u64) -> Moment {
    Moment(0) + Duration::from_millis(ms)
}

impl Hearer {
    fn receive(&mut self, span: Span, reading: Reading, now: Moment) {
        if self.position.apply_part(span, true, reading, now) == UpdateOutcome::Missed {
            self.held.push((span, reading));
        }
        while let Some(next) = self.position.next()
            && let Some(found) = self.held.iter().position(|(span, _)| span.from <= next)
        {
            let (span, reading) = self.held.swap_remove(found);
            self.position.apply_part(span, true, reading, now);
        }
    }

    /// Asks peers once something is missing, or no reading came for long.
    fn ask(&mut self, cadence: Cadence, trouble: Trouble, now: Moment, rng: &mut dyn Rng) {
        let is_silent = self.position.time_left(cadence.ask_after(), now).is_zero();
        let is_waiting = !self.position.rest_due(now).is_zero();
        if self.asked.is_some() || !is_silent || is_waiting {
            return;
        }
        let alive = (0..ASKED).find(|_| !rng.random_bool(trouble.dead_peers));
        let answered = alive.is_some();
        let took = alive.map_or(TIMEOUT + HEDGE * (ASKED - 1), |no| HEDGE * no + EXCHANGE);
        self.asked = Some((now + took, answered));
    }
}

/// Changes until a time.
fn changes_at(time: Duration, per_minute: u128) -> u64 {
    u64::try_from(time.as_millis() * per_minute / 60_000).unwrap_or(u64::MAX)
}

/// The longest time from the acknowledgement of a change until a VM has it, over a minute in which upstreams change at a
/// rate.
fn longest_delay(drain: Duration, per_minute: u128, trouble: Trouble, seed: u64) -> Duration {
    let mut rng = StdRng::seed_from_u64(seed);
    let cadence = Cadence::new(drain, READERS);
    let mut hearer = Hearer {
        position: Position::default(),
        held: Vec::new(),
        asked: None,
    };
    hearer.position.record_read(offset(0), at(0));
    let mut on_way: Vec<(Moment, Span, Reading)> = Vec::new();
    let mut published = 0;
    let mut due: Vec<Moment> = Vec::new();
    let mut longest = Duration::ZERO;
    let mut last_call = 0;
    for step in 1..12_000_u32 {
        let time = STEP * step;
        let now = Moment(0) + time;
        let end = changes_at(time, per_minute);
        due.extend((due.len() as u64..end).map(|_| now));
        let turn = time.as_millis() / cadence.slot().as_millis();
        if turn != last_call {
            last_call = turn;
            let is_dead = (turn as usize % READERS) < trouble.dead_readers;
            if !is_dead {
                let reading = Reading {
                    end: offset(end),
                    at: now,
                };
                let is_cut = rng.random_bool(trouble.lost_tails);
                let mut from = published;
                loop {
                    let next = end.min(from + CHANGES);
                    let span = Span {
                        from: offset(from),
                        next: offset(next),
                    };
                    let is_lost = rng.random_bool(trouble.loss) || (is_cut && from > published);
                    if !is_lost {
                        let way = DELIVERY.mul_f64(rng.random_range(0.2..1.0));
                        on_way.push((now + way, span, reading));
                    }
                    from = next;
                    if from == end {
                        break;
                    }
                }
                published = end;
            }
        }
        let arrived: Vec<_> = on_way.extract_if(.., |(when, ..)| *when <= now).collect();
        for (_, span, reading) in arrived {
            hearer.receive(span, reading, now);
        }
        if let Some((when, answered)) = hearer.asked
            && when <= now
        {
            hearer.asked = None;
            if answered {
                let span = Span {
                    from: hearer.position.next().unwrap_or_default(),
                    next: offset(published),
                };
                hearer.receive(
                    span,
                    Reading {
                        end: offset(published),
                        at: now.saturating_sub(EXCHANGE),
                    },
                    now,
                );
            }
        }
        hearer.ask(cadence, trouble, now, &mut rng);
        let known = hearer.position.next().unwrap_or_default().offset.0;
        if let Some(oldest) = due.get(usize::try_from(known).unwrap_or(usize::MAX)) {
            longest = longest.max(now.since(*oldest));
        }
    }
    longest
}

/// Guards against requests to upstreams that announced that they leave, on VMs that lost the end of a reading, whole
/// readings, or a request for what they lack, while readers and peers are dead.
#[test]
fn changes_reach_every_vm_within_the_drain_bound_whatever_is_lost() {
    // Time for a request that is on its way to the upstream.
    let room = Duration::from_millis(200);
    let troubles = [
        Trouble::default(),
        Trouble {
            loss: 0.05,
            ..Trouble::default()
        },
        Trouble {
            lost_tails: 0.5,
            ..Trouble::default()
        },
        Trouble {
            loss: 0.2,
            lost_tails: 0.3,
            ..Trouble::default()
        },
        Trouble {
            loss: 0.05,
            lost_tails: 0.3,
            dead_readers: 3,
            dead_peers: 0.4,
        },
    ];
    for drain in [2_000, 3_000, 4_000, 5_000].map(Duration::from_millis) {
        for per_minute in [30, 600, 3_600, 24_000] {
            for (no, trouble) in troubles.into_iter().enumerate() {
                for seed in 0..3 {
                    let longest = longest_delay(drain, per_minute, trouble, seed);
                    assert!(
                        longest + room <= drain,
                        "{longest:?} of {drain:?}, {per_minute} changes a minute, trouble {no}, seed {seed}"
                    );
                }
            }
        }
    }
}

/// Guards against readers that all read at the same moment: a change is then as old as the interval before any of them
/// reads it, and a reading that is lost is followed by none.
#[test]
fn readers_take_turns() {
    let cadence = Cadence::new(Duration::from_secs(3), READERS);
    let mut calls: Vec<u64> = (0..READERS)
        .map(|rank| {
            let until = cadence.until_call(rank, 1_771_282_825_123);
            u64::try_from(until.as_millis()).unwrap_or(u64::MAX)
        })
        .collect();
    calls.sort_unstable();
    let slot = u64::try_from(cadence.slot().as_millis()).unwrap_or(u64::MAX);
    for pair in calls.windows(2) {
        assert!(pair[1] - pair[0] <= slot + 1, "{calls:?}");
        assert!(pair[1] - pair[0] + 1 >= slot, "{calls:?}");
    }
    // Each reader's own calls keep the interval, also after its clock was set.
    for (rank, unix_ms) in [(0, 7), (3, 999), (7, 1_950)] {
        assert!(cadence.until_call(rank, unix_ms) <= cadence.interval());
    }
    let next = cadence.until_call(2, 10_000);
    let now = 10_000 + u64::try_from(next.as_millis()).unwrap_or(u64::MAX);
    assert_eq!(cadence.until_call(2, now), cadence.interval());
}

/// Guards against a reader whose link drops the end of its reading because half of the upstreams changed at once.
#[test]
fn a_long_reading_does_not_fill_the_senders_link() {
    // VMs, upstreams, and the link of a small VM in Mbit/s.
    for (vms, upstreams, link_mbps) in [(7, 12, 1_000.0), (84, 143, 10.0), (985, 9_997, 20.0)] {
        let datagrams = (upstreams / 2_usize).div_ceil(8);
        let bytes = datagrams * 1_250;
        let peers = vms - 1;
        let copies = match Path::choose(peers, bytes, link_mbps) {
            Path::Direct => peers,
            Path::Relays => peers.isqrt() + 1,
            Path::Delegates => 1,
        };
        let busy = Duration::from_secs_f64((copies * bytes) as f64 * 8.0 / (link_mbps * 1e6));
        let paced = pace(copies * bytes, link_mbps);
        assert!(busy <= Duration::from_millis(400), "{vms} VMs: {busy:?}");
        assert!(paced <= Duration::from_millis(800), "{vms} VMs: {paced:?}");
    }
}
