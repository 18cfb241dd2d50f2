//! Lets the entry VM that owns the shard of a prompt's home place the prompt.
//!
//! [`choose`] queries the owner with a datagram. If no answer comes within a few round trips, this
//! VM places the prompt by what it knows itself, and sends its queries to the next VM in rank for a
//! while. So an owner that is dead, paused or partitioned delays one prompt by that timeout.
//! Reports that a placed prompt was prefilled or has ended go out with the next datagrams
//! ([`PlacementClient`]); prompts without reports expire at the owner.

mod client;
mod message;
mod owner;

pub use client::{PlacementClient, TrackedPrompt};
pub use message::{ChosenEngine, PlacementAnswer, PlacementMessage, PlacementQuery, PromptReport};
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

/// Timeout of a query to an owner: about ten times a round trip across failure domains, and a small
/// part of any latency objective.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);

/// The VM that places a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Owner {
    /// This VM.
    Local,
    /// Another VM, by the address of its datagram socket.
    Remote(SocketAddr),
}

/// Chooses an upstream for a request with this much time left, and counts the request there.
pub async fn choose(core: &Core, selection: &Selection<'_>, left: Duration) -> Option<Flight> {
    let Some((shard, owner)) = find_owner(core, selection) else {
        return core.fleet.choose(selection, clock::now());
    };
    let flight = match owner {
        // Owners place prompts at any software version: their messages name none.
        _ if selection.software.is_some() => None,
        Owner::Local => {
            let in_shard = Selection {
                shard: Some(shard),
                ..*selection
            };
            core.fleet.choose(&in_shard, clock::now())
        }
        Owner::Remote(addr) => query(core, selection, shard, addr, left).await,
    };
    if flight.is_some() {
        return flight;
    }
    let mut flight = core.fleet.choose(selection, clock::now())?;
    report_begun(core, &mut flight, shard.division, left);
    Some(flight)
}

/// The shard of a prompt's home and its owner.
///
/// None if the request has no prompt or goes to the least loaded engine, or if there are so few VMs
/// that each announces its prompts to all others.
fn find_owner(core: &Core, selection: &Selection<'_>) -> Option<(Shard, Owner)> {
    if selection.least_loaded {
        return None;
    }
    selection.shape?;
    let roster = core.peers.roster();
    if roster.len() <= SMALL {
        return None;
    }
    let shard = core.fleet.lock().home_shard(selection, clock::now())?;
    let owner = owner(core, shard.number, &roster)?;
    Some((shard, owner))
}

/// The owner of a shard among the VMs that have not recently failed to answer.
fn owner(core: &Core, shard: u32, roster: &[(u64, Option<SocketAddr>)]) -> Option<Owner> {
    let unresponsive = core.placement_client.unresponsive(clock::now());
    let is_responsive =
        |addr: &Option<SocketAddr>| addr.is_none_or(|at| !unresponsive.contains(&at));
    let responsive: Vec<_> = roster
        .iter()
        .filter(|(_, addr)| is_responsive(addr))
        .collect();
    let at = shards::owner(shard, responsive.iter().map(|(vm, _)| *vm))?;
    Some(responsive[at].1.map_or(Owner::Local, Owner::Remote))
}

/// Queries an owner; none if it does not answer, finds no engine, or names one that this VM may not
/// use.
async fn query(
    core: &Core,
    selection: &Selection<'_>,
    shard: Shard,
    owner: SocketAddr,
    left: Duration,
) -> Option<Flight> {
    let (tracked, answer) = core.placement_client.start_query(owner);
    let query = PlacementQuery::new(tracked.number(), selection, shard, left)?;
    core.placement_client
        .send(PlacementMessage::Ask(Box::new(query)), owner)
        .await;
    let Ok(Ok(chosen)) = timeout(ANSWER_TIMEOUT, answer).await else {
        core.placement_client.mark_unresponsive(owner, clock::now());
        info!(event = events::PEER, %owner, shard = shard.number, "shard owner does not answer");
        return None;
    };
    core.fleet
        .accept_placement(selection, chosen?, tracked, clock::now())
}

/// Reports a prompt to the owner of its engine's shard, which did not place it.
fn report_begun(core: &Core, flight: &mut Flight, division: Division, left: Duration) {
    let shard = division.shard(flight.seed());
    if let Some(Owner::Remote(addr)) = owner(core, shard, &core.peers.roster()) {
        let tracked = core.placement_client.report_begun(addr, flight, left);
        flight.set_owner(tracked);
    }
}
