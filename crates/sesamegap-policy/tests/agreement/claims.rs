//! A request with a caller's key runs at most once despite lost and delayed appends, pauses and
//! restarts.

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
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
const ROUTERS: usize = 3;
const KEYS: usize = 2;

#[derive(Debug, Clone)]
enum Op {
    /// A caller sends a request with a key to a router.
    Request { router: Pick, key: Pick },
    /// One attempt takes its next step; `fate` is the result of an append in that step.
    Step { attempt: Pick, fate: Fate },
    /// A delayed append arrives at the log.
    Arrive(Pick),
    /// A router reads some records.
    Read { router: Pick, count: Pick },
    /// A router restarts without state.
    Restart(Pick),
    /// Time passes, in seconds.
    Pass(Pick),
}

#[derive(Debug, Clone, Copy)]
enum Fate {
    Appended,
    ResponseLost,
    Failed,
    Delayed,
}

impl Arbitrary for Fate {
    fn arbitrary(g: &mut Gen) -> Self {
        let all = [
            Self::Appended,
            Self::Appended,
            Self::ResponseLost,
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
            0 | 1 => Self::Request { router: a, key: b },
            2..=6 => Self::Step {
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

/// Claims state that an attempt relies on; implemented by the real one and by a faulty one.
trait Fold: Default {
    fn claims(&self) -> &Claims;
    fn apply(&mut self, offset: Offset, time: u64, record: &ClaimRecord);
    fn skip(&mut self, oldest: Offset);
}

struct RealFold(Claims);

impl Default for RealFold {
    fn default() -> Self {
        Self(Claims::new(Duration::from_millis(RETENTION)))
    }
}

impl Fold for RealFold {
    fn claims(&self) -> &Claims {
        &self.0
    }

    fn apply(&mut self, offset: Offset, time: u64, record: &ClaimRecord) {
        self.0.apply(offset, time, Some(record));
    }

    fn skip(&mut self, oldest: Offset) {
        self.0.skip(oldest);
    }
}

/// Injected fault: the next claim takes over a claim that is older than five seconds.
#[derive(Default)]
struct TakeoverFold {
    inner: RealFold,
    since: HashMap<ClaimKey, (u64, ClaimId)>,
}

impl Fold for TakeoverFold {
    fn claims(&self) -> &Claims {
        self.inner.claims()
    }

    fn apply(&mut self, offset: Offset, time: u64, record: &ClaimRecord) {
        if let ClaimRecord::Claim { key, claim, .. } = record {
            let old = self.since.get(key).copied();
            if let Some((since, previous)) = old.filter(|(since, _)| since + 5_000 < time) {
                let release = ClaimRecord::Release {
                    key: key.clone(),
                    claim: previous,
                };
                let _ = since;
                let mut fresh = RealFold::default();
                fresh.apply(Offset(offset.0.saturating_sub(1)), time, &release);
                fresh.apply(offset, time, record);
                self.inner = fresh;
                self.since.insert(key.clone(), (time, *claim));
                return;
            }
            self.since.entry(key.clone()).or_insert((time, *claim));
        }
        self.inner.apply(offset, time, record);
    }

    fn skip(&mut self, oldest: Offset) {
        self.inner.skip(oldest);
    }
}

struct Attempt {
    router: usize,
    key: ClaimKey,
    claimant: Claimant,
}

#[derive(Default)]
struct Router<F> {
    incarnation: u64,
    fold: F,
}

struct World<F> {
    log: FakeLog<ClaimRecord>,
    routers: Vec<Router<F>>,
    attempts: Vec<Attempt>,
    in_flight: Vec<ClaimRecord>,
    runs: HashMap<ClaimKey, u32>,
    timed_out: HashSet<ClaimId>,
    ran: HashSet<ClaimId>,
    last_claim_id: u128,
}

impl<F: Fold> World<F> {
    fn new() -> Self {
        Self {
            log: FakeLog::new(RETENTION),
            routers: (0..ROUTERS).map(|_| Router::default()).collect(),
            attempts: Vec::new(),
            in_flight: Vec::new(),
            runs: HashMap::new(),
            timed_out: HashSet::new(),
            ran: HashSet::new(),
            last_claim_id: 0,
        }
    }

    fn now(&self) -> Moment {
        Moment(self.log.now * 1000)
    }

    fn act(&mut self, op: &Op) {
        match op {
            Op::Request { router, key } => self.request(router.below(ROUTERS), key.below(KEYS)),
            Op::Step { attempt, fate } if !self.attempts.is_empty() => {
                self.step(attempt.below(self.attempts.len()), *fate);
            }
            Op::Arrive(which) if !self.in_flight.is_empty() => {
                let record = self.in_flight.remove(which.below(self.in_flight.len()));
                self.log.append(record);
            }
            Op::Read { router, count } => self.read(router.below(ROUTERS), count.below(8)),
            Op::Restart(router) => self.restart(router.below(ROUTERS)),
            Op::Pass(seconds) => self.log.now += seconds.below(15) as u64 * 1000,
            Op::Step { .. } | Op::Arrive(_) => {}
        }
    }

    fn request(&mut self, router: usize, key: usize) {
        // Both keys are UUIDs of version 7, created when the simulation started.
        let created = 1_000_000_u64;
        let text = format!(
            "{:08x}-{:04x}-7000-8000-00000000000{key}",
            created >> 16,
            created & 0xffff
        );
        let validity = KeyValidity::new(Duration::from_millis(RETENTION), SKEW);
        if validity.classify(&text, self.log.now) != KeyAge::Fresh {
            return;
        }
        self.last_claim_id += 1;
        let key = ClaimKey {
            team: "t".parse().expect("valid"),
            key: text.into(),
        };
        let me = holder(router, self.routers[router].incarnation);
        let claim = ClaimId(self.last_claim_id);
        self.attempts.push(Attempt {
            router,
            key: key.clone(),
            claimant: Claimant::new(key, claim, me, self.now(), CLAIM_TIMEOUT),
        });
    }

    fn step(&mut self, index: usize, fate: Fate) {
        let now = self.now();
        let router = self.attempts[index].router;
        let claims = self.routers[router].fold.claims();
        match self.attempts[index].claimant.poll(claims, now) {
            Step::Append(record) => self.append(index, record, fate),
            Step::Wait => {}
            Step::Done(outcome) => self.finish(index, outcome),
        }
    }

    fn append(&mut self, index: usize, record: ClaimRecord, fate: Fate) {
        let result = match fate {
            Fate::Appended => {
                self.log.append(record);
                Appended::At(Offset(self.log.records.len() as u64 - 1))
            }
            Fate::ResponseLost => {
                self.log.append(record);
                Appended::Unknown
            }
            Fate::Failed => Appended::Failed,
            Fate::Delayed => {
                self.in_flight.push(record);
                Appended::Unknown
            }
        };
        self.attempts[index].claimant.appended(result);
    }

    fn finish(&mut self, index: usize, outcome: ClaimOutcome) {
        let attempt = self.attempts.remove(index);
        let claim = attempt.claimant.claim();
        match outcome {
            ClaimOutcome::Run => {
                *self.runs.entry(attempt.key).or_default() += 1;
                self.ran.insert(claim);
            }
            ClaimOutcome::TimedOut(release) => {
                self.timed_out.insert(claim);
                self.in_flight.push(release);
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
            fold.apply(next, time, &record);
        }
    }

    fn restart(&mut self, router: usize) {
        let incarnation = self.routers[router].incarnation + 1;
        self.routers[router] = Router {
            incarnation,
            fold: F::default(),
        };
        self.attempts.retain(|attempt| attempt.router != router);
    }

    fn invariants_hold(&self) -> bool {
        let at_most_once = self.runs.values().all(|count| *count <= 1);
        at_most_once && self.timed_out.is_disjoint(&self.ran)
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]
fn runs_at_most_once<F: Fold>(ops: Vec<Op>) -> bool {
    let mut world = World::<F>::new();
    ops.iter().all(|op| {
        world.act(op);
        world.invariants_hold()
    })
}

/// Guards against running a request twice when it is retried at other routers while responses of
/// the log are lost or late, routers restart, and one is paused for longer than its claim lasts.
#[test]
fn a_key_runs_at_most_once() {
    check(runs_at_most_once::<RealFold> as fn(Vec<Op>) -> bool);
}

/// Verifies that the property above detects claims that can be taken over: a paused holder would
/// resume and run the request a second time.
#[test]
fn a_claim_that_can_be_taken_over_is_detected() {
    assert!(finds_fault(
        runs_at_most_once::<TakeoverFold> as fn(Vec<Op>) -> bool
    ));
}

fn key(text: &str) -> ClaimKey {
    ClaimKey {
        team: "t".parse().expect("valid"),
        key: text.into(),
    }
}

/// An append is retried because its response was lost, the claim is released, and only then does
/// the retry reach the log. If it counted as a claim, every retry by the caller would get
/// `ran: unknown` for a request that never ran.
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

/// A paused router resumes after the claim timeout and finds that its claim is the first. If it ran
/// the request now, a router that started later could have run it already.
#[test]
fn a_claim_confirmed_after_the_timeout_is_released() {
    let mut claims = Claims::new(Duration::from_millis(RETENTION));
    let mut claimant = Claimant::new(key("k"), ClaimId(1), holder(0, 0), Moment(0), CLAIM_TIMEOUT);
    let Step::Append(record) = claimant.poll(&claims, Moment(0)) else {
        panic!("an attempt must start with an append");
    };
    claimant.appended(Appended::At(Offset(0)));
    claims.apply(Offset(0), 10, Some(&record));
    let resumed = Moment(0) + CLAIM_TIMEOUT;
    let step = claimant.poll(&claims, resumed);
    assert!(matches!(step, Step::Done(ClaimOutcome::TimedOut(_))));
}

/// A caller reuses a key created longer ago than the log's retention. The log no longer shows
/// whether its request ran, so running it could be the second time.
#[test]
fn a_key_older_than_the_retention_is_stale() {
    let validity = KeyValidity::new(Duration::from_millis(RETENTION), SKEW);
    let created = 0x0192_0000_0000_u64;
    let text = "01920000-0000-7000-8000-000000000000";
    assert_eq!(validity.classify(text, created + 57_000), KeyAge::Fresh);
    assert_eq!(validity.classify(text, created + 59_000), KeyAge::Stale);
    assert_eq!(validity.classify(text, created - 2_000), KeyAge::InFuture);
    assert_eq!(validity.classify("order-17", created), KeyAge::Untimed);
    assert_eq!(
        validity.classify("ééééééééé-é-7é-é-ééééé", created),
        KeyAge::Untimed
    );
}
