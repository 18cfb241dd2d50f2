//! Which few engines of a large service are considered for a prompt.
//!
//! With 9,715 engines, comparing the state of all of them takes ten milliseconds of a core per prompt, and the VMs that
//! place prompts have an eighth of a core. The rank of an engine for a prefix needs no state, and nearly every prompt
//! runs at one of the highest-ranked engines. So engines are ranked first, and only the state of the first few is
//! compared.

use super::engines::{Prompt, rank};

/// Engines of a service up to which all are compared.
pub const COMPARED: usize = 256;

/// Engines that are compared of a larger service, for each of three rankings: by the inner prefix among engines
/// reserved for such prompts and among all engines, and by the outer prefix. A queue at one engine, and the engines that
/// are down or loading weights, leave enough others.
const PER_RANKING: usize = 12;

/// Highest-ranked engines that are tried one by one before all that accept the prompt are determined.
const MAX_TRIES: usize = 8;

/// An engine, as far as its rank depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seat {
    /// Hash seed, identical on all VMs.
    pub seed: u64,
    /// Whether it is reserved for long prompts.
    pub long: bool,
}

/// The home of a prompt's innermost shared prefix among the engines that accept the prompt.
pub fn home(
    prompt: &Prompt,
    seats: &[Seat],
    mut accepts: impl FnMut(usize) -> bool,
) -> Option<usize> {
    let inner = prompt.inner().hash;
    let is_long = prompt.is_long();
    let key = |no: usize| (seats[no].long == is_long, rank(inner, seats[no].seed));
    let mut bound = None;
    for _ in 0..MAX_TRIES {
        let rest = (0..seats.len()).filter(|no| bound.is_none_or(|bound| key(*no) < bound));
        let best = rest.max_by_key(|no| key(*no))?;
        if accepts(best) {
            return Some(best);
        }
        bound = Some(key(best));
    }
    let open = (0..seats.len()).filter(|no| accepts(*no));
    open.max_by_key(|no| key(*no))
}

/// The engines to compare for a prompt among those that accept it.
pub fn nearest(
    prompt: &Prompt,
    seats: &[Seat],
    mut accepts: impl FnMut(usize) -> bool,
) -> Vec<usize> {
    if seats.len() <= COMPARED {
        return (0..seats.len()).collect();
    }
    let is_long = prompt.is_long();
    let (inner, outer) = (prompt.inner().hash, prompt.outer().hash);
    let same_kind = |no: &usize| seats[*no].long == is_long;
    let mut chosen = Vec::with_capacity(3 * PER_RANKING);
    for (prefix, same_only) in [(inner, true), (inner, false), (outer, true)] {
        let seats_of_kind = (0..seats.len()).filter(|no| !same_only || same_kind(no));
        let mut ranked: Vec<(u64, usize)> = seats_of_kind
            .map(|no| (rank(prefix, seats[no].seed), no))
            .collect();
        // Some of the first do not accept the prompt; more than half of all never does.
        let count = (PER_RANKING * 4).min(ranked.len());
        if count < ranked.len() {
            ranked.select_nth_unstable_by(count, |a, b| b.cmp(a));
            ranked.truncate(count);
        }
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let open = ranked.into_iter().map(|(_, no)| no);
        let open = open.filter(|no| accepts(*no)).take(PER_RANKING);
        chosen.extend(open);
    }
    chosen.sort_unstable();
    chosen.dedup();
    chosen
}
