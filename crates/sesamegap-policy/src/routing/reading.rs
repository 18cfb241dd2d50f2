//! When an entry VM reads a table from the store itself, and when its peers' copies suffice.
//!
//! With 84 VMs following the fleet list and the settings, every call has a cost, and each heartbeat of 143
//! upstreams would be read 84 times: calls would grow with the number of VMs, and bytes with the product of VMs
//! and upstreams. So a few VMs act as readers and relay changes to all others. A VM that misses an update, or receives
//! none in time, asks a peer for what follows its own position, so no record is ever skipped.
//!
//! Every VM still has a bound on the age of its data, whether its peers reach it or not. When the readers fail, the
//! others take over one after another ([`Standby`]). If all of them read at once, a fleet of 1,000 VMs with a
//! list of 10,000 upstreams would make 20,000 calls; the store would reject most of them, and the repeated calls would
//! keep it at its rate limit after the cause has gone. For the same reason, failed calls are repeated at a rate that is
//! bounded for the whole fleet ([`Backoff`], [`CallBudget`]).

use crate::load::limits::add_jitter;
use rand::Rng;
use sesamegap_wire::{LogPosition, Moment};
use std::time::Duration;

/// Number of VMs that read a table for all others. With eight, one of them has read it within an eighth of the
/// polling interval; in smaller fleets every VM reads.
pub const READERS: usize = 8;

/// Time after which the first reader reads the whole table again and relays what differs. Otherwise, a record that was
/// skipped would never be corrected for an upstream whose entry does not change.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(30);

/// Time between the takeovers of two VMs that follow each other in rank, while peers answer: one group of readers in
/// half a second.
const TAKEOVER_STEP: Duration = Duration::from_micros(62_500);

/// Time between such takeovers while no peer answers. After all VMs were restarted together, all of them may be in this
/// state for a moment, and at most 200 a second begin to read.
const ISOLATED_STEP: Duration = Duration::from_millis(5);

/// Part of [`TAKEOVER_STEP`] for a VM with a fast link that has no data yet. If one VM in twenty has such a link, four
/// of them begin within half a second.
const FAST_START_DIVISOR: u32 = 8;

/// Delay after a first failed call. Calls are billed and rate-limited, rejected ones too.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Interval at which a whole fleet repeats failed calls at most, per VM that repeats them: 32 calls a second.
const RETRY_SPACING: Duration = Duration::from_micros(31_250);

/// Part of the store's rate limit that all VMs together use at most, in percent. The rest is for the operator and for
/// upstreams, whose heartbeats keep them listed.
const RATE_PERCENT: u32 = 50;

/// Calls that a VM may make at once: the pages of a list of 20,000 upstreams, and a few others.
const CALL_BURST: f64 = 48.0;

/// Longest wait for the next bytes of the store's answer, in addition to the time that a call waits for new records. It
/// is some hundred times what the store needs, so that a slow store is still used.
pub const MAX_STORE_SILENCE: Duration = Duration::from_millis(1_200);

/// Longest wait of a call for changed settings.
const MAX_SETTINGS_WAIT: Duration = Duration::from_millis(2_500);

/// Shortest wait of such a call: the calls of [`READERS`] VMs stay few.
const MIN_SETTINGS_WAIT: Duration = Duration::from_millis(200);

/// Time for the call after one that got no answer, of a store that is slow.
const REREAD_TIME: Duration = Duration::from_millis(300);

/// Time without any message from a peer after which a VM counts as cut off. Probes and their answers alone come twice a
/// second.
const PEER_SILENCE: Duration = Duration::from_millis(800);

/// Time without any message from a peer after which a VM does without its peers: it reads all tables itself, and names only
/// itself to callers. A shorter one costs no more than a few calls that are asked twice.
const PEER_ABSENCE: Duration = Duration::from_secs(3);

/// Time in which the rest of a reading may still arrive: parts take different ways and may overtake each other.
const REST_WAIT: Duration = Duration::from_millis(120);

/// Failed calls for settings that fit into the time after which a VM's bounds hold again.
const SETTINGS_CALLS_PER_CONTACT: u32 = 3;

/// Range of a table's log that one read covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// Start of the range.
    pub from: LogPosition,
    /// Position after the range, from which the next read continues.
    pub next: LogPosition,
}

/// What a reader knew of a table after a call. Its update may be sent in parts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reading {
    /// End of the table's log in the answer.
    pub end: LogPosition,
    /// When the call began.
    pub at: Moment,
}

/// Result of applying a reader's update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The update is contiguous: everything up to the end of the reading is known.
    Contiguous,
    /// The update is contiguous, and other parts of the reading are missing.
    Partial,
    /// It ends before the known position, because the reader was delayed.
    Outdated,
    /// There is a gap before it, or it is incomplete.
    Missed,
}

/// Position up to which a table is known.
#[derive(Debug, Default)]
pub struct Position {
    next: Option<LogPosition>,
    /// The furthest reading that was heard of.
    announced: Reading,
    /// When peers are to be asked for what is missing of it; unset if nothing is.
    ask_at: Option<Moment>,
    last_update: Moment,
    /// When the whole table was last read.
    last_full_read: Moment,
    /// When this VM's last successful call began.
    last_call: Option<Moment>,
}

impl Position {
    /// Position to read from, or `None` if the whole table must be read.
    pub fn next(&self) -> Option<LogPosition> {
        self.next
    }

    /// Records the position up to which this VM has read, with data that was current at `at`.
    pub fn record_read(&mut self, next: LogPosition, at: Moment) {
        if self.next.is_none() {
            self.last_full_read = at;
        }
        self.next = Some(next);
        self.last_update = at;
        self.settle();
    }

    /// Records a position up to which this VM has read while the store has more.
    pub fn record_partial_read(&mut self, next: LogPosition) {
        self.next = Some(next);
        self.settle();
    }

    /// Records the start of the call whose answer this VM has just read.
    pub fn record_call(&mut self, began: Moment) {
        self.last_call = Some(began);
    }

    /// Time up to which this VM is certain to know the whole table, or `None` if it never read it.
    ///
    /// Updates from peers do not count, since they may have been delayed on the way.
    pub fn complete_until(&self) -> Option<Moment> {
        self.last_call
    }

    /// Requires the next read to cover the whole table.
    pub fn require_full_read(&mut self) {
        self.next = None;
    }

    /// Records that everything up to a position was received from a peer, whose data was current at `at`.
    pub fn record_pull(&mut self, next: LogPosition, at: Moment, now: Moment) {
        if self.next.is_none() {
            self.last_full_read = now;
        }
        if self.next.is_none_or(|known| known <= next) {
            self.next = Some(next);
            self.last_update = self.last_update.max(at);
            if !self.has_missed() {
                self.ask_at = None;
            }
        }
    }

    /// Whether a reading after the known position was missed, or a part of one.
    pub fn has_missed(&self) -> bool {
        self.next.is_none_or(|next| next < self.announced.end)
    }

    /// The furthest reading that was heard of.
    pub fn announced(&self) -> Reading {
        self.announced
    }

    /// Time in which what is missing may still arrive, before peers are asked for it.
    pub fn rest_due(&self, now: Moment) -> Duration {
        self.ask_at.map_or(Duration::ZERO, |at| at.since(now))
    }

    /// When the data was last known to be current: the last read, or update from a reader.
    pub fn last_update(&self) -> Moment {
        self.last_update
    }

    /// How long ago the data should have been renewed, if it should; a table that was never read counts from `since`.
    pub fn overdue(&self, interval: Duration, since: Moment, now: Moment) -> Duration {
        let due = match self.next {
            Some(_) => self.last_update + interval,
            None => since,
        };
        now.since(due)
    }

    /// Requires a read of the whole table if the last one is older than [`FULL_READ_INTERVAL`].
    pub fn renew(&mut self, now: Moment) {
        if now.since(self.last_full_read) >= FULL_READ_INTERVAL {
            self.require_full_read();
        }
    }

    /// Applies a reading that was made at `at` and is sent in one update; `whole` says whether it names every change in the
    /// range.
    pub fn apply(&mut self, span: Span, whole: bool, at: Moment) -> UpdateOutcome {
        let reading = Reading { end: span.next, at };
        self.apply_part(span, whole, reading, at)
    }

    /// Applies a part of a reading that arrives at `now`; `whole` says whether it names every change in its range.
    pub fn apply_part(
        &mut self,
        span: Span,
        whole: bool,
        reading: Reading,
        now: Moment,
    ) -> UpdateOutcome {
        let Some(next) = self.next else {
            return UpdateOutcome::Missed;
        };
        if span.next < next && reading.end <= next {
            return UpdateOutcome::Outdated;
        }
        if reading.end >= self.announced.end {
            let at = reading.at.max(self.announced.at);
            self.announced = Reading { at, ..reading };
        }
        let contiguous = span.from <= next && (whole || span.next == next);
        if contiguous {
            self.next = Some(next.max(span.next));
            if self.next >= Some(reading.end) {
                self.last_update = self.last_update.max(reading.at);
            }
        }
        if !whole && !contiguous {
            // The reader does not send these changes, so there is nothing to wait for.
            self.ask_at = Some(now);
        } else if contiguous || self.ask_at.is_none() {
            self.ask_at = Some(now + REST_WAIT);
        }
        self.settle();
        match (contiguous, self.has_missed()) {
            (false, _) => UpdateOutcome::Missed,
            (true, true) => UpdateOutcome::Partial,
            (true, false) => UpdateOutcome::Contiguous,
        }
    }

    /// Draws the conclusions of a new known position.
    fn settle(&mut self) {
        if !self.has_missed() {
            self.ask_at = None;
            self.last_update = self.last_update.max(self.announced.at);
        }
    }

    /// Time until this VM must read the table itself if it receives no update.
    pub fn time_left(&self, interval: Duration, now: Moment) -> Duration {
        if self.has_missed() {
            return Duration::ZERO;
        }
        interval.saturating_sub(now.since(self.last_update))
    }
}

/// A VM that is not a reader, and its data.
#[derive(Debug, Clone, Copy)]
pub struct Standby {
    /// Its place among all VMs in the ranking of the table, from 0.
    pub rank: usize,
    /// Whether no peer answers it.
    pub isolated: bool,
    /// Whether it has no data yet and a link that carries the whole table in a fraction of a second.
    pub fast_start: bool,
}

impl Standby {
    /// How long its data must be overdue before it reads the table itself.
    ///
    /// A VM that starts with a fast link takes over sooner. After all VMs were restarted together, the readers by rank
    /// would otherwise need seconds to read a long list and to copy it to the first others.
    pub fn takeover_delay(self) -> Duration {
        let behind = u32::try_from((self.rank + 1).saturating_sub(READERS)).unwrap_or(u32::MAX);
        let step = if self.isolated {
            ISOLATED_STEP
        } else if self.fast_start {
            TAKEOVER_STEP / FAST_START_DIVISOR
        } else {
            TAKEOVER_STEP
        };
        step.saturating_mul(behind)
    }
}

/// Bounds on the age of the settings that a VM uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingsBounds {
    /// Time after its acknowledgement from which a document must be in force.
    pub apply: Duration,
    /// Time after a disturbance from which that holds again.
    pub contact: Duration,
}

impl SettingsBounds {
    /// How long a call waits at the store for a change.
    ///
    /// The answer of a call that was open during a disturbance may never come, and the VM learns of no change until it gives
    /// the call up. The next call must be answered by the time the bounds hold again. Besides, an answer without a change
    /// must come before what the VM knows is too old.
    pub fn wait(&self) -> Duration {
        let by_contact = self.contact.saturating_sub(MAX_STORE_SILENCE + REREAD_TIME);
        let by_apply = self.apply.saturating_sub(REREAD_TIME);
        let wait = MAX_SETTINGS_WAIT.min(by_contact).min(by_apply);
        wait.max(MIN_SETTINGS_WAIT)
    }

    /// Whether a VM that knew this long ago that its document is the newest may deny a request by it. A denial ends the
    /// request for good, so it must not rest on a document that is replaced by one in force already.
    pub fn allows_denial(&self, age: Duration) -> bool {
        age <= self.apply
    }

    /// Longest delay between failed calls, if this many VMs may be making them.
    pub fn longest_delay(&self, callers: usize) -> Duration {
        longest_delay(callers).min(self.contact / SETTINGS_CALLS_PER_CONTACT)
    }
}

/// Whether a VM hears its peers, so that it can rely on those that read the store.
#[derive(Debug, Default, Clone, Copy)]
pub struct Hearing {
    began: Moment,
    last: Moment,
}

impl Hearing {
    /// The state of a process that begins.
    pub fn begin(now: Moment) -> Self {
        Self {
            began: now,
            last: Moment::default(),
        }
    }

    /// Records a message from a peer.
    pub fn record(&mut self, now: Moment) {
        self.last = self.last.max(now);
    }

    /// Whether no peer was heard for so long that the VM must do without them.
    pub fn is_isolated(&self, now: Moment) -> bool {
        now.since(self.last.max(self.began)) >= PEER_ABSENCE
    }

    /// Whether no peer was heard for so long that the VM must read the settings itself.
    pub fn is_cut_off(&self, now: Moment) -> bool {
        now.since(self.last) >= PEER_SILENCE
    }
}

/// Longest delay between failed calls of one VM, if this many VMs may be making such calls.
pub fn longest_delay(callers: usize) -> Duration {
    let callers = u32::try_from(callers).unwrap_or(u32::MAX);
    RETRY_SPACING.saturating_mul(callers).max(RETRY_DELAY)
}

/// Exponential delays with jitter between failed calls.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Records a failed call; returns the delay before the next one, at most `longest` before jitter.
    pub fn fail(&mut self, longest: Duration, rng: &mut dyn Rng) -> Duration {
        let doubled = RETRY_DELAY.saturating_mul(2u32.saturating_pow(self.failures));
        self.failures += 1;
        add_jitter(doubled.min(longest), rng)
    }

    /// Records a successful call.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

/// A VM's share of the calls that the store accepts per second, as a token bucket.
#[derive(Debug)]
pub struct CallBudget {
    per_s: f64,
    tokens: f64,
    last: Moment,
}

impl CallBudget {
    /// A full budget for a store with this rate limit.
    pub fn new(limit_per_s: f64, now: Moment) -> Self {
        Self {
            per_s: limit_per_s * f64::from(RATE_PERCENT) / 100.0,
            tokens: CALL_BURST,
            last: now,
        }
    }

    /// Takes one call from the share of one of `vms` VMs; returns the wait before the call may be made.
    pub fn take(&mut self, vms: usize, now: Moment) -> Duration {
        let rate = self.per_s / vms.max(1) as f64;
        let earned = now.since(self.last).as_secs_f64() * rate;
        self.last = now;
        self.tokens = (self.tokens + earned).min(CALL_BURST) - 1.0;
        if self.tokens >= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(-self.tokens / rate).unwrap_or(Duration::MAX)
    }
}
