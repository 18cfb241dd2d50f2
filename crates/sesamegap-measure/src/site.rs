//! What is assumed of the two sites, in one place with reasons.
//!
//! The users give numbers of workers, failure domains, teams and the block size. The rest is
//! assumed: 50 µs a prompt token is a large model on a few donated accelerators, so a missed
//! dossier of 16 blocks costs 3.3 s against 0.1 s for a question about one that is cached. Memory
//! holds every dossier in use about once, but not twice: that is where placement matters.

use clap::ValueEnum;
use std::time::Duration;

/// Tokens in a cache block, as the users say.
pub const BLOCK: u64 = 4096;

/// Shares of the traffic of 8 teams, a few of them large.
pub const TEAMS: [f64; 8] = [0.30, 0.22, 0.15, 0.10, 0.08, 0.06, 0.05, 0.04];

/// Requests an engine answers at once: what memory beside the cache allows.
pub const SLOTS: usize = 24;

/// Seconds a token of an answer takes with few others in the batch.
pub const DECODE: f64 = 0.02;

/// Fixed seconds to start a prompt.
pub const START: f64 = 0.01;

/// Who asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum SiteName {
    /// Desai Grid Connect: long reviews of dossiers, clause checks.
    Desai,
    /// Vannas Plāns: layout checks of projects, questions on tile standards.
    Vannas,
}

/// A kind of prompt: preamble, document, form, and a part of its own.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Name of the traffic class.
    pub class: &'static str,
    /// Share of the requests.
    pub share: f64,
    /// Documents of all teams together; each team has its share.
    pub documents: f64,
    /// Shortest and longest document, in blocks.
    pub blocks: (u64, u64),
    /// Forms or rooms of each document, one block each.
    pub forms: u64,
    /// Tokens of the answer.
    pub answer: u64,
    /// Time to the first token after which the answer is useless.
    pub deadline: Duration,
    /// Priority.
    pub priority: u8,
    /// Weight of a recomputed token.
    pub thrift: f64,
}

/// One site.
#[derive(Debug, Clone)]
pub struct Site {
    /// Workers, spread over three failure domains.
    pub engines: usize,
    /// Routers: the users run 7 to 9 entry VMs.
    pub routers: usize,
    /// Blocks that one worker's cache holds.
    pub memory: usize,
    /// Seconds a prompt token takes on each worker, in turn: donated hardware is uneven.
    pub speeds: &'static [f64],
    /// Requests a second: a quarter to a third of what the workers can do with good placement,
    /// and more than they can do with the prefixes computed anew each time.
    pub rate: f64,
    /// Seconds between failure domains.
    pub across: f64,
    /// Long prompts, then short ones.
    pub kinds: [Kind; 2],
}

impl SiteName {
    /// The assumptions for a site.
    pub fn site(self) -> Site {
        match self {
            Self::Desai => Site {
                engines: 9,
                routers: 7,
                memory: 250,
                speeds: &[4e-5, 5e-5, 6e-5],
                rate: 14.0,
                across: 0.0015,
                kinds: [
                    Kind {
                        class: "review",
                        share: 0.6,
                        documents: 80.0,
                        blocks: (8, 24),
                        forms: 8,
                        answer: 80,
                        deadline: Duration::from_secs(8),
                        priority: 1,
                        // A recomputed token counts most: dossiers are huge, hardware is donated.
                        thrift: 3.0,
                    },
                    Kind {
                        class: "check",
                        share: 0.4,
                        documents: 80.0,
                        blocks: (1, 2),
                        forms: 1,
                        answer: 60,
                        deadline: Duration::from_millis(2500),
                        priority: 2,
                        thrift: 2.0,
                    },
                ],
            },
            Self::Vannas => Site {
                engines: 12,
                routers: 9,
                memory: 190,
                speeds: &[4.5e-5, 5e-5, 5.5e-5],
                rate: 22.0,
                across: 0.0005,
                kinds: [
                    Kind {
                        class: "layout",
                        share: 0.6,
                        documents: 130.0,
                        blocks: (4, 14),
                        forms: 6,
                        answer: 120,
                        deadline: Duration::from_secs(4),
                        priority: 1,
                        // Time counts most: a crew on site waits.
                        thrift: 1.5,
                    },
                    Kind {
                        class: "question",
                        share: 0.4,
                        documents: 60.0,
                        blocks: (1, 3),
                        forms: 1,
                        answer: 100,
                        deadline: Duration::from_secs(2),
                        priority: 2,
                        thrift: 1.0,
                    },
                ],
            },
        }
    }
}
