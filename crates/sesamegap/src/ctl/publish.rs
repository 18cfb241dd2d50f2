//! From a file to edits.

use super::file::Publishable;
use crate::admin::{ChangeRequest, RawEdit, TreeAnswer};
use sesamegap_settings::tree::diff;
use sesamegap_settings::{ChangeId, Edit, Findings, SettingsError, Tree};
use sesamegap_wire::Offset;
use smol_str::SmolStr;

/// The edits that make the content of a file out of the tree in force.
///
/// Of a whole tree only the differences are published. If others published after the file was
/// made, their changes show up as differences that this one would take back; the base then turns
/// them into a conflict, which is what the operator has to know.
///
/// # Errors
/// If the tree in force cannot be read by this version of the program.
pub fn edits(content: Publishable, current: &TreeAnswer) -> Result<Vec<Edit>, SettingsError> {
    let wanted = match content {
        Publishable::Edits(edits) => return Ok(edits),
        Publishable::Tree(tree) => tree,
    };
    let mut findings = Findings::default();
    let tree = Tree::read(&current.tree, "", &mut findings);
    if findings.is_empty() {
        Ok(diff(&tree, &wanted))
    } else {
        Err(SettingsError::Invalid(findings))
    }
}

/// What is published beside the edits.
#[derive(Debug, Clone)]
pub struct Publication {
    /// Revision that the operator had seen.
    pub base: Offset,
    /// Who publishes.
    pub by: SmolStr,
    /// Why.
    pub note: String,
    /// Identifies the change.
    pub id: ChangeId,
}

impl Publication {
    /// The body to send.
    pub fn request(self, edits: Vec<Edit>) -> ChangeRequest {
        ChangeRequest {
            id: Some(self.id),
            base: self.base,
            by: self.by,
            note: self.note,
            edits: edits.into_iter().map(RawEdit::from).collect(),
        }
    }
}

/// A new change id, of the time and random bits, so that no two operators draw the same.
pub fn fresh_id() -> ChangeId {
    ChangeId(uuid::Uuid::now_v7().as_u128())
}
