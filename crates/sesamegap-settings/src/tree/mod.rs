//! The settings tree as written by operators, and its inheritance rules.
//!
//! A field's value is the one set on the object, else the one in the defaults of the nearest
//! enclosing group, else the built-in default. [`group`] defines the nodes, [`path`] addresses
//! them, `edit` modifies them with undo, and [`inherit`] resolves one object at a time, so that a
//! change of one team among thousands costs only the resolution of that team.

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

/// The settings tree as written by operators.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tree {
    pub(crate) root: Group,
}

impl Tree {
    /// Reads a tree; adds a finding for each value invalid on its own.
    ///
    /// References between objects are checked by [`Catalogue::resolve`](crate::Catalogue::resolve).
    pub fn read(value: &Value, path: &str, findings: &mut Findings) -> Self {
        Self {
            root: Group::read(value, path, findings),
        }
    }

    /// Converts the tree to JSON in the form that operators write.
    pub fn to_value(&self) -> Value {
        self.root.to_value()
    }
}
