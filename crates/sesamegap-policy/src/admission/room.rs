//! Whether an engine has room for a prompt.

use std::time::Duration;

/// Time that an engine takes for a first token besides prefilling: a chunk in progress, and the first decode step.
const FIRST_STEP: Duration = Duration::from_millis(80);

/// Part of an engine's slots that the most urgent prompts may exceed: engines admit them first and preempt others. Among
/// equals, each waits for an answer's time divided by the slots, so that a quarter more costs a quarter of that time.
const URGENT_EXCESS_DIVISOR: u32 = 4;

/// Part of its objective for which a prompt beyond its team's share may find work before it: it uses engines that are
/// nearly idle, and leaves the queue to teams within theirs.
const EXCESS_DIVISOR: u32 = 4;

/// A prompt that asks for an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ask {
    /// Identifies the prompt each time it asks.
    pub key: u64,
    /// Its priority at the engine; 0 is the most urgent.
    pub priority: u8,
    /// Its length in tokens.
    pub tokens: u64,
    /// Time from its arrival within which its first token is due.
    pub objective: Duration,
    /// Shortest objective of the more urgent prompts of its service; `None` if no class is more urgent.
    pub urgent_objective: Option<Duration>,
    /// Time since its arrival.
    pub waited: Duration,
    /// Time until its caller gives up.
    pub left: Duration,
    /// Whether its team exceeds its share of the engines under overload.
    pub excess: bool,
    /// Whether the asking VM decides without the knowledge of other VMs' prompts.
    pub alone: bool,
}

/// What engines keep free, and how far they are filled beyond their slots.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Keep {
    /// Slots that each engine keeps for more urgent prompts.
    pub reserve: u32,
    /// Whether the most urgent prompts may exceed the slots, since no engine has a free one.
    pub exceed: bool,
}

impl Ask {
    /// Time from now within which an engine should have worked off what is before the prompt, and itself.
    fn time_left(&self) -> Duration {
        let objective = if self.excess {
            self.objective / EXCESS_DIVISOR
        } else {
            self.objective
        };
        objective.saturating_sub(self.waited)
    }
}

/// The work that an engine has taken.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Backlog {
    /// Prompt tokens that it has not prefilled.
    pub unread: u64,
    /// The part of these that it prefills before the asking prompt.
    pub before: u64,
    /// The part of these that the deciding VM sent itself.
    pub own: u64,
    /// Running requests.
    pub running: u32,
    /// The part of these that are more urgent than the asking prompt.
    pub urgent: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Tokens that it prefills per millisecond.
    pub rate: f64,
}

impl Backlog {
    /// Time to prefill this many tokens.
    pub fn time_for(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.rate.max(1.0) / 1_000.0)
    }

    /// Expected time from now to the first token of a prompt.
    pub fn first_token(&self, ask: &Ask) -> Duration {
        self.time_for(self.before.saturating_add(ask.tokens)) + FIRST_STEP
    }

    /// Free slots that a prompt of this urgency may use.
    ///
    /// Less urgent prompts leave the reserve, as far as urgent ones do not use it already. The most urgent may exceed the
    /// slots by a part, since the engine preempts others for them; beyond that they would only wait for each other.
    fn free_slots(&self, ask: &Ask, keep: Keep) -> u32 {
        let usable = match ask.urgent_objective {
            Some(_) => {
                let kept = keep.reserve.saturating_sub(self.urgent);
                self.slots.saturating_sub(kept).max(1)
            }
            None if keep.exceed => self
                .slots
                .saturating_add(self.slots / URGENT_EXCESS_DIVISOR),
            None => self.slots,
        };
        usable.saturating_sub(self.running)
    }

    /// Tokens that the engine prefills in this time.
    fn tokens_in(&self, time: Duration) -> u64 {
        let micros = time.mul_f64(self.rate.max(1.0)).as_micros();
        u64::try_from(micros / 1_000).unwrap_or(u64::MAX)
    }

    /// Number of prompts like this one that the engine's prefill work permits now.
    fn prompts_permitted(&self, ask: &Ask) -> u64 {
        let own_left = ask.time_left().saturating_sub(FIRST_STEP);
        let own = self.tokens_in(own_left).saturating_sub(self.before);
        let others = ask.urgent_objective.map_or(u64::MAX, |urgent| {
            self.tokens_in(urgent).saturating_sub(self.unread)
        });
        let permitted = own.min(others) / ask.tokens.max(1);
        permitted.max(u64::from(self.unread == 0))
    }

    /// Time until the engine's prefill work permits the prompt; zero if it does now.
    ///
    /// Its own objective must be met, and the work that an urgent prompt finds here must not take longer than that one's
    /// objective, as engines do not interrupt a prompt in every case. Without prefill work any length is permitted: the
    /// longest prompts could otherwise never run.
    pub fn time_to_room(&self, ask: &Ask) -> Duration {
        if self.unread == 0 {
            return Duration::ZERO;
        }
        let own = self.first_token(ask).saturating_sub(ask.time_left());
        let others = ask.urgent_objective.map_or(Duration::ZERO, |urgent| {
            self.time_for(self.unread.saturating_add(ask.tokens))
                .saturating_sub(urgent)
        });
        let wait = own.max(others);
        wait.min(self.time_for(self.unread))
    }

    /// Number of prompts like this one that may be sent to the engine now.
    ///
    /// A VM that decides alone knows nothing of what others send at the same moment, so it sends one prompt at a time to
    /// an engine: all VMs together exceed an engine's room by at most one prompt each.
    pub fn rooms(&self, ask: &Ask, keep: Keep) -> u64 {
        let slots = u64::from(self.free_slots(ask, keep));
        let permitted = self.prompts_permitted(ask).min(slots);
        match ask.alone {
            true if self.own > 0 => 0,
            true => permitted.min(1),
            false => permitted,
        }
    }

    /// Whether the prompt may be sent to the engine now.
    pub fn has_room(&self, ask: &Ask, keep: Keep) -> bool {
        self.rooms(ask, keep) > 0
    }
}
