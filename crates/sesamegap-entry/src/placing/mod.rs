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
pub use message::{
    ChosenEngine, PlacementAnswer, PlacementMessage, PlacementQuery, PromptReport, Terms,
};
pub use owner::{answer_query, apply_reports};

use crate::clock;
use crate::core::Core;
use crate::fleet::{Flight, NotChosen, Selection, Shard};
use crate::telemetry::events;
use sesamegap_policy::admission::PutOff;
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

/// Chooses an upstream for a request, and counts the request there.
///
/// # Errors
/// If no upstream is available, or the request is not admitted now.
pub async fn choose(core: &Core, selection: &Selection<'_>) -> Result<Flight, NotChosen> {
    let Some((shard, owner)) = find_owner(core, selection) else {
        return core.fleet.choose(selection, clock::now());
    };
    // Owners place prompts at any software version: their messages name none.
    let placed = if selection.software.is_some() {
        Err(NotChosen::NoUpstream)
    } else {
        place_in_shard(core, selection, shard, owner).await
    };
    let placed = match placed {
        Err(NotChosen::PutOff(put_off)) => {
            return place_elsewhere(core, selection, shard, put_off).await;
        }
        placed => placed,
    };
    if placed.is_ok() {
        return placed;
    }
    let alone = Selection {
        alone: true,
        ..*selection
    };
    let mut flight = core.fleet.choose(&alone, clock::now())?;
    report_begun(core, &mut flight, shard.division, selection.left);
    Ok(flight)
}

/// Lets the owner of a shard place a prompt. If it does not answer, the next VM in rank takes its place.
async fn place_in_shard(
    core: &Core,
    selection: &Selection<'_>,
    shard: Shard,
    owner: Owner,
) -> Result<Flight, NotChosen> {
    let placed = place_at(core, selection, shard, owner).await;
    let is_silent = matches!(placed, Err(OwnerError::NoAnswer));
    // Without admission, the prompt is placed at once by what this VM knows.
    let next = (is_silent && selection.terms.is_some()).then(|| {
        let roster = core.peers.roster();
        self::owner(core, shard.number, &roster)
    });
    let placed = match next.flatten() {
        Some(next) => place_at(core, selection, shard, next).await,
        None => placed,
    };
    placed.map_err(|error| match error {
        OwnerError::NoAnswer => NotChosen::NoUpstream,
        OwnerError::NotChosen(why) => why,
    })
}

async fn place_at(
    core: &Core,
    selection: &Selection<'_>,
    shard: Shard,
    owner: Owner,
) -> Result<Flight, OwnerError> {
    match owner {
        Owner::Local => {
            let in_shard = Selection {
                shard: Some(shard),
                ..*selection
            };
            let chosen = core.fleet.choose(&in_shard, clock::now());
            chosen.map_err(OwnerError::NotChosen)
        }
        Owner::Remote(addr) => query(core, selection, shard, addr).await,
    }
}

/// Places a prompt that its home's shard put off in a second shard, if that one has room at once.
///
/// A hot prefix may fill its home's shard while others are idle. A second shard without room records the prompt in its
/// line as well, where its place expires unless the prompt is put off at home again and asks there once more.
async fn place_elsewhere(
    core: &Core,
    selection: &Selection<'_>,
    first: Shard,
    put_off: PutOff,
) -> Result<Flight, NotChosen> {
    let refused = Err(NotChosen::PutOff(put_off));
    let second = core
        .fleet
        .lock()
        .second_shard(selection, first, clock::now());
    let Some(second) = second else {
        return refused;
    };
    let Some(owner) = owner(core, second.number, &core.peers.roster()) else {
        return refused;
    };
    let placed = place_at(core, selection, second, owner).await;
    placed.or(refused)
}

/// Why an owner did not place a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnerError {
    /// It does not answer.
    NoAnswer,
    /// It chose no engine, or one that this VM may not use.
    NotChosen(NotChosen),
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

/// Queries an owner.
///
/// # Errors
/// If it does not answer, does not admit the prompt, finds no engine, or names one that this VM may not use.
async fn query(
    core: &Core,
    selection: &Selection<'_>,
    shard: Shard,
    owner: SocketAddr,
) -> Result<Flight, OwnerError> {
    let no_upstream = OwnerError::NotChosen(NotChosen::NoUpstream);
    let client = &core.placement_client;
    let (tracked, answer) = client.start_query(owner, shard, clock::now());
    let query = PlacementQuery::new(tracked.number(), selection, shard).ok_or(no_upstream)?;
    core.placement_client
        .send(PlacementMessage::Ask(Box::new(query)), owner)
        .await;
    let Ok(Ok(answer)) = timeout(ANSWER_TIMEOUT, answer).await else {
        core.placement_client.mark_unresponsive(owner, clock::now());
        info!(event = events::PEER, %owner, shard = shard.number, "shard owner does not answer");
        return Err(OwnerError::NoAnswer);
    };
    if let Some(put_off) = answer.put_off {
        return Err(OwnerError::NotChosen(NotChosen::PutOff(put_off)));
    }
    let chosen = answer.chosen.ok_or(no_upstream)?;
    core.fleet
        .accept_placement(selection, chosen, tracked, clock::now())
        .ok_or(no_upstream)
}

/// Reports a prompt to the owner of its engine's shard, which did not place it.
fn report_begun(core: &Core, flight: &mut Flight, division: Division, left: Duration) {
    let shard = Shard {
        division,
        number: division.shard(flight.seed()),
    };
    if let Some(Owner::Remote(addr)) = owner(core, shard.number, &core.peers.roster()) {
        let tracked = core
            .placement_client
            .report_begun(addr, shard, flight, left);
        flight.set_owner(tracked);
    }
}
