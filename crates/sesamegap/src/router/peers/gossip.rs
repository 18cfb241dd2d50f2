//! Exchanges digests with other routers.
//!
//! Each round reaches a bounded number of peers, drawn at random, so that a router's cost does not
//! grow with the number of routers.

use super::Peer;
use super::message::Hello;
use crate::router::core::Core;
use crate::router::phase::Phase;
use crate::router::tree::sync;
use futures_util::StreamExt;
use futures_util::stream;
use rand::seq::SliceRandom;
use sesamegap_policy::Observation;
use std::sync::Arc;

/// Peers reached in one round; today's deployments have 6 to 8.
const FANOUT: usize = 8;

/// Gossips until the task is dropped.
pub async fn run(core: Arc<Core>) {
    loop {
        round(&core).await;
        sync::from_peers(&core, true).await;
        core.kept.sweep();
        tokio::time::sleep(core.config.timing.gossip).await;
    }
}

/// What this router says of itself now.
pub async fn own(core: &Core) -> Hello {
    Hello {
        vm: core.config.vm.clone(),
        incarnation: core.incarnation,
        leaving: core.phases.now() > Phase::Serving,
        settings: core.tree.next(),
        digest: core.decider.digest().await.unwrap_or_default(),
    }
}

/// Exchanges digests with some peers.
pub async fn round(core: &Core) {
    let mut peers = core.peers.live(&core.fleet.entries());
    if peers.is_empty() {
        return;
    }
    let routers = u32::try_from(peers.len() + 1).unwrap_or(u32::MAX);
    core.decider.observe(Observation::Routers(routers));
    peers.shuffle(&mut rand::rng());
    peers.truncate(FANOUT);
    let own = own(core).await;
    let exchanges = stream::iter(peers).map(|peer| exchange(core, peer, &own));
    exchanges
        .buffer_unordered(FANOUT)
        .for_each(|()| async {})
        .await;
}

async fn exchange(core: &Core, peer: Peer, own: &Hello) {
    // One message without an answer is no reason for suspicion; probes decide.
    if let Ok(hello) = core.peer_client.hello(peer.router, own).await {
        core.peers.heard(&hello);
        core.decider
            .observe(Observation::Peer(hello.vm, hello.digest));
    }
}
