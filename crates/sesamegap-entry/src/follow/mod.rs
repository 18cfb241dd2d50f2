//! Follows the store: the operator's settings, the fleet, and the entry VMs.
//!
//! A few VMs, the readers, read each table for all others. Settings change rarely, so readers use calls that wait
//! at the store for a change (long polling). The fleet list changes with every heartbeat of every upstream, so such
//! a call would return at once; the list is polled at a fixed interval instead, which bounds the number of calls
//! whatever the size of the fleet. All other VMs apply the readers' updates ([`updates`]), and ask peers for what they
//! missed ([`pull`]). They read the store themselves only if their peers have nothing newer either, one after another.

mod apply;
mod fetch;
mod journal;
mod pull;
mod reports;
mod snapshot;
mod updates;
mod vms;

pub use fetch::{DocumentQuestion, DocumentReply, fetch_documents};
pub use journal::Journal;
pub use pull::{PullReply, PullRequest, SettingsCopy};
pub use snapshot::FleetSnapshot;
use updates::read_table;
pub use updates::{
    TablePart, TableReading, TableState, TableUpdate, apply_batch, apply_update, receive_part,
    receive_update,
};
pub use vms::follow_vms;

use crate::clock;
use crate::core::{Core, Phase};
use crate::ports::{StoreError, Table};
use crate::telemetry::events;
use pull::Pulled;
use sesamegap_policy::load::limits::add_jitter;
use sesamegap_policy::routing::cadence::Cadence;
use sesamegap_policy::routing::reading::{Backoff, READERS, Standby, longest_delay};
use sesamegap_wire::{LogPosition, Moment};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tracing::{info, warn};

/// Key of the ranking that selects the readers of a table; the number of the table is added to it.
const RANK_KEY: u64 = 16;

/// Maximum wait for a peer's settings before the store's are used, at the start of a process. It is several times
/// the response time of a peer, and short because a VM that returns while all others are unreachable must serve at
/// once.
const PEER_WAIT: Duration = Duration::from_millis(60);

/// Minimum time between two passes over all upstreams that apply time limits.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// Longest delay between two rounds of asking peers.
const MAX_PULL_DELAY: Duration = Duration::from_secs(1);

/// Delay before peers are asked again if they are busy, or receive the same data right now.
const BUSY_DELAY: Duration = Duration::from_millis(80);

/// How often a VM that relies on its peers' readings of the settings checks whether it hears any peer.
const HEARING_INTERVAL: Duration = Duration::from_millis(250);

/// Bandwidth in Mbit/s of a link that carries a list of 10,000 upstreams in a fraction of a second.
const FAST_LINK_MBPS: f64 = 100.0;

/// Follows one table until the process ends.
pub async fn follow(core: Arc<Core>, table: Table) {
    if table == Table::Settings {
        // The store may hold an older document than other VMs use, which would be in force until they report theirs.
        core.peers.wait_for_first_peer(PEER_WAIT).await;
    }
    core.peers.wait_for_list().await;
    let mut follower = Follower::new(table);
    while core.phase() < Phase::Exiting {
        follower.step(&core).await;
        follower.expire(&core);
    }
}

/// Reads the fleet list from the store up to now.
///
/// # Errors
/// If a call to the store failed.
pub async fn read_list(core: &Core) -> Result<(), StoreError> {
    while read_table(core, Table::Fleet, Duration::ZERO, &mut None).await? {}
    Ok(())
}

/// The task that follows one table.
#[derive(Debug)]
struct Follower {
    table: Table,
    /// Whether the last call to the store failed.
    unreachable: bool,
    /// When the store's restore was noticed, until the table was read again.
    restored: Option<Moment>,
    /// Since when nothing of the table is known.
    unknown_since: Moment,
    /// Position from which a peer's copy would spare a reader the read of the whole table, if it should ask for one.
    useful_from: Option<LogPosition>,
    store_backoff: Backoff,
    /// Until when a VM that is no reader does not call the store again after a failed call.
    no_call_before: Moment,
    peer_backoff: Backoff,
    /// When time limits were last applied to all upstreams.
    expired_at: Moment,
}

impl Follower {
    fn new(table: Table) -> Self {
        Self {
            table,
            unreachable: false,
            restored: None,
            unknown_since: clock::now(),
            useful_from: None,
            store_backoff: Backoff::default(),
            no_call_before: Moment::default(),
            peer_backoff: Backoff::default(),
            expired_at: Moment::default(),
        }
    }

    async fn step(&mut self, core: &Core) {
        if predates_restore(core, self.table) {
            self.restored.get_or_insert_with(clock::now);
            restart_table(core, self.table);
        }
        if core.table_progress(self.table).position().next().is_some() {
            self.unknown_since = clock::now();
        }
        let is_reader = is_reader(core, self.table) || must_read_alone(core, self.table);
        if !is_reader && wait_for_update(core, self.table).await {
            return;
        }
        let is_read_needed = match self.useful_from.take() {
            Some(from) if is_reader => !self.copy_from_peer(core, from).await,
            None if is_reader => true,
            _ => self.must_take_over(core).await,
        };
        if !is_read_needed {
            return;
        }
        self.read(core, is_reader).await;
    }

    /// Copies the table from a peer, for a reader; returns whether the copy reaches a position.
    async fn copy_from_peer(&self, core: &Core, from: LogPosition) -> bool {
        pull::pull(core, self.table).await;
        let mut position = core.table_progress(self.table).position();
        let is_useful = position.next().is_some_and(|next| next >= from);
        if !is_useful {
            position.require_full_read();
        }
        is_useful
    }

    /// Asks peers for what this VM lacks; returns whether it must read the store itself because they lack it too.
    async fn must_take_over(&mut self, core: &Core) -> bool {
        log_gap(core, self.table);
        let pulled = pull::pull(core, self.table).await;
        let known = core.table_progress(self.table);
        let (missed, silent, until_due, overdue, stale, has_data) = {
            let position = known.position();
            let now = clock::now();
            let limit = takeover_after(core, self.table);
            (
                position.has_missed(),
                position
                    .time_left(ask_after(core, self.table), now)
                    .is_zero(),
                position.time_left(limit, now),
                position.overdue(limit, self.unknown_since, now),
                position.overdue(max_age(core, self.table), self.unknown_since, now),
                position.next().is_some(),
            )
        };
        if has_data && !missed && !silent {
            self.peer_backoff.reset();
            return false;
        }
        let standby = Standby {
            rank: rank(core, self.table),
            isolated: pulled == Pulled::Isolated,
            fast_start: !has_data && core.settings().link_mbps >= FAST_LINK_MBPS,
        };
        let delay = standby.takeover_delay();
        if overdue >= delay && clock::now() >= self.no_call_before {
            info!(event = events::TAKEOVER, table = ?self.table, rank = standby.rank, isolated = standby.isolated, overdue_ms = clock::millis(overdue), "reading the table for all VMs");
            return true;
        }
        let is_due = missed || !stale.is_zero();
        if has_data && self.table == Table::Fleet && pulled == Pulled::Applied && is_due {
            // No VM could read the list lately, so entries may have expired because no heartbeat was written.
            core.fleet
                .lock()
                .record_store_response(stale.is_zero(), clock::now());
        }
        let is_expected = pulled == Pulled::Nothing || (pulled == Pulled::Applied && missed);
        let pause = if is_expected {
            add_jitter(BUSY_DELAY, &mut rand::rng())
        } else {
            self.peer_backoff.fail(MAX_PULL_DELAY, &mut rand::rng())
        };
        let until_call = (until_due + delay)
            .saturating_sub(overdue)
            .max(self.no_call_before.since(clock::now()));
        drop(timeout(pause.min(until_call), known.missed.notified()).await);
        false
    }

    /// Applies time limits to upstreams whose entries lapsed or are doubted.
    fn expire(&mut self, core: &Core) {
        let now = clock::now();
        if now.since(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        for (id, change) in core.fleet.lock().expire(now) {
            info!(event = events::UPSTREAM, upstream = %id, change = ?change, "belief about an upstream changed by time");
        }
    }

    /// How long a call waits at the store for a change. After a failed call the next one does not wait, so that its answer
    /// shows whether the store is back.
    fn call_wait(&self, core: &Core, is_reader: bool) -> Duration {
        match self.table {
            Table::Settings if is_reader && !self.unreachable => {
                core.settings().spans.document_bounds().wait()
            }
            _ => Duration::ZERO,
        }
    }

    async fn read(&mut self, core: &Core, is_reader: bool) {
        let table = self.table;
        let wait = self.call_wait(core, is_reader);
        let outcome = read_table(core, table, wait, &mut self.restored).await;
        core.fleet
            .lock()
            .record_store_response(is_answered(&outcome), clock::now());
        match outcome {
            Ok(has_more) => {
                self.store_backoff.reset();
                if std::mem::take(&mut self.unreachable) {
                    info!(event = events::STORE_BACK, table = ?table, "store answers again");
                }
                if table == Table::Fleet && is_reader && !has_more {
                    wait_for_turn(core).await;
                }
            }
            Err(StoreError::Restored(_)) => {}
            Err(StoreError::Compacted(first)) => {
                info!(event = events::COMPACTED, table = ?table, first = first.0, "log was compacted; copying the table from a peer or reading its newest records");
                core.table_progress(table).position().require_full_read();
                self.useful_from = Some(LogPosition::new(core.store.timeline(), first));
            }
            Err(error) => {
                let was_reachable = !std::mem::replace(&mut self.unreachable, true);
                if was_reachable {
                    warn!(event = events::STORE_LOST, table = ?table, %error, "store does not answer");
                }
                if core.table_progress(table).position().next().is_none() {
                    self.useful_from = Some(LogPosition::default());
                }
                if was_reachable && is_long_call(table, &error) {
                    // A change may have been missed for as long as the call took.
                    return;
                }
                let vms = core.peers.count();
                let callers = if self::is_reader(core, table) {
                    vms.min(READERS)
                } else {
                    vms
                };
                let longest = match table {
                    Table::Settings => core
                        .settings()
                        .spans
                        .document_bounds()
                        .longest_delay(callers),
                    Table::Fleet | Table::Vms | Table::Quarantine | Table::Versions => {
                        longest_delay(callers)
                    }
                };
                let delay = self.store_backoff.fail(longest, &mut rand::rng());
                if is_reader {
                    if has_gap(core, table) {
                        log_gap(core, table);
                        pull::pull(core, table).await;
                    }
                    sleep(delay).await;
                } else {
                    self.no_call_before = clock::now() + delay;
                }
            }
        }
    }
}

/// Whether a call that failed was waiting for a change.
fn is_long_call(table: Table, error: &StoreError) -> bool {
    table == Table::Settings && matches!(error, StoreError::Unanswered(_))
}

/// Whether this VM must read a table itself because it hears none of the peers that read it for all.
fn must_read_alone(core: &Core, table: Table) -> bool {
    let has_data = || core.table_progress(table).position().next().is_some();
    table == Table::Settings && core.peers.is_cut_off() && has_data()
}

fn is_answered(outcome: &Result<bool, StoreError>) -> bool {
    !matches!(
        outcome,
        Err(StoreError::Busy | StoreError::Unreached(_) | StoreError::Unanswered(_))
    )
}

/// The place of this VM in the ranking of a table's readers, from 0.
fn rank(core: &Core, table: Table) -> usize {
    core.peers.rank(RANK_KEY + table as u64)
}

/// Whether this VM is a reader of a table.
fn is_reader(core: &Core, table: Table) -> bool {
    rank(core, table) < READERS
}

/// How the readers of the fleet list share the readings.
fn cadence(core: &Core) -> Cadence {
    let readers = core.peers.roster().len().min(READERS);
    Cadence::new(core.settings().spans.drain, readers)
}

/// Time without an update of a table after which peers are asked for it.
fn ask_after(core: &Core, table: Table) -> Duration {
    match table {
        Table::Settings => core.settings().spans.document_bounds().wait(),
        Table::Fleet | Table::Vms | Table::Quarantine | Table::Versions => {
            cadence(core).ask_after()
        }
    }
}

/// Time without an update of a table after which VMs that are no readers read it.
fn takeover_after(core: &Core, table: Table) -> Duration {
    match table {
        Table::Settings => core.settings().spans.document_bounds().wait(),
        Table::Fleet | Table::Vms | Table::Quarantine | Table::Versions => {
            cadence(core).takeover_after()
        }
    }
}

/// Age that the data of a table has at most while its readers reach the store.
fn max_age(core: &Core, table: Table) -> Duration {
    match table {
        Table::Settings => core.settings().spans.document_bounds().wait(),
        Table::Fleet | Table::Vms | Table::Quarantine | Table::Versions => cadence(core).interval(),
    }
}

/// Whether a VM that knows a table lacks a part of a reading of it.
fn has_gap(core: &Core, table: Table) -> bool {
    let position = core.table_progress(table).position();
    position.next().is_some() && position.has_missed()
}

/// Logs that a reading did not arrive, or a part of one.
fn log_gap(core: &Core, table: Table) {
    let known = core.table_progress(table);
    let (next, announced, at) = {
        let position = known.position();
        if !position.has_missed() {
            return;
        }
        let announced = position.announced();
        (position.next(), announced, position.last_update())
    };
    let now = clock::now();
    info!(event = events::TABLE_GAP, table = ?table, known = ?next, announced = %announced.end, announced_ms = clock::millis(now.since(announced.at)), sender = ?known.sender(), known_ms = clock::millis(now.since(at)), "asking peers for what is missing of a reading");
}

/// Waits for an update of a table; returns false if this VM lacks one.
async fn wait_for_update(core: &Core, table: Table) -> bool {
    let known = core.table_progress(table);
    let (left, rest_due) = {
        let position = known.position();
        let now = clock::now();
        let left = position.time_left(ask_after(core, table), now);
        (left, position.rest_due(now))
    };
    let left = left.max(rest_due);
    if left.is_zero() {
        return false;
    }
    let left = match table {
        Table::Settings => left.min(HEARING_INTERVAL),
        Table::Fleet | Table::Vms | Table::Quarantine | Table::Versions => left,
    };
    // An update that arrives meanwhile extends the time left, and a missed one ends it; the next call finds out.
    tokio::select! {
        () = known.missed.notified() => {}
        () = sleep_unless_restored(core, table, left) => {}
    }
    true
}

/// Waits until this reader's next call for the fleet list. Asks peers for what it misses of other readers' readings.
async fn wait_for_turn(core: &Core) {
    let table = Table::Fleet;
    let known = core.table_progress(table);
    let until_call = cadence(core).until_call(rank(core, table), clock::unix_ms());
    let deadline = Instant::now() + until_call;
    while known.position().next().is_some() && !predates_restore(core, table) {
        let rest_due = known.position().rest_due(clock::now());
        let left = deadline.saturating_duration_since(Instant::now());
        let is_asking = !rest_due.is_zero() && rest_due < left;
        let time = if is_asking { rest_due } else { left };
        tokio::select! {
            () = known.missed.notified(), if !is_asking => continue,
            () = sleep_unless_restored(core, table, time) => {}
        }
        if !is_asking {
            return;
        }
        let is_missing = {
            let position = known.position();
            position.has_missed() && position.rest_due(clock::now()).is_zero()
        };
        if is_missing {
            log_gap(core, table);
            // This VM's own bound holds even if no peer answers.
            drop(timeout_at(deadline, pull::pull(core, table)).await);
        }
    }
}

/// Sleeps until the time is over or the table's position is on an older timeline than the store. Returns at once if the
/// whole table must be read.
async fn sleep_unless_restored(core: &Core, table: Table, time: Duration) {
    let Some(next) = core.table_progress(table).position().next() else {
        return;
    };
    let mut timelines = core.store.subscribe_timeline();
    drop(timeout(time, timelines.wait_for(|present| next.timeline < *present)).await);
}

/// Whether a table was last read before the store was restored.
fn predates_restore(core: &Core, table: Table) -> bool {
    let next = core.table_progress(table).position().next();
    next.is_some_and(|next| next.timeline < core.store.timeline())
}

/// Requires a full read of a table from a restored store; what is known of it stays in use meanwhile.
fn restart_table(core: &Core, table: Table) {
    core.fleet.lock().record_store_restore(clock::now());
    core.table_progress(table).position().require_full_read();
}
