//! Has each prompt placed by the entry VM that owns the shard of its home.
//!
//! [`choose`] asks the owner over a datagram and places by what this VM knows if no answer comes within a few
//! round trips, so an owner that is dead, stands still or is cut off costs a prompt that time once, and this VM
//! then asks the next in rank for a while. What was placed is taken back or said to be read by words that go out
//! with the next datagrams ([`Desk`]); the owner forgets by itself what nobody speaks of.

mod client;
mod message;
mod owner;

pub use client::{PlacementClient, TrackedPrompt};
pub use message::{Answer, Ask, ChosenEngine, PlacementMessage, PromptReport};
pub use owner::{answer_query, apply_reports};

use crate::clock;
use crate::core::Core;
use crate::fleet::{Flight, Selection, Shard};
use crate::telemetry::events;
use sesamegap_policy::routing::shards::{self, Division, SMALL};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;
use tracing::info;

/// Longest wait for an owner's answer: some ten times what it takes across failure domains, and a small part of
/// any objective.
const ANSWER: Duration = Duration::from_millis(30);

/// Who places a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Owner {
    /// This VM.
    Me,
    /// Another one, where it takes datagrams.
    Other(SocketAddr),
}

/// Chooses an upstream for a request with so much time left, and counts the request there.
pub async fn choose(core: &Core, selection: &Selection<'_>, left: Duration) -> Option<Flight> {
    let Some((shard, owner)) = find(core, selection) else {
        return core.fleet.choose(selection, clock::now());
    };
    let flight = match owner {
        Owner::Me => {
            let own = Selection {
                shard: Some(shard),
                ..*selection
            };
            core.fleet.choose(&own, clock::now())
        }
        Owner::Other(addr) => ask(core, selection, shard, addr, left).await,
    };
    if flight.is_some() {
        return flight;
    }
    let mut flight = core.fleet.choose(selection, clock::now())?;
    tell(core, &mut flight, shard.division, left);
    Some(flight)
}

/// The shard of a prompt's home and its owner; none if all VMs know of all prompts, or it is no prompt.
fn find(core: &Core, selection: &Selection<'_>) -> Option<(Shard, Owner)> {
    if selection.apart {
        return None;
    }
    selection.shape?;
    let roster = core.peers.roster();
    if roster.len() <= SMALL {
        return None;
    }
    let shard = core.fleet.lock().shard_of_home(selection, clock::now())?;
    let owner = owner(core, shard.number, &roster)?;
    Some((shard, owner))
}

/// The owner of a shard among VMs that lately answered.
fn owner(core: &Core, shard: u32, roster: &[(u64, Option<SocketAddr>)]) -> Option<Owner> {
    let now = clock::now();
    let answers =
        |addr: &Option<SocketAddr>| addr.is_none_or(|at| !core.placement_client.is_silent(at, now));
    let sound: Vec<_> = roster.iter().filter(|(_, addr)| answers(addr)).collect();
    let at = shards::owner(shard, sound.iter().map(|(vm, _)| *vm))?;
    Some(sound[at].1.map_or(Owner::Me, Owner::Other))
}

/// Asks an owner; none if it does not answer, knows no engine, or names one that this VM may not use.
async fn ask(
    core: &Core,
    selection: &Selection<'_>,
    shard: Shard,
    owner: SocketAddr,
    left: Duration,
) -> Option<Flight> {
    let (asked, answer) = core.placement_client.ask(owner);
    let ask = Ask::new(asked.number(), selection, shard, left)?;
    core.placement_client
        .send(PlacementMessage::Ask(Box::new(ask)), owner)
        .await;
    let Ok(Ok(found)) = timeout(ANSWER, answer).await else {
        core.placement_client.leave(owner, clock::now());
        info!(event = events::PEER, %owner, shard = shard.number, "the owner of a shard does not answer");
        return None;
    };
    core.fleet.take(selection, found?, asked, clock::now())
}

/// Tells the owner of an engine's shard of a prompt that it did not place.
fn tell(core: &Core, flight: &mut Flight, division: Division, left: Duration) {
    let shard = division.shard(flight.seed());
    if let Some(Owner::Other(addr)) = owner(core, shard, &core.peers.roster()) {
        let asked = core.placement_client.tell(addr, flight, left);
        flight.share(asked);
    }
}
