//! The settings tree of sesamegap: reading, checking, inheriting, folding.
//!
//! Operators publish changes to a tree of teams, model deployments, plain services and traffic
//! classes. A [`document`] is a file read with the place of each value; [`schema`] says which
//! keys there are and what each allows; the [`tree`] holds what operators wrote and finds where a
//! value is inherited from. A [`change`] travels through the platform's log, and the [`fold`]
//! decides in offset order, the same in every process, which changes are accepted. What the rest
//! of the system reads is the [`Catalogue`]: the tree with every inheritance resolved and every
//! value checked.

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
