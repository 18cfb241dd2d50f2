//! What a router learns before it serves.

use super::core::Core;
use super::fleet::follow;
use super::tree::sync;
use crate::events;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::SliceRandom;
use sesamegap_policy::Observation;
use std::sync::Arc;
use tokio::time::timeout;

/// Peers asked at once for what they know of caches and heat; the first answer counts.
const WARMTH_ASKED: usize = 3;

/// Learns what peers know, so that the first request is served as well as any later one.
///
/// Settings come from whoever answers first, a peer or the log; without either the router serves
/// all the same, and refuses until it has them.
pub async fn all(core: &Arc<Core>) {
    let engines = async {
        follow::first_reports(core).await;
        // What engines hold can be believed only once their incarnations are known.
        warm_up(core).await;
    };
    let settings = async {
        sync::from_peers(core, false).await;
        drop(timeout(core.config.timing.log, core.tree.known()).await);
    };
    tokio::join!(engines, settings);
}

async fn warm_up(core: &Core) {
    // Other peers than those that each router asks first: routers also restart in herds.
    let mut peers = core.peers.live(&core.fleet.entries());
    peers.shuffle(&mut rand::rng());
    peers.truncate(WARMTH_ASKED);
    let asked = peers.into_iter().map(|peer| async move {
        let warmth = core.peer_client.warmth(peer.router).await;
        warmth.map(|warmth| (peer.vm, warmth))
    });
    let mut answers: FuturesUnordered<_> = asked.collect();
    while let Some(answer) = answers.next().await {
        if let Ok((from, warmth)) = answer {
            tracing::info!(event = events::WARM_START.number, %from, "knowledge taken over");
            core.decider.observe(Observation::Warm(warmth));
            return;
        }
    }
}
