//! Copies of a table from peers, for VMs that missed an update or have just started.
//!
//! A VM asks the sender of the update that it missed, which has what the update announced, and other peers.
//! Copies of a whole table are large compared to a small VM's link, so a VM sends only as many at once as its link's budget
//! allows; a VM that is turned away asks another one. The number of VMs that have a copy thus doubles with each round, and no
//! VM has to serve all others.

use super::RANK_KEY;
use super::apply::replace_table;
use super::fetch::fetch_document;
use super::snapshot::FleetSnapshot;
use super::updates::{TableUpdate, apply_held_parts, apply_update_of, record_as_of};
use crate::catalogue::{Additions, Document, Revision};
use crate::clock;
use crate::core::Core;
use crate::peers::{self, NamedWeights};
use crate::ports::Table;
use crate::telemetry::events;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use sesamegap_policy::agreement::membership::MemberUpdate;
use sesamegap_policy::routing::reading::READERS;
use sesamegap_wire::{LogPosition, Moment};
use smol_str::ToSmolStr;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout};
use tracing::info;

/// Peers asked in one round.
const PEERS_PER_ROUND: usize = 2;

/// Time after which the next peer is asked for changes too.
const HEDGE_DELAY: Duration = Duration::from_millis(100);

/// Longest time for a round of asking for changes: a second round, of other peers, must fit into the bound too. A small VM's
/// link carries thousands of changes in it.
const ROUND_TIME: Duration = Duration::from_millis(700);

/// Longest time for a round of asking for copies. A call ends as soon as nothing arrives any more; over a link of 1 Mbit/s, a
/// list of 10,000 upstreams takes five seconds.
const LONGEST_CALL: Duration = Duration::from_secs(20);

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

/// Asks a peer for what this VM lacks of a table, and applies its reply.
pub(super) async fn ask(core: &Core, table: Table, peer: SocketAddr) -> Pulled {
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
pub(super) fn choose_peers(core: &Core, table: Table, is_copy: bool) -> Vec<SocketAddr> {
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
pub(super) fn is_from_earlier_timeline(core: &Core, next: LogPosition) -> bool {
    next.timeline < core.store.timeline()
}

/// Records that the store was restored, if a peer's data is from a later timeline than what this VM knows of a table.
pub(super) fn record_restore(core: &Core, table: Table, next: LogPosition) {
    let known = core.table_progress(table).position().next();
    if known.is_some_and(|known| known.timeline < next.timeline) {
        // Entries that the restored store lacks get time to reappear.
        core.fleet.lock().record_store_restore(clock::now());
    }
}

fn apply_reply(core: &Core, table: Table, reply: PullReply, from: SocketAddr, asked: Moment) {
    let known = core.table_progress(table);
    let now = clock::now();
    if let Some(next) = reply.next() {
        record_restore(core, table, next);
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
