//! Admission of prompts to the engines for which this VM places them.

use super::{Fleet, Selection, Upstream};
use crate::placing::Terms;
use rustc_hash::FxHashMap;
use sesamegap_policy::admission::{Ask, Backlog, Desk, Keep, PutOff, Verdict};
use sesamegap_policy::load::limits::{Claim, Shares};
use sesamegap_policy::routing::Availability;
use sesamegap_policy::routing::engines::Engine;
use sesamegap_wire::{ModelId, Moment, ServiceId};

/// Number under which the prompts are admitted that this VM places over all shards.
const ALL_SHARDS: u32 = u32::MAX;

/// Why no upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotChosen {
    /// None is available.
    NoUpstream,
    /// The prompt is not admitted now.
    PutOff(PutOff),
}

/// The decisions on prompts of each shard, by service and number.
#[derive(Debug)]
pub(super) struct Admission {
    desks: FxHashMap<(ServiceId, u32), Desk>,
    /// Demand of teams, to tell what exceeds a team's share.
    shares: Shares,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            desks: FxHashMap::default(),
            shares: Shares::of_shard(),
        }
    }
}

impl Fleet {
    /// The work that an engine has taken, as a prompt of this priority finds it.
    pub(super) fn backlog(&self, upstream: &Upstream, priority: u8, now: Moment) -> Backlog {
        let placed = self.placements.at(upstream.life);
        // Peers report their prompts without priorities, so these count as urgent.
        let others = self
            .loads
            .total_at(upstream.life)
            .map_or(0, |held| held.unread);
        let own = upstream.levels.at_least(priority);
        Backlog {
            unread: self.unread(upstream),
            before: own
                .saturating_add(others)
                .saturating_add(placed.levels.at_least(priority)),
            own: upstream.unread,
            running: self.running(upstream, now),
            urgent: u32::try_from(placed.running_levels.above(priority)).unwrap_or(u32::MAX),
            slots: upstream.entry.slots,
            rate: self.admission_rate.per_ms() * self.speed(upstream, now).ratio(),
        }
    }
}

impl Admission {
    /// Admits a prompt, and marks the engines without room for it as unavailable.
    ///
    /// # Errors
    /// If it is not admitted now.
    pub(super) fn admit(
        &mut self,
        selection: &Selection<'_>,
        engines: &mut [Engine],
        backlogs: &[Backlog],
        now: Moment,
    ) -> Result<(), NotChosen> {
        let (Some(terms), Some(shape)) = (selection.terms, selection.shape) else {
            return Ok(());
        };
        let mut ask = terms.ask(shape.prompt.tokens, selection.left);
        ask.alone = selection.alone;
        let usable: Vec<Backlog> = engines
            .iter()
            .zip(backlogs)
            .filter(|(engine, _)| engine.state == Availability::Open)
            .map(|(_, backlog)| *backlog)
            .collect();
        if usable.is_empty() {
            return Ok(());
        }
        let number = selection.shard.map_or(ALL_SHARDS, |shard| shard.number);
        let key = (selection.service.clone(), number);
        let desk = self.desks.entry(key).or_default();
        ask.excess = is_excess(
            &mut self.shares,
            desk,
            terms,
            &shape.model,
            &ask,
            &usable,
            now,
        );
        match desk.decide(&ask, &usable, now) {
            Verdict::Place(keep) => {
                close_full(engines, backlogs, &ask, keep);
                Ok(())
            }
            Verdict::PutOff(put_off) => Err(NotChosen::PutOff(put_off)),
        }
    }
}

/// Whether a prompt exceeds its team's share of the engines; a prompt that asks again counts once.
fn is_excess(
    shares: &mut Shares,
    desk: &Desk,
    terms: &Terms,
    model: &str,
    ask: &Ask,
    engines: &[Backlog],
    now: Moment,
) -> bool {
    let (Some(team), Ok(model)) = (&terms.team, model.parse::<ModelId>()) else {
        return false;
    };
    let claim = Claim {
        model: &model,
        team,
        weight: 1.0,
        priority: u8::MAX - ask.priority,
        cost: ask.tokens,
    };
    let per_ms: f64 = engines.iter().map(|engine| engine.rate).sum();
    let rate = Some(per_ms * 1_000.0);
    if desk.is_waiting(ask.key) {
        shares.exceeds(&claim, rate, now)
    } else {
        shares.is_excess(&claim, rate, now)
    }
}

/// Marks engines without room for a prompt as unavailable.
fn close_full(engines: &mut [Engine], backlogs: &[Backlog], ask: &Ask, keep: Keep) {
    for (engine, backlog) in engines.iter_mut().zip(backlogs) {
        if !backlog.has_room(ask, keep) {
            engine.state = Availability::Paused;
        }
    }
}
