//! Takes settings over from peers that are further.

use crate::events;
use crate::router::core::Core;
use crate::router::peers::message::WantSettings;
use futures_util::StreamExt;
use futures_util::stream;
use rand::seq::SliceRandom;
use std::cmp::Reverse;

/// Peers asked at once when this router knows nothing yet.
const ASKED: usize = 8;

/// Asks peers for settings and takes over the newest; `true` if one was further.
///
/// A router that knows nothing yet asks some peers at random. One that is behind asks the furthest
/// alone: a snapshot of many teams is megabytes, and the answers of the others would tell no more.
pub async fn from_peers(core: &Core, only_ahead: bool) -> bool {
    let next = core.tree.next();
    let peers = core.peers.live(&core.fleet.entries()).into_iter();
    let ahead = peers.filter(|peer| !only_ahead || peer.settings > next);
    let mut asked: Vec<_> = ahead.collect();
    asked.shuffle(&mut rand::rng());
    if only_ahead {
        asked.sort_by_key(|peer| Reverse(peer.settings));
        asked.truncate(1);
    }
    asked.truncate(ASKED);
    let answers = stream::iter(asked).map(|peer| async move {
        let want = WantSettings { next };
        core.peer_client.settings(peer.router, want).await
    });
    let mut answers = answers.buffer_unordered(ASKED);
    let mut adopted = false;
    while let Some(answer) = answers.next().await {
        let Ok(settings) = answer else {
            continue;
        };
        adopted |= !settings.snapshot.is_empty() && core.tree.adopt(&settings.snapshot);
    }
    if adopted {
        tracing::info!(event = events::SETTINGS_FROM_PEER.number, next = %core.tree.next(), "settings from a peer");
    }
    adopted
}
