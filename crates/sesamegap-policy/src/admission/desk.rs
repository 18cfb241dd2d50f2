//! Decides whether a prompt is placed, waits or is refused.

use super::line::{Line, Rank};
use super::reserve::Reserve;
use super::room::{Ask, Backlog, Keep};
use super::{Action, PutOff};
use crate::load::limits::{Jitter, Refused, RequestHash, ReturnSchedule, ReturnTime};
use crate::load::queue;
use sesamegap_wire::Moment;
use std::time::Duration;

/// Shortest wait before a prompt asks again: a few round trips between VMs.
const MIN_WAIT: Duration = Duration::from_millis(12);

/// Longest wait before a prompt asks again: engines may free up sooner than expected.
const MAX_WAIT: Duration = Duration::from_millis(60);

/// Least time to return: an earlier return would meet the same backlog.
const MIN_RETURN: Duration = Duration::from_millis(250);

/// Part of an objective that a prompt may wait which is too long to be served within it.
const LONG_PROMPT_DIVISOR: u32 = 4;

/// Share of their prefill rate that engines reach, beside decoding and gaps between prompts.
const UTILIZATION: f64 = 0.7;

/// The decision on a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may run at the engines that have room under these terms.
    Place(Keep),
    /// It may not run now.
    PutOff(PutOff),
}

/// Decides on the prompts of one shard.
#[derive(Debug, Default)]
pub struct Desk {
    line: Line,
    reserve: Reserve,
    returns: ReturnSchedule,
}

impl Desk {
    /// Decides on a prompt, given the backlogs of the engines that accept it.
    pub fn decide(&mut self, ask: &Ask, engines: &[Backlog], now: Moment) -> Verdict {
        self.line.expire(now);
        let rank = Rank {
            priority: ask.priority,
            excess: ask.excess,
            arrived: now.saturating_sub(ask.waited),
        };
        let before = self.line.before(ask.key, rank);
        let reserve = match ask.urgent_objective {
            Some(_) => self.reserve.update(engines, now),
            None => 0,
        };
        let rooms = |exceed| -> u64 {
            let keep = Keep { reserve, exceed };
            engines.iter().map(|engine| engine.rooms(ask, keep)).sum()
        };
        if rooms(true) > before.count {
            self.line.leave(ask.key);
            let exceed = rooms(false) == 0;
            return Verdict::Place(Keep { reserve, exceed });
        }
        let turn = time_to_turn(ask, engines, before.tokens);
        let waits = turn <= patience(ask, engines);
        let wait = (turn / 2).clamp(MIN_WAIT, MAX_WAIT);
        let joined = waits && self.line.join(ask.key, rank, ask.tokens, wait, now);
        let action = if joined {
            Action::Wait(wire_millis(wait))
        } else {
            self.line.leave(ask.key);
            Action::Refuse(wire_millis(self.return_time(ask, engines, turn, now)))
        };
        Verdict::PutOff(PutOff {
            action,
            before: u32::try_from(before.count).unwrap_or(u32::MAX),
            turn_ms: wire_millis(turn),
        })
    }

    /// When the caller of a refused prompt should return.
    fn return_time(
        &mut self,
        ask: &Ask,
        engines: &[Backlog],
        turn: Duration,
        now: Moment,
    ) -> Duration {
        let refused = Refused {
            request: RequestHash(ask.key),
            rank: queue::Rank::new(ask.excess, u8::MAX - ask.priority),
            earliest: turn,
            work: time_at_all(ask.tokens, engines),
            patience: ask.left,
        };
        let jitter = Jitter::of_hash(ask.key);
        let after = match self.returns.reserve(&refused, now, jitter) {
            ReturnTime::Slot(after) => after,
            ReturnTime::Late { useful } => useful,
        };
        after.max(MIN_RETURN)
    }

    /// Whether a prompt has a place in the line.
    pub fn is_waiting(&self, key: u64) -> bool {
        self.line.contains(key)
    }

    /// Number of waiting prompts.
    pub fn waiting(&self) -> usize {
        self.line.len()
    }
}

/// Expected time until a prompt has room: the line before it at the rate of all engines, and the time until the first of
/// them has room.
fn time_to_turn(ask: &Ask, engines: &[Backlog], before: u64) -> Duration {
    let room = engines.iter().map(|engine| engine.time_to_room(ask)).min();
    time_at_all(before, engines) + room.unwrap_or(MIN_RETURN)
}

/// How long a prompt may still wait and be served within its objective.
///
/// One that takes longer than its objective anyway may wait a part of it: refusing it for good would not serve its
/// caller better.
fn patience(ask: &Ask, engines: &[Backlog]) -> Duration {
    let rate = engines.iter().map(|engine| engine.rate).fold(1.0, f64::max);
    let own = Duration::from_secs_f64(ask.tokens as f64 / rate / 1_000.0);
    let in_time = ask.objective.saturating_sub(own);
    let longest = in_time.max(ask.objective / LONG_PROMPT_DIVISOR);
    longest.min(ask.left).saturating_sub(ask.waited)
}

/// Time in which the engines together prefill this many tokens.
fn time_at_all(tokens: u64, engines: &[Backlog]) -> Duration {
    let rate: f64 = engines.iter().map(|engine| engine.rate).sum();
    Duration::from_secs_f64(tokens as f64 / (rate * UTILIZATION).max(1.0) / 1_000.0)
}

fn wire_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
