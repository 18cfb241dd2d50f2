//! Resolution of inherited values.

use super::path::{Slot, Target, TreePath};
use super::{Group, Tree};
use crate::schema::reader::{Row, Values};
use crate::schema::{Field, Kind};
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};
use std::fmt;

/// Where a value comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// The built-in default; nothing in the tree sets it.
    BuiltIn,
    /// Set at this path.
    Set(SmolStr),
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BuiltIn => f.write_str("built-in"),
            Self::Set(path) => f.write_str(path),
        }
    }
}

/// One effective value.
#[derive(Debug, Clone, PartialEq)]
pub struct Effective {
    /// Key of the setting.
    pub field: &'static str,
    /// Its value.
    pub value: Value,
    /// Where the value comes from.
    pub origin: Origin,
}

/// The groups enclosing a position in the tree, whose defaults apply there, innermost last.
#[derive(Debug, Clone, Default)]
pub(crate) struct Layers<'a> {
    defaults: Vec<(SmolStr, &'a Group)>,
}

impl<'a> Layers<'a> {
    /// The path of the innermost group; empty at the root.
    pub(crate) fn path(&self) -> &SmolStr {
        const ROOT: &SmolStr = &SmolStr::new_static("");
        self.defaults.last().map_or(ROOT, |(path, _)| path)
    }

    /// The innermost group.
    pub(crate) fn group(&self) -> Option<&'a Group> {
        self.defaults.last().map(|(_, group)| *group)
    }

    /// Enters a subgroup of the innermost group, or the root if `name` is empty.
    pub(crate) fn push(&mut self, name: &str, group: &'a Group) {
        let path = match (name, self.path().as_str()) {
            ("", _) => SmolStr::default(),
            (name, "") => format_smolstr!("groups/{name}"),
            (name, above) => format_smolstr!("{above}/groups/{name}"),
        };
        self.defaults.push((path, group));
    }

    /// Leaves the innermost group.
    pub(crate) fn pop(&mut self) {
        self.defaults.pop();
    }

    /// The effective value of a field and the depth of its origin. The depth is `None` for built-in
    /// defaults.
    fn find(&self, kind: Kind, own: &'a Values, index: u8) -> (&'a Value, Option<usize>) {
        if let Some(value) = get(own, index) {
            return (value, Some(self.defaults.len()));
        }
        for (depth, (_, group)) in self.defaults.iter().enumerate().rev() {
            if let Some(value) = get(&group.defaults[kind as usize], index) {
                return (value, Some(depth));
            }
        }
        (&kind.defaults()[usize::from(index)], None)
    }

    /// All effective values of an object.
    pub(crate) fn row(&self, kind: Kind, own: &'a Values) -> Row<'a> {
        let values = indices(kind).map(|index| self.find(kind, own, index).0);
        Row::new(kind.fields(), values.collect())
    }

    /// All effective values of an object with their origins.
    fn effective(&self, kind: Kind, own: &'a Values, own_path: &SmolStr) -> Vec<Effective> {
        let resolve = |index: u8| {
            let (value, depth) = self.find(kind, own, index);
            let origin = match depth.map(|depth| self.defaults.get(depth)) {
                None => Origin::BuiltIn,
                Some(None) => Origin::Set(own_path.clone()),
                Some(Some((path, _))) => Origin::Set(defaults_path(path, kind)),
            };
            let field: &Field = &kind.fields()[usize::from(index)];
            Effective {
                field: field.name,
                value: value.clone(),
                origin,
            }
        };
        indices(kind).map(resolve).collect()
    }
}

fn indices(kind: Kind) -> impl Iterator<Item = u8> {
    (0..).take(kind.fields().len())
}

/// The value set for a field, without inheritance.
pub(crate) fn get(values: &Values, index: u8) -> Option<&Value> {
    let at = values
        .binary_search_by_key(&index, |(index, _)| *index)
        .ok()?;
    Some(&values[at].1)
}

fn defaults_path(group: &str, kind: Kind) -> SmolStr {
    if group.is_empty() {
        format_smolstr!("defaults/{kind}")
    } else {
        format_smolstr!("{group}/defaults/{kind}")
    }
}

impl Tree {
    /// The layers from the root to a group. `None` if the group does not exist.
    pub(crate) fn layers(&self, groups: &[SmolStr]) -> Option<Layers<'_>> {
        let mut layers = Layers::default();
        let mut group = &self.root;
        layers.push("", group);
        for name in groups {
            group = group.groups.get(name)?;
            layers.push(name, group);
        }
        Some(layers)
    }

    /// The effective values at a path, with their origins.
    ///
    /// The path addresses an object, a group's defaults or one of their fields. `None` if it does
    /// not exist or addresses a group, which has no values itself.
    pub fn effective(&self, path: &TreePath) -> Option<Vec<Effective>> {
        static NOTHING: Values = Values::new();
        let target = Target::parse(path).ok()?;
        let layers = self.layers(&target.groups)?;
        let (kind, own, field) = match &target.slot {
            Slot::Group => return None,
            Slot::Defaults(kind, field) => (*kind, &NOTHING, *field),
            Slot::Item(kind, name, field) => (
                *kind,
                layers.group()?.items[*kind as usize].get(name)?,
                *field,
            ),
        };
        let own_path = match (&target.slot, layers.path().as_str()) {
            (Slot::Item(kind, name, _), "") => format_smolstr!("{}/{name}", kind.plural()),
            (Slot::Item(kind, name, _), above) => {
                format_smolstr!("{above}/{}/{name}", kind.plural())
            }
            _ => SmolStr::default(),
        };
        let mut all = layers.effective(kind, own, &own_path);
        if let Some(index) = field {
            all = vec![all.swap_remove(usize::from(index))];
        }
        Some(all)
    }
}
