//! The operator's configuration for callers' requests: routes, services, limits and teams.
//!
//! The operator publishes complete [`Document`]s with increasing revisions. A [`Catalogue`] indexes one of them
//! for lookups by requests. A process never returns to an older revision, even if the store or a peer delivers
//! one.
//!
//! Among VMs a document travels as a set of entries: each route, each team, and what is left. A newer document shares the
//! entries that it has in common with the one before, so that a change is sent, decoded and indexed without the rest.

mod document;
mod entries;
mod exchange;
mod index;

pub use document::{
    Additions, Document, EngineSpec, Kind, KvStore, Limits, Quota, Quotas, Revision, Route,
    Service, Target, Team, Unit,
};
pub use entries::Entry;
pub use exchange::{Answer, answer, apply_answer};
pub use index::{Catalogue, NoRoute};
