//! Which addresses a caller is told.

use rand::Rng;
use rand::seq::SliceRandom;
use sesamegap_wire::DomainId;
use std::net::SocketAddr;

/// Addresses in one answer: a second one to go on with when the first fails, and a third for when
/// a failure domain is lost. More would only be tried after all three failed, and by then the
/// answer's time to live is over.
pub const NAMED: usize = 3;

/// A router that serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Where callers reach it.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
}

/// Picks a few routers, those of the caller's failure domain first.
///
/// Made for callers that all ask within a second after a router is lost. A fixed order would send
/// them all to one router, so the order is drawn anew for each answer. The last address is of
/// another failure domain than the first if there is one, since a domain fails as a whole.
pub fn choose(candidates: &[Candidate], home: &DomainId, rng: &mut dyn Rng) -> Vec<SocketAddr> {
    let mut order: Vec<&Candidate> = candidates.iter().collect();
    order.shuffle(rng);
    order.sort_by_key(|one| one.domain != *home);
    let Some(first) = order.first().map(|one| one.domain.clone()) else {
        return Vec::new();
    };
    let others_begin = order.iter().position(|one| one.domain != first);
    if let Some(at) = others_begin.filter(|at| *at >= NAMED) {
        order.swap(NAMED - 1, at);
    }
    order.iter().take(NAMED).map(|one| one.addr).collect()
}
