//! Edits of the tree, one path at a time, with undo.

use super::path::{Slot, Target};
use super::{Group, Tree};
use crate::change::Edit;
use crate::findings::Findings;
use crate::schema::Kind;
use crate::schema::reader::{self, Values};
use serde_json::Value;
use smol_str::SmolStr;

/// Content of a path: a group, all values of an object, or one value.
#[derive(Debug, Clone)]
pub(crate) enum NodeValue {
    Group(Box<Group>),
    Values(Values),
    Value(Value),
}

/// A validated edit: the target and its new value; `None` removes the current one.
#[derive(Debug)]
pub(crate) struct TreeEdit {
    pub(crate) target: Target,
    pub(crate) piece: Option<NodeValue>,
}

/// Parses and validates an edit; adds findings and returns `None` if it is invalid.
pub(crate) fn step(edit: &Edit, findings: &mut Findings) -> Option<TreeEdit> {
    let path = edit.path.as_str();
    let target = match Target::parse(&edit.path) {
        Ok(target) => target,
        Err((wrong, allowed)) => {
            findings.add(path, wrong, allowed);
            return None;
        }
    };
    let before = findings.len();
    let piece = edit
        .value
        .as_ref()
        .and_then(|value| piece(&target, value, path, findings));
    (findings.len() == before).then_some(TreeEdit { target, piece })
}

fn piece(target: &Target, value: &Value, path: &str, findings: &mut Findings) -> Option<NodeValue> {
    match target.slot {
        Slot::Group => {
            let group = Group::read_below(value, path, target.groups.len(), findings);
            Some(NodeValue::Group(Box::new(group)))
        }
        Slot::Defaults(kind, None) | Slot::Item(kind, _, None) => Some(NodeValue::Values(
            reader::read(kind.fields(), value, path, findings),
        )),
        Slot::Defaults(kind, Some(index)) | Slot::Item(kind, _, Some(index)) => {
            let field = &kind.fields()[usize::from(index)];
            let fits = reader::check(field, value, path, findings);
            fits.then(|| NodeValue::Value(value.clone()))
        }
    }
}

/// Why a step cannot be applied: what is wrong, and what is allowed.
pub(crate) type EditError = (String, &'static str);

impl Tree {
    /// Applies a step and returns the step that undoes it.
    pub(crate) fn set(&mut self, step: TreeEdit) -> Result<TreeEdit, EditError> {
        let TreeEdit { target, piece } = step;
        let (last, above) = match (&target.slot, target.groups.split_last()) {
            (Slot::Group, Some((last, above))) => (Some(last), above),
            _ => (None, &target.groups[..]),
        };
        let group = self.descend(above)?;
        let old = match (&target.slot, last) {
            (Slot::Group, Some(name)) => set_group(group, name, piece)?,
            (Slot::Group, None) => None,
            (Slot::Defaults(kind, field), _) => {
                set_values(&mut group.defaults[*kind as usize], *field, piece)?
            }
            (Slot::Item(kind, name, None), _) => set_item(group, *kind, name, piece)?,
            (Slot::Item(kind, name, field), _) => {
                let own = group.items[*kind as usize].get_mut(name).ok_or_else(|| {
                    let wrong = format!("there is no {kind} `{name}` here");
                    (
                        wrong,
                        "a field of an existing object, or a whole object to create it",
                    )
                })?;
                set_values(own, *field, piece)?
            }
        };
        Ok(TreeEdit { target, piece: old })
    }

    fn descend(&mut self, names: &[SmolStr]) -> Result<&mut Group, EditError> {
        let mut group = &mut self.root;
        for name in names {
            group = group.groups.get_mut(name).ok_or_else(|| {
                let wrong = format!("there is no group `{name}` here");
                (
                    wrong,
                    "a path through existing groups, or a whole group to create it",
                )
            })?;
        }
        Ok(group)
    }
}

fn missing() -> EditError {
    (
        "there is nothing to remove here".to_owned(),
        "to remove what stands in the tree",
    )
}

fn set_group(
    above: &mut Group,
    name: &SmolStr,
    piece: Option<NodeValue>,
) -> Result<Option<NodeValue>, EditError> {
    let old = match piece {
        Some(NodeValue::Group(group)) => above.groups.insert(name.clone(), *group),
        _ => Some(above.groups.remove(name).ok_or_else(missing)?),
    };
    Ok(old.map(|group| NodeValue::Group(Box::new(group))))
}

fn set_item(
    group: &mut Group,
    kind: Kind,
    name: &SmolStr,
    piece: Option<NodeValue>,
) -> Result<Option<NodeValue>, EditError> {
    let items = &mut group.items[kind as usize];
    let old = match piece {
        Some(NodeValue::Values(values)) => items.insert(name.clone(), values),
        _ => Some(items.remove(name).ok_or_else(missing)?),
    };
    Ok(old.map(NodeValue::Values))
}

/// Replaces all values of an object, or sets or removes one field.
fn set_values(
    own: &mut Values,
    field: Option<u8>,
    piece: Option<NodeValue>,
) -> Result<Option<NodeValue>, EditError> {
    let Some(index) = field else {
        let values = match piece {
            Some(NodeValue::Values(values)) => values,
            _ => Values::new(),
        };
        return Ok(Some(NodeValue::Values(std::mem::replace(own, values))));
    };
    let at = own.binary_search_by_key(&index, |(index, _)| *index);
    let old = match (at, piece) {
        (Ok(at), Some(NodeValue::Value(value))) => Some(std::mem::replace(&mut own[at].1, value)),
        (Ok(at), _) => Some(own.remove(at).1),
        (Err(at), Some(NodeValue::Value(value))) => {
            own.insert(at, (index, value));
            None
        }
        (Err(_), _) => return Err(missing()),
    };
    Ok(old.map(NodeValue::Value))
}
