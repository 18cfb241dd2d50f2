//! Which engines take new weights next.
//!
//! Load: weights are named under full traffic, at times faster than they load. Harm prevented: so
//! many engines out at once that callers wait, or so few that answers come from old weights long
//! after new ones were named. A third of the engines is out at once: they drain in the time of an
//! answer, and two thirds carry the load, of which an engine has about half spare.

/// Part of a model's engines that may be out at once.
const AT_ONCE: f64 = 0.34;

/// An engine as the roll sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine {
    /// Whether it already has the newest weights.
    pub done: bool,
    /// Whether an order to it is under way.
    pub ordered: bool,
    /// Requests running there, as far as is known.
    pub running: u32,
    /// Whether it lately failed to answer.
    pub suspect: bool,
}

/// Engines to order next, the emptiest first since they drain soonest.
pub fn next(engines: &[Engine]) -> Vec<usize> {
    let most = ((engines.len() as f64 * AT_ONCE) as usize).max(1);
    let out = engines.iter().filter(|engine| engine.ordered).count();
    let mut due: Vec<usize> = (0..engines.len())
        .filter(|no| !engines[*no].done && !engines[*no].ordered)
        .collect();
    due.sort_by_key(|no| (engines[*no].suspect, engines[*no].running));
    due.truncate(most.saturating_sub(out));
    due
}
