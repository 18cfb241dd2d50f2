//! The settings of sesamegap: parsing, validation, inheritance and replication through a log.
//!
//! Operators publish changes to a tree of teams, model deployments, plain services and traffic
//! classes. A [`document`] is a settings file parsed with the location of each value; the
//! [`schema`] defines the keys and their allowed values; the [`tree`] stores what operators wrote
//! and resolves inheritance. A [`change`] is appended to the platform's log, and the [`fold`]
//! applies the log in offset order, so that every process accepts the same changes. The rest of
//! the system reads the [`Catalogue`]: the validated tree with all inherited values filled in.

pub mod catalogue;
pub mod change;
pub mod document;
pub mod error;
pub mod findings;
pub mod fold;
pub mod keys;
pub mod schema;
pub mod tree;

pub use catalogue::{Catalogue, ClassSpec, ModelSpec, ServiceSpec, TeamSpec};
pub use change::{Change, ChangeId, Edit};
pub use document::Document;
pub use error::SettingsError;
pub use findings::{Finding, Findings, Place};
pub use fold::{Fold, Outcome};
pub use keys::{Keys, key_hash, matches};
pub use tree::{Tree, TreePath};
