//! Fetches newer documents from peers.
//!
//! A newer document is fetched by its parts, see [`replication`](sesamegap_policy::agreement::replication): one peer says
//! what changed, and several peers send the missing entries. The fetch goes on with what has arrived as long as
//! anything arrives, whatever time it takes, and turns to a newer document that a peer tells of.

use super::pull::{Pulled, ask, choose_peers, is_from_earlier_timeline, record_restore};
use super::{BUSY_DELAY, MAX_PULL_DELAY};
use crate::catalogue::{Answer, Entry, Revision, apply_answer};
use crate::clock;
use crate::core::{Core, Phase};
use crate::peers::{self, NamedWeights, PeerError};
use crate::ports::Table;
use crate::telemetry::events;
use futures_util::future::join_all;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use sesamegap_policy::agreement::replication::{Ask, Content};
use sesamegap_policy::load::limits::add_jitter;
use sesamegap_wire::{LogPosition, Moment};
use smol_str::ToSmolStr;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};

/// Peers that are asked for entries at once.
const LANES: usize = 3;

/// Time without any part of a document after which a fetch begins anew, with another source.
const MAX_STALL: Duration = Duration::from_secs(1);

/// Shortest time for which entries of a document are fetched before a newer one is aimed at.
const MIN_AIM_TIME: Duration = Duration::from_millis(700);

/// Delay before entries are asked for again after an answer without any.
const LANE_POLL: Duration = Duration::from_millis(60);

/// Longest such delay: in a large fleet, most peers have nothing at first.
const MAX_LANE_POLL: Duration = Duration::from_millis(240);

/// Longest time for which a round of fetching lasts.
const MAX_ROUND_TIME: Duration = Duration::from_secs(5);

/// Peers that are asked for a document's entries besides the one that has all of it.
const OTHER_PEERS: usize = 2;

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

/// Fetches each newer document that a peer tells of, until the process ends.
///
/// The task that follows the settings may be waiting for the store, which may lag behind the peers or turn this VM away.
pub async fn fetch_documents(core: Arc<Core>) {
    while core.phase() < Phase::Exiting {
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
pub(super) async fn fetch_document(core: &Core) -> Pulled {
    let _turn = core.fetch_turn.lock().await;
    let mut result = Pulled::Isolated;
    let deadline = Instant::now() + MAX_ROUND_TIME;
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
        let others = core.peers.random_alive(OTHER_PEERS).into_iter();
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
    record_restore(core, Table::Settings, next);
    // The reply may have been on its way for as long as the call took.
    let at = asked.saturating_sub(Duration::from_millis(age_ms));
    let known = core.table_progress(Table::Settings);
    known.position().record_pull(next, at, clock::now());
}
