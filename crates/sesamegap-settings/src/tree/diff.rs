//! Computes the edits that turn one tree into another.

use super::path::TreePath;
use super::{Group, Tree};
use crate::change::Edit;
use crate::schema::Kind;
use crate::schema::reader::{Values, join};
use serde_json::Value;
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// Collects edits.
struct Edits(Vec<Edit>);

impl Edits {
    fn push(&mut self, path: &str, value: Option<Value>) {
        let path: TreePath = path.parse().expect("a path made of a tree's own names");
        self.0.push(Edit { path, value });
    }
}

/// The minimal edits that turn `from` into `to`, removals first.
///
/// With removals first, an object moved between groups never exists twice.
pub fn diff(from: &Tree, to: &Tree) -> Vec<Edit> {
    let mut edits = Edits(Vec::new());
    groups(&from.root, &to.root, "", &mut edits);
    let (removed, set): (Vec<Edit>, Vec<Edit>) =
        edits.0.into_iter().partition(|edit| edit.value.is_none());
    removed.into_iter().chain(set).collect()
}

fn groups(from: &Group, to: &Group, path: &str, edits: &mut Edits) {
    for kind in Kind::ALL {
        let path = join(path, &format!("defaults/{kind}"));
        let (old, new) = (&from.defaults[kind as usize], &to.defaults[kind as usize]);
        fields(kind, old, new, &path, edits);
    }
    for kind in Kind::ALL {
        let path = join(path, kind.plural());
        let (old, new) = (&from.items[kind as usize], &to.items[kind as usize]);
        children(old, new, &path, edits, |old, new, path, edits| match old {
            Some(old) => fields(kind, old, new, path, edits),
            None => edits.push(path, Some(super::group::values_to_json(kind, new))),
        });
    }
    let path = join(path, "groups");
    children(
        &from.groups,
        &to.groups,
        &path,
        edits,
        |old, new, path, edits| match old {
            Some(old) => groups(old, new, path, edits),
            None => edits.push(path, Some(new.to_value())),
        },
    );
}

fn children<T>(
    old: &BTreeMap<SmolStr, T>,
    new: &BTreeMap<SmolStr, T>,
    path: &str,
    edits: &mut Edits,
    mut compare: impl FnMut(Option<&T>, &T, &str, &mut Edits),
) {
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        edits.push(&join(path, name), None);
    }
    for (name, value) in new {
        compare(old.get(name), value, &join(path, name), edits);
    }
}

fn fields(kind: Kind, old: &Values, new: &Values, path: &str, edits: &mut Edits) {
    let at = |index: &u8| join(path, kind.fields()[usize::from(*index)].name);
    for (index, _) in old
        .iter()
        .filter(|(index, _)| super::inherit::get(new, *index).is_none())
    {
        edits.push(&at(index), None);
    }
    for (index, value) in new {
        if super::inherit::get(old, *index) != Some(value) {
            edits.push(&at(index), Some(value.clone()));
        }
    }
}
