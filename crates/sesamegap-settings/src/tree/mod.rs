//! The tree that operators write, and what each object inherits.
//!
//! An object's value for a field is its own, else that of the nearest group whose defaults set
//! it, else the built-in one. [`group`] holds the nodes, [`path`] names them, `edit` changes them
//! with an undo, and [`inherit`] resolves one object at a time, so that a change of one team among
//! thousands costs no more than that team.

pub mod diff;
pub(crate) mod edit;
pub mod group;
pub mod inherit;
pub mod path;

pub use diff::diff;
pub use group::Group;
pub use inherit::{Effective, Origin};
pub use path::TreePath;

use crate::findings::Findings;
use serde_json::Value;

/// The whole tree.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tree {
    pub(crate) root: Group,
}

impl Tree {
    /// Reads a tree, with a finding for each thing that is wrong in itself.
    ///
    /// What refers to something else is checked by [`Catalogue::resolve`](crate::Catalogue::resolve).
    pub fn read(value: &Value, path: &str, findings: &mut Findings) -> Self {
        Self {
            root: Group::read(value, path, findings),
        }
    }

    /// The tree as operators write it.
    pub fn to_value(&self) -> Value {
        self.root.to_value()
    }
}
