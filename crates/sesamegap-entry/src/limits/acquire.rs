//! Permits requests to upstreams that name a limit.
//!
//! Every request passes [`acquire`] at the VM that sends it to the upstream: first attempts, retries, streams that go on
//! elsewhere, trials of the quarantine, and requests that a gateway sends on for a peer.

use super::client::LimitClient;
use super::permit::SendPermit;
use crate::clock;
use crate::core::{Core, Phase};
use crate::peers::encode_limits;
use crate::telemetry::events;
use crate::upstream::gateway::Destination;
use sesamegap_policy::routing::upstream_limits::{
    Counter, LimitNews, Message, NO_ANSWER_PAUSE, PERMIT_TTL, Verdict,
};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;
use tracing::info;

/// Longest wait for the answer of a VM that counts: about ten round trips between failure domains.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);

/// The upstream takes no request of this VM for now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed;

/// Permits one request to an upstream.
///
/// A VM that is not permitted must not send: no answer, no VM to ask, or another VM that counts elsewhere are no permits.
///
/// # Errors
/// If the upstream takes no more requests for now.
pub async fn acquire(
    core: &Core,
    destination: &Destination,
    request: &SmolStr,
) -> Result<SendPermit, Closed> {
    let client = &core.limits;
    let life = destination.life;
    let asked_at = clock::now();
    let known = {
        let limits = client.known.lock();
        let known = limits.news_in_force(life, asked_at);
        if known.is_some() && limits.closed_until(life, asked_at).is_some() {
            return Err(Closed);
        }
        known
    };
    let Some(news) = known else {
        return Ok(SendPermit::unlimited());
    };
    let counter = core.peers.counter(life, core.phase() == Phase::Serving);
    let until = asked_at + PERMIT_TTL;
    let (verdict, permit) = match counter {
        Counter::Here(place) => {
            let verdict = client.known.lock().try_grant(life, place, asked_at);
            let granted = verdict == Verdict::Granted;
            let permit =
                granted.then(|| SendPermit::granted_here(until, client.known.clone(), life));
            (verdict, permit)
        }
        Counter::At(vm) => {
            let verdict = ask(core, client, vm, news).await;
            let granted = verdict == Verdict::Granted;
            let permit = granted.then(|| SendPermit::granted_by_peer(until));
            (verdict, permit)
        }
        Counter::Nobody => (Verdict::NotCounting, None),
    };
    if let Some(permit) = permit {
        return Ok(permit);
    }
    if has_ended(client, life, verdict) {
        return Ok(SendPermit::unlimited());
    }
    let wait = match verdict {
        Verdict::Closed(ms) => Duration::from_millis(u64::from(ms)),
        _ => NO_ANSWER_PAUSE,
    };
    client.known.lock().close(life, clock::now() + wait);
    info!(event = events::LIMITED, %request, upstream = %destination.id, rate = news.rate.map(tracing::field::display), known_ms = news.received_ms, ?counter, ?verdict, wait_ms = clock::millis(wait), "not sent");
    Err(Closed)
}

/// Returns the permit if it still holds, or else acquires another one: connecting may have taken as long as it holds.
///
/// # Errors
/// If the upstream takes no more requests for now.
pub async fn renew(
    core: &Core,
    destination: &Destination,
    request: &SmolStr,
    permit: SendPermit,
) -> Result<SendPermit, Closed> {
    if permit.is_valid(clock::now()) {
        return Ok(permit);
    }
    drop(permit);
    acquire(core, destination, request).await
}

/// Whether the VM that counts knows that the limit has ended, and nothing newer is known here.
fn has_ended(client: &LimitClient, life: u64, verdict: Verdict) -> bool {
    let Verdict::Ended(news) = verdict else {
        return false;
    };
    let mut limits = client.known.lock();
    limits.learn(&news, clock::now());
    limits.rate(life).is_none()
}

/// Asks a VM that counts. One that does not answer gives no permit, and neither does an answer that is lost.
async fn ask(core: &Core, client: &LimitClient, vm: SocketAddr, news: LimitNews) -> Verdict {
    let mut question = client.start_question();
    let number = question.number;
    if let Some(bytes) = encode_limits(&Message::Ask { number, news }) {
        core.peers.socket.send(&bytes, vm).await;
    }
    let answer = timeout(ANSWER_TIMEOUT, &mut question.verdict).await;
    answer
        .ok()
        .and_then(Result::ok)
        .unwrap_or(Verdict::NotCounting)
}
