//! Copies of a table from peers, for VMs that missed an update or have just started.
//!
//! A VM asks the sender of the update that it missed, which has what the update announced, and other peers.
//! Copies of a whole table are large compared to a small VM's link, so a VM sends only as many at once as its link's budget
//! allows; a VM that is turned away asks another one. The number of VMs that have a copy thus doubles with each round, and no
//! VM has to serve all others.
//!
//! A newer document is fetched by its parts, see [`replication`](sesamegap_policy::agreement::replication): one peer says
//! what changed, and several peers send the missing entries. The fetch goes on with what has arrived as long as
//! anything arrives, whatever time it takes, and turns to a newer document as soon as a peer tells of it.

use super::apply::replace_table;
use super::snapshot::FleetSnapshot;
use super::updates::{TableUpdate, apply_held_parts, apply_update_of, record_as_of};
use super::{BUSY_DELAY, MAX_PULL_DELAY, RANK_KEY};
use crate::catalogue::{Additions, Answer, Document, Entry, Revision, apply_answer};
use crate::clock;
use crate::core::{Core, Phase};
use crate::peers::{self, NamedWeights, PeerError};
use crate::ports::Table;
use crate::telemetry::events;
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use sesamegap_policy::agreement::membership::MemberUpdate;
use sesamegap_policy::agreement::replication::{Ask, Content};
use sesamegap_policy::load::limits::add_jitter;
use sesamegap_policy::routing::reading::READERS;
use sesamegap_wire::{LogPosition, Moment};
use smol_str::ToSmolStr;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};

/// Peers asked in one round.
const PEERS_PER_ROUND: usize = 2;

/// Time after which the next peer is asked for changes too.
const HEDGE_DELAY: Duration = Duration::from_millis(100);

/// Longest time for a round of asking for changes: a second round, of other peers, must fit into the bound too. A small VM's
/// link carries thousands of changes in it.
const ROUND_TIME: Duration = Duration::from_millis(700);

/// Peers that are asked for entries at once.
const LANES: usize = 3;

/// Time without any part of a document after which a fetch begins anew, with another source.
const MAX_STALL: Duration = Duration::from_secs(1);

/// Longest such delay: in a large fleet, most peers have nothing at first.
const MAX_LANE_POLL: Duration = Duration::from_millis(240);

/// Shortest time for which entries of a document are fetched before a newer one is aimed at.
const MIN_AIM_TIME: Duration = Duration::from_millis(700);

/// Delay before entries are asked for again after an answer without any.
const LANE_POLL: Duration = Duration::from_millis(60);

/// Longer than a round of asking for copies takes.
const LONGEST_CALL: Duration = Duration::from_secs(5);

/// A request for what a peer knows of a table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PullRequest {
    /// The table.
    pub table: Table,
    /// Position up to which the sender knows it, or `None` if it has nothing.
    pub since: Option<LogPosition>,
    /// Revision of the sender's document.
    pub revision: Revision,
}

/// The reply to a [`PullRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PullReply {
    /// The peer knows less than the VM that asks.
    Behind,
    /// The peer is sending as many copies as its link carries.
    Busy,
    /// All changes since the position in the request, and the age of the peer's data in milliseconds.
    Changes(TableUpdate, u64),
    /// The whole fleet list, and the age of the peer's data in milliseconds.
    Fleet(FleetSnapshot, u64),
    /// The settings.
    Settings(Box<SettingsCopy>),
    /// What the peer knows of all entry VMs.
    Members(Vec<MemberUpdate>),
}

impl PullReply {
    /// The position up to which the peer knows the table, if it sends its data.
    fn next(&self) -> Option<LogPosition> {
        match self {
            Self::Behind | Self::Busy | Self::Members(_) => None,
            Self::Changes(update, _) => Some(update.next),
            Self::Fleet(snapshot, _) => Some(snapshot.next()),
            Self::Settings(copy) => Some(copy.next),
        }
    }
}

/// The settings as a VM sends them to a peer of an earlier release.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SettingsCopy {
    /// Position up to which the sender has read the table.
    pub next: LogPosition,
    /// Age of what the sender knows, in milliseconds.
    pub age_ms: u64,
    /// Its document, if newer than that of the VM that asks.
    pub document: Option<(Document, Additions)>,
    /// Named weights.
    pub weights: Vec<NamedWeights>,
}

/// A question about a peer's document.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DocumentQuestion {
    /// Revision of the sender's document.
    pub revision: Revision,
    /// The question.
    pub ask: Ask,
}

/// The reply to a [`DocumentQuestion`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DocumentReply {
    /// Revision of the peer's document.
    pub revision: Revision,
    /// Position up to which the peer has read the settings, and the age of what it knows in milliseconds.
    pub known: Option<(LogPosition, u64)>,
    /// Named weights.
    pub weights: Vec<NamedWeights>,
    /// The answer.
    pub answer: Answer,
}

/// Result of asking peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pulled {
    /// A peer's data was applied.
    Applied,
    /// Peers answer, but have nothing to send now.
    Nothing,
    /// No peer answers.
    Isolated,
}

/// Asks a few peers for what this VM lacks of a table.
///
/// Copies of a whole table are asked for one after another. Changes are small, and the next peer is asked for them too if one
/// is slow: it may have died, or its link may be occupied.
pub async fn pull(core: &Core, table: Table) -> Pulled {
    if table == Table::Settings {
        return fetch_document(core).await;
    }
    let is_copy = table != Table::Fleet || core.table_progress(table).position().next().is_none();
    let round_time = if is_copy { LONGEST_CALL } else { ROUND_TIME };
    let deadline = Instant::now() + round_time;
    let mut peers = choose_peers(core, table, is_copy).into_iter();
    let mut asked = FuturesUnordered::new();
    let mut result = Pulled::Isolated;
    loop {
        asked.extend(peers.next().map(|peer| ask(core, table, peer)));
        let left = deadline.saturating_duration_since(Instant::now());
        if asked.is_empty() || left.is_zero() {
            return result;
        }
        let patience = if is_copy || peers.len() == 0 {
            left
        } else {
            HEDGE_DELAY.min(left)
        };
        match timeout(patience, asked.next()).await {
            Ok(Some(Pulled::Applied)) => {
                result = Pulled::Applied;
                if is_copy || !core.table_progress(table).position().has_missed() {
                    return result;
                }
            }
            Ok(Some(Pulled::Nothing)) if result == Pulled::Isolated => result = Pulled::Nothing,
            Ok(_) | Err(_) => {}
        }
    }
}

/// Fetches each newer document that a peer tells of, until the process ends.
///
/// The task that follows the settings may be waiting for the store, which may lag behind the peers or turn this VM away.
pub async fn fetch_documents(core: Arc<Core>) {
    while core.phase() < Phase::Ended {
        let before = core.revision();
        if core.behind_for().is_some() {
            fetch_document(&core).await;
        }
        let pause = if core.behind_for().is_none() {
            MAX_PULL_DELAY
        } else if core.revision() > before {
            Duration::ZERO
        } else {
            add_jitter(BUSY_DELAY, &mut rand::rng())
        };
        drop(timeout(pause, core.document_heard.notified()).await);
    }
}

/// Fetches a newer document from peers, if they have one.
async fn fetch_document(core: &Core) -> Pulled {
    let _turn = core.fetch_turn.lock().await;
    let mut result = Pulled::Isolated;
    let deadline = Instant::now() + LONGEST_CALL;
    for peer in choose_peers(core, Table::Settings, true) {
        let question = core.fetch().first_ask(&content(core), &mut rand::rng());
        let asked = clock::now();
        let reply = match ask_document(core, peer, question).await {
            Ok(reply) => reply,
            Err(PeerError::Unknown) => {
                // A peer of an earlier release sends its whole document.
                result = ask(core, Table::Settings, peer).await;
                if result == Pulled::Applied {
                    return result;
                }
                continue;
            }
            Err(error) => {
                core.fetch().record_timing(error == PeerError::Late);
                continue;
            }
        };
        result = Pulled::Nothing;
        let known = reply.known;
        let offered = reply.revision;
        apply_reply_of(core, peer, reply);
        let is_aimed = core.fetch().target().is_some();
        if is_aimed {
            fetch_entries(core, peer, deadline).await;
        }
        let is_from_earlier = known.is_none_or(|(next, _)| is_from_earlier_timeline(core, next));
        if core.revision() < offered || is_from_earlier {
            continue;
        }
        if let Some((next, age_ms)) = known {
            record_settings(core, next, age_ms, asked);
            return Pulled::Applied;
        }
    }
    result
}

/// Fetches what the target lacks from several peers, until all of it has arrived, a newer document is heard of, or nothing
/// arrives any more; puts the document in force.
async fn fetch_entries(core: &Core, source: SocketAddr, deadline: Instant) {
    let began = clock::now();
    let progress = Mutex::new(Instant::now());
    // One goes on with the peer that has the document; the others spread the work.
    let others = core.peers.random_alive(LANES);
    let peers = [source].into_iter().chain(others).take(LANES);
    let lanes = peers.map(|peer| run_lane(core, source, peer, &progress, deadline));
    join_all(lanes).await;
    let known = content(core);
    let outcome = core.fetch().finish(&known);
    match outcome {
        Ok(Some(content)) => {
            core.adopt_entries(content, &source.to_smolstr());
        }
        Ok(None) => {
            let target = core.fetch().target().map(tracing::field::display);
            info!(event = events::FETCH, target, source = %source, took_ms = clock::millis(clock::now().since(began)), "a newer document has not arrived in full yet");
        }
        Err(error) => {
            warn!(event = events::FETCH, %error, source = %source, "a fetched document is not the one that was announced");
        }
    }
}

/// Asks one peer after another for entries.
async fn run_lane(
    core: &Core,
    source: SocketAddr,
    mut peer: SocketAddr,
    progress: &Mutex<Instant>,
    deadline: Instant,
) {
    let began = Instant::now();
    let mut pause = LANE_POLL;
    let mut is_proven = peer == source;
    while lock(progress).elapsed() < MAX_STALL && Instant::now() < deadline {
        if core.fetch().is_complete() || is_replaced(core, began) {
            return;
        }
        let next = core.fetch().next_ask(is_proven, &mut rand::rng());
        let Some(ask) = next else {
            // Another lane has asked for the rest; it may fail.
            sleep(LANE_POLL).await;
            continue;
        };
        let reply = ask_document(core, peer, ask.clone()).await;
        core.fetch()
            .record_timing(matches!(reply, Err(PeerError::Late)));
        let is_useful = reply.is_ok_and(|reply| apply_reply_of(core, peer, reply));
        core.fetch().release(&ask);
        if is_useful {
            *lock(progress) = Instant::now();
            pause = LANE_POLL;
            is_proven = true;
            continue;
        }
        // The peer's link is occupied, it has nothing of what is missing, or it failed.
        let others = core.peers.random_alive(PEERS_PER_ROUND).into_iter();
        peer = others
            .chain([source])
            .choose(&mut rand::rng())
            .unwrap_or(source);
        is_proven = false;
        let jittered = add_jitter(pause, &mut rand::rng());
        sleep(jittered).await;
        pause = (pause * 2).min(MAX_LANE_POLL);
    }
}

fn lock(progress: &Mutex<Instant>) -> MutexGuard<'_, Instant> {
    progress.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether a peer has told of a newer document than the one that is being fetched, some time after that began. While
/// documents change all the time, most of what is missing of one is also missing of the next.
fn is_replaced(core: &Core, began: Instant) -> bool {
    let target = core.fetch().target();
    let is_newest = target.is_some_and(|target| core.newest_heard() <= Revision(target.revision));
    !is_newest && began.elapsed() >= MIN_AIM_TIME
}

/// The entries of the document in force.
fn content(core: &Core) -> Arc<Content<Entry>> {
    let catalogue = core.catalogue();
    catalogue.map_or_else(Arc::default, |catalogue| Arc::clone(catalogue.content()))
}

/// Applies a peer's reply about the document; returns whether it brought anything of it.
fn apply_reply_of(core: &Core, peer: SocketAddr, reply: DocumentReply) -> bool {
    core.record_revision(reply.revision);
    peers::apply_state(core, None, &reply.weights, &peer.to_smolstr());
    let applied = apply_answer(&content(core), &mut core.fetch(), reply.answer);
    applied.unwrap_or_else(|error| {
        info!(event = events::FETCH, %peer, %error, "a part of a document cannot be decoded");
        false
    })
}

/// Asks a peer about its document.
async fn ask_document(core: &Core, peer: SocketAddr, ask: Ask) -> Result<DocumentReply, PeerError> {
    let question = DocumentQuestion {
        revision: core.revision(),
        ask,
    };
    let reply = peers::ask_document(core, peer, &question).await;
    if let Err(error) = &reply
        && *error != PeerError::Unknown
    {
        info!(event = events::PEER, %peer, table = ?Table::Settings, %error, "a peer does not send a part of its document");
        core.table_progress(Table::Settings).forget_sender();
    }
    reply
}

/// Records how far the settings are known.
fn record_settings(core: &Core, next: LogPosition, age_ms: u64, asked: Moment) {
    let known = core.table_progress(Table::Settings);
    let is_restored = known
        .position()
        .next()
        .is_some_and(|known| known.timeline < next.timeline);
    if is_restored {
        // Entries that the restored store lacks get time to reappear.
        core.fleet.lock().record_store_restore(clock::now());
    }
    // The reply may have been on its way for as long as the call took.
    let at = asked.saturating_sub(Duration::from_millis(age_ms));
    known.position().record_pull(next, at, clock::now());
}

/// Asks a peer for what this VM lacks of a table, and applies its reply.
async fn ask(core: &Core, table: Table, peer: SocketAddr) -> Pulled {
    let asked = clock::now();
    let request = PullRequest {
        table,
        since: core.table_progress(table).position().next(),
        revision: core.revision(),
    };
    match peers::pull(core, peer, &request).await {
        Ok(reply)
            if reply
                .next()
                .is_none_or(|next| is_from_earlier_timeline(core, next)) =>
        {
            Pulled::Nothing
        }
        Ok(reply) => {
            apply_reply(core, table, reply, peer, asked);
            Pulled::Applied
        }
        Err(error) => {
            info!(event = events::PEER, %peer, table = ?table, %error, "a peer does not send its copy of a table");
            core.table_progress(table).forget_sender();
            Pulled::Isolated
        }
    }
}

/// The sender of the last update that was missed, and peers in the own failure domain if some are known.
///
/// The sender has just occupied its link with the update, and all others may miss the same part: so it is asked last for
/// changes, which most peers have by then. It is asked first for settings, which few peers have yet. For the whole fleet list,
/// the near peer comes first: after all VMs were restarted together, few of them have a copy yet; the sender is one of these,
/// and a VM with a fast link can send hundreds of copies a second.
fn choose_peers(core: &Core, table: Table, is_copy: bool) -> Vec<SocketAddr> {
    let port = core.settings().listen.peers.port();
    let sender = core.table_progress(table).sender();
    let sender = sender.map(|addr| SocketAddr::new(addr.ip(), port));
    // All readers of the settings learn of a document at almost the same time, and one alone would serve all VMs.
    let sender = if table == Table::Settings {
        let readers = core.peers.first_ranked(READERS, RANK_KEY + table as u64);
        let readers = readers.into_iter().flatten();
        let readers = readers.map(|addr| SocketAddr::new(addr.ip(), port));
        readers.chain(sender).choose(&mut rand::rng())
    } else {
        sender
    };
    let others = core.peers.random_alive(PEERS_PER_ROUND).into_iter();
    let mut others = others.filter(|peer| Some(*peer) != sender);
    let before = match (table, is_copy) {
        (Table::Fleet, true) => 1,
        (Table::Fleet, false) => PEERS_PER_ROUND,
        _ => 0,
    };
    let mut chosen: Vec<SocketAddr> = others.by_ref().take(before).collect();
    chosen.extend(sender);
    chosen.extend(others);
    let limit = if is_copy {
        PEERS_PER_ROUND
    } else {
        PEERS_PER_ROUND + 1
    };
    chosen.truncate(limit);
    chosen
}

/// Whether a peer's data is from before a restore of the store that this VM has noticed.
fn is_from_earlier_timeline(core: &Core, next: LogPosition) -> bool {
    next.timeline < core.store.timeline()
}

fn apply_reply(core: &Core, table: Table, reply: PullReply, from: SocketAddr, asked: Moment) {
    let known = core.table_progress(table);
    let now = clock::now();
    let is_restored = |next: LogPosition| {
        let known = known.position().next();
        known.is_some_and(|known| known.timeline < next.timeline)
    };
    if reply.next().is_some_and(is_restored) {
        // Entries that the restored store lacks get time to reappear.
        core.fleet.lock().record_store_restore(now);
    }
    // The reply may have been on its way for as long as the call took.
    let at = |age_ms| asked.saturating_sub(Duration::from_millis(age_ms));
    match reply {
        PullReply::Behind | PullReply::Busy | PullReply::Members(_) => {}
        PullReply::Changes(update, age_ms) => {
            apply_update_of(core, update, at(age_ms));
            apply_held_parts(core, table);
        }
        PullReply::Fleet(snapshot, age_ms) => {
            let next = snapshot.next();
            if known.position().next().is_some_and(|known| known >= next) {
                return;
            }
            let Some(batch) = snapshot.into_batch() else {
                info!(event = events::PEER, peer = %from, "a peer's copy of the fleet list is inconsistent");
                return;
            };
            replace_table(core, table, batch, None);
            record_as_of(core, table, at(age_ms));
            known.journal().restart(next);
            known.position().record_pull(next, at(age_ms), now);
        }
        PullReply::Settings(copy) => {
            let document = copy.document.map(|(mut document, additions)| {
                document.add(additions);
                document
            });
            peers::apply_state(core, document, &copy.weights, &from.to_smolstr());
            known
                .position()
                .record_pull(copy.next, at(copy.age_ms), now);
        }
    }
}
