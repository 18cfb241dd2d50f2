//! Decisions of an entry VM that knows only its own traffic and what answers tell it.
//!
//! [`engines`] picks the engine of a prompt given as named parts, [`transfers`] says where cached
//! parts come from, [`plain`] picks the worker of a plain service, [`budget`] bounds repeats over all
//! entry VMs without a message between them, [`patience`] tells a silent upstream from a slow one,
//! [`silence`] what others say of it, [`belief`] whether an upstream is there and in which life,
//! [`reading`] when a VM reads the store itself, [`telling`] whom a VM tells of its load, [`weights`]
//! until when a request may begin on older ones, and [`rolls`] picks the engines that take new weights
//! next. In a large fleet [`shards`] says which VM places the prompts of which engines, and [`placed`]
//! counts what it has placed for others.

pub mod belief;
pub mod budget;
pub mod engines;
pub mod patience;
pub mod placed;
pub mod plain;
pub mod reading;
pub mod recall;
pub mod rolls;
pub mod shards;
pub mod silence;
pub mod telling;
pub mod transfers;
pub mod weights;

/// Whether an upstream takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Openness {
    /// It does, as far as is known.
    Open,
    /// It lately failed to answer.
    Suspect,
    /// Nothing new may go there: it leaves, or takes new weights.
    Paused,
}
