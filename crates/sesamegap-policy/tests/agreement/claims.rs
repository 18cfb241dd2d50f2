//! At most one run for a caller's key, whatever is lost, late, paused or restarted.

use crate::support::{FakeLog, Pick, check, finds_fault, holder};
use quickcheck::{Arbitrary, Gen};
use sesamegap_policy::agreement::claims::{
    Appended, ClaimId, ClaimKey, ClaimOutcome, ClaimRecord, Claimant, Claims, KeyAge, KeyState,
    KeyValidity, Step,
};
use sesamegap_wire::{Moment, Offset};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

const RETENTION: u64 = 60_000;
const SKEW: Duration = Duration::from_secs(1);
const PATIENCE: Duration = Duration::from_secs(3);
const ROUTERS: usize = 3;
const KEYS: usize = 2;

#[derive(Debug, Clone)]
enum Op {
    /// A caller brings a key to a router.
    Ask { router: Pick, key: Pick },
    /// One attempt takes its next step; an append it asks for ends so.
    Move { attempt: Pick, fate: Fate },
    /// An append that was on its way arrives at the log after all.
    Arrive(Pick),
    /// A router reads some records.
    Read { router: Pick, count: Pick },
    /// A router dies and comes back, knowing nothing.
    Restart(Pick),
    /// Time passes, in seconds.
    Pass(Pick),
}

#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    AnswerLost,
    Failed,
    Delayed,
}

impl Arbitrary for Fate {
    fn arbitrary(g: &mut Gen) -> Self {
        let all = [
            Self::Answered,
            Self::Answered,
            Self::AnswerLost,
            Self::Failed,
            Self::Delayed,
        ];
        *g.choose(&all).expect("not empty")
    }
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let a = Pick::arbitrary(g);
        let b = Pick::arbitrary(g);
        match Pick::arbitrary(g).below(12) {
            0 | 1 => Self::Ask { router: a, key: b },
            2..=6 => Self::Move {
                attempt: a,
                fate: Fate::arbitrary(g),
            },
            7 => Self::Arrive(a),
            8 | 9 => Self::Read {
                router: a,
                count: b,
            },
            10 => Self::Restart(a),
            _ => Self::Pass(a),
        }
    }
}

/// The part of the fold that an attempt relies on; broken ones stand in for it below.
trait Fold: Default {
    fn claims(&self) -> &Claims;
    fn take(&mut self, offset: Offset, time: u64, record: &ClaimRecord);
    fn skip(&mut self, oldest: Offset);
}

struct Right(Claims);

impl Default for Right {
    fn default() -> Self {
        Self(Claims::new(Duration::from_millis(RETENTION)))
    }
}

impl Fold for Right {
    fn claims(&self) -> &Claims {
        &self.0
    }

    fn take(&mut self, offset: Offset, time: u64, record: &ClaimRecord) {
        self.0.apply(offset, time, Some(record));
    }

    fn skip(&mut self, oldest: Offset) {
        self.0.skip(oldest);
    }
}

/// Broken on purpose: a claim that is older than five seconds is taken over by the next.
#[derive(Default)]
struct TakesOver {
    right: Right,
    since: HashMap<ClaimKey, (u64, ClaimId)>,
}

impl Fold for TakesOver {
    fn claims(&self) -> &Claims {
        self.right.claims()
    }

    fn take(&mut self, offset: Offset, time: u64, record: &ClaimRecord) {
        if let ClaimRecord::Claim { key, claim, .. } = record {
            let old = self.since.get(key).copied();
            if let Some((since, former)) = old.filter(|(since, _)| since + 5_000 < time) {
                let release = ClaimRecord::Release {
                    key: key.clone(),
                    claim: former,
                };
                let _ = since;
                let mut fresh = Right::default();
                fresh.take(Offset(offset.0.saturating_sub(1)), time, &release);
                fresh.take(offset, time, record);
                self.right = fresh;
                self.since.insert(key.clone(), (time, *claim));
                return;
            }
            self.since.entry(key.clone()).or_insert((time, *claim));
        }
        self.right.take(offset, time, record);
    }

    fn skip(&mut self, oldest: Offset) {
        self.right.skip(oldest);
    }
}

struct Attempt {
    router: usize,
    key: ClaimKey,
    machine: Claimant,
}

#[derive(Default)]
struct Router<F> {
    life: u64,
    fold: F,
}

struct World<F> {
    log: FakeLog<ClaimRecord>,
    routers: Vec<Router<F>>,
    attempts: Vec<Attempt>,
    flying: Vec<ClaimRecord>,
    runs: HashMap<ClaimKey, u32>,
    given_up: HashSet<ClaimId>,
    ran: HashSet<ClaimId>,
    minted: u128,
}

impl<F: Fold> World<F> {
    fn new() -> Self {
        Self {
            log: FakeLog::new(RETENTION),
            routers: (0..ROUTERS).map(|_| Router::default()).collect(),
            attempts: Vec::new(),
            flying: Vec::new(),
            runs: HashMap::new(),
            given_up: HashSet::new(),
            ran: HashSet::new(),
            minted: 0,
        }
    }

    fn now(&self) -> Moment {
        Moment(self.log.now * 1000)
    }

    fn act(&mut self, op: &Op) {
        match op {
            Op::Ask { router, key } => self.ask(router.below(ROUTERS), key.below(KEYS)),
            Op::Move { attempt, fate } if !self.attempts.is_empty() => {
                self.step(attempt.below(self.attempts.len()), *fate);
            }
            Op::Arrive(which) if !self.flying.is_empty() => {
                let record = self.flying.remove(which.below(self.flying.len()));
                self.log.append(record);
            }
            Op::Read { router, count } => self.read(router.below(ROUTERS), count.below(8)),
            Op::Restart(router) => self.restart(router.below(ROUTERS)),
            Op::Pass(seconds) => self.log.now += seconds.below(15) as u64 * 1000,
            Op::Move { .. } | Op::Arrive(_) => {}
        }
    }

    fn ask(&mut self, router: usize, key: usize) {
        // Both keys were made when the world began, as UUIDs of version 7.
        let made = 1_000_000_u64;
        let text = format!(
            "{:08x}-{:04x}-7000-8000-00000000000{key}",
            made >> 16,
            made & 0xffff
        );
        let life = KeyValidity::new(Duration::from_millis(RETENTION), SKEW);
        if life.classify(&text, self.log.now) != KeyAge::Fresh {
            return;
        }
        self.minted += 1;
        let key = ClaimKey {
            team: "t".parse().expect("valid"),
            key: text.into(),
        };
        let me = holder(router, self.routers[router].life);
        let claim = ClaimId(self.minted);
        self.attempts.push(Attempt {
            router,
            key: key.clone(),
            machine: Claimant::new(key, claim, me, self.now(), PATIENCE),
        });
    }

    fn step(&mut self, index: usize, fate: Fate) {
        let now = self.now();
        let router = self.attempts[index].router;
        let claims = self.routers[router].fold.claims();
        match self.attempts[index].machine.poll(claims, now) {
            Step::Append(record) => self.append(index, record, fate),
            Step::Wait => {}
            Step::Done(verdict) => self.finish(index, verdict),
        }
    }

    fn append(&mut self, index: usize, record: ClaimRecord, fate: Fate) {
        let result = match fate {
            Fate::Answered => {
                self.log.append(record);
                Appended::At(Offset(self.log.records.len() as u64 - 1))
            }
            Fate::AnswerLost => {
                self.log.append(record);
                Appended::Unknown
            }
            Fate::Failed => Appended::Failed,
            Fate::Delayed => {
                self.flying.push(record);
                Appended::Unknown
            }
        };
        self.attempts[index].machine.appended(result);
    }

    fn finish(&mut self, index: usize, verdict: ClaimOutcome) {
        let attempt = self.attempts.remove(index);
        let claim = attempt.machine.claim();
        match verdict {
            ClaimOutcome::Run => {
                *self.runs.entry(attempt.key).or_default() += 1;
                self.ran.insert(claim);
            }
            ClaimOutcome::TimedOut(release) => {
                self.given_up.insert(claim);
                self.flying.push(release);
            }
            ClaimOutcome::HeldByOther(_) | ClaimOutcome::EarlierAttempt(_) => {}
        }
    }

    fn read(&mut self, router: usize, count: usize) {
        let oldest = self.log.oldest();
        let fold = &mut self.routers[router].fold;
        fold.skip(oldest);
        for _ in 0..count {
            let next = fold.claims().next();
            let Some((time, record)) = self.log.read(next) else {
                break;
            };
            fold.take(next, time, &record);
        }
    }

    fn restart(&mut self, router: usize) {
        let life = self.routers[router].life + 1;
        self.routers[router] = Router {
            life,
            fold: F::default(),
        };
        self.attempts.retain(|attempt| attempt.router != router);
    }

    fn holds(&self) -> bool {
        let once = self.runs.values().all(|count| *count <= 1);
        once && self.given_up.is_disjoint(&self.ran)
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck hands over what it makes"
)]
fn runs_at_most_once<F: Fold>(ops: Vec<Op>) -> bool {
    let mut world = World::<F>::new();
    ops.iter().all(|op| {
        world.act(op);
        world.holds()
    })
}

/// A clerk's filing save is retried at other routers while answers of the log are lost or late,
/// routers restart and one is paused for longer than its claim lasts. The clerk would notice a
/// filing made twice.
#[test]
fn a_key_runs_at_most_once() {
    check(runs_at_most_once::<Right> as fn(Vec<Op>) -> bool);
}

/// If a claim could be taken over from a holder that seems gone, a paused holder would wake and
/// run the filing a second time. The check above must notice.
#[test]
fn a_claim_that_can_be_taken_over_is_caught() {
    assert!(finds_fault(
        runs_at_most_once::<TakesOver> as fn(Vec<Op>) -> bool
    ));
}

fn key(text: &str) -> ClaimKey {
    ClaimKey {
        team: "t".parse().expect("valid"),
        key: text.into(),
    }
}

/// An append is repeated since its answer was lost, the request is given up and released, and
/// only then does the repetition reach the log. The caller who comes back with the key would be
/// told `ran: unknown` of a request that never ran, and could never save the filing.
#[test]
fn a_claim_that_arrives_after_its_release_holds_nothing() {
    let mut claims = Claims::new(Duration::from_millis(RETENTION));
    let claim = ClaimRecord::Claim {
        key: key("k"),
        claim: ClaimId(1),
        holder: holder(0, 0),
    };
    let release = ClaimRecord::Release {
        key: key("k"),
        claim: ClaimId(1),
    };
    claims.apply(Offset(0), 10, Some(&claim));
    claims.apply(Offset(1), 20, Some(&release));
    claims.apply(Offset(2), 30, Some(&claim));
    assert_eq!(claims.key_state(&key("k")), KeyState::Free);
}

/// A router that was paused wakes after its patience has passed and finds its claim first. If it
/// ran the request now, a router that started later could have run it already.
#[test]
fn a_claim_won_too_late_is_given_back() {
    let mut claims = Claims::new(Duration::from_millis(RETENTION));
    let mut claimant = Claimant::new(key("k"), ClaimId(1), holder(0, 0), Moment(0), PATIENCE);
    let Step::Append(record) = claimant.poll(&claims, Moment(0)) else {
        panic!("an attempt starts with its append");
    };
    claimant.appended(Appended::At(Offset(0)));
    claims.apply(Offset(0), 10, Some(&record));
    let woken = Moment(0) + PATIENCE;
    let step = claimant.poll(&claims, woken);
    assert!(matches!(step, Step::Done(ClaimOutcome::TimedOut(_))));
}

/// A caller comes back with a key made longer ago than the log keeps claims. Whether it ran can
/// no longer be read, and running it could be the second time.
#[test]
fn a_key_older_than_the_log_is_stale() {
    let life = KeyValidity::new(Duration::from_millis(RETENTION), SKEW);
    let made = 0x0192_0000_0000_u64;
    let text = "01920000-0000-7000-8000-000000000000";
    assert_eq!(life.classify(text, made + 57_000), KeyAge::Fresh);
    assert_eq!(life.classify(text, made + 59_000), KeyAge::Stale);
    assert_eq!(life.classify(text, made - 2_000), KeyAge::InFuture);
    assert_eq!(life.classify("order-17", made), KeyAge::Untimed);
    assert_eq!(
        life.classify("ééééééééé-é-7é-é-ééééé", made),
        KeyAge::Untimed
    );
}
