//! Group nodes of the tree: defaults, objects and subgroups.

use super::path::MAX_DEPTH;
use crate::findings::{Findings, shown};
use crate::schema::reader::{self, Values, join};
use crate::schema::shape::is_name;
use crate::schema::{Kind, shape};
use serde_json::{Map, Value};
use smol_str::SmolStr;
use std::collections::BTreeMap;

const KEYS: &str = "one of defaults, groups, teams, classes, models, services";
const NAMES: &str = "1 to 64 letters, digits, `-`, `_`, `.` or `:`";

/// One group, the root included.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Group {
    /// Defaults inherited by the objects in this group and its subgroups, by kind.
    pub(crate) defaults: [Values; 4],
    /// Values set on each object, by kind and name.
    pub(crate) items: [BTreeMap<SmolStr, Values>; 4],
    /// Subgroups by name.
    pub(crate) groups: BTreeMap<SmolStr, Group>,
}

impl Group {
    /// Reads a group and its subgroups and adds a finding for each error.
    pub fn read(value: &Value, path: &str, findings: &mut Findings) -> Self {
        Self::read_below(value, path, 0, findings)
    }

    /// Reads a group nested `depth` levels deep.
    pub(crate) fn read_below(
        value: &Value,
        path: &str,
        depth: usize,
        findings: &mut Findings,
    ) -> Self {
        let mut group = Self::default();
        if depth > MAX_DEPTH {
            findings.add(
                path,
                "groups nested too deep",
                format!("{MAX_DEPTH} levels"),
            );
            return group;
        }
        let Some(object) = as_object(value, path, KEYS, findings) else {
            return group;
        };
        for (key, value) in object {
            let path = join(path, key);
            match (key.as_str(), Kind::from_plural(key)) {
                ("defaults", _) => group.read_defaults(value, &path, findings),
                ("groups", _) => {
                    let below = |value: &Value, path: &str, findings: &mut Findings| {
                        Self::read_below(value, path, depth + 1, findings)
                    };
                    group.groups = read_each(value, &path, findings, below);
                }
                (_, Some(kind)) => {
                    let own = |value: &Value, path: &str, findings: &mut Findings| {
                        reader::read(kind.fields(), value, path, findings)
                    };
                    group.items[kind as usize] = read_each(value, &path, findings, own);
                }
                _ => findings.add(&path, format!("unknown key `{}`", shown(key)), KEYS),
            }
        }
        group
    }

    fn read_defaults(&mut self, value: &Value, path: &str, findings: &mut Findings) {
        let kinds = "one of team, class, model, service";
        let Some(object) = as_object(value, path, kinds, findings) else {
            return;
        };
        for (key, value) in object {
            let path = join(path, key);
            match Kind::from_single(key) {
                Some(kind) => {
                    let values = reader::read(kind.fields(), value, &path, findings);
                    self.defaults[kind as usize] = values;
                }
                None => findings.add(&path, format!("unknown key `{}`", shown(key)), kinds),
            }
        }
    }

    /// Converts the group to JSON in the form that operators write.
    pub fn to_value(&self) -> Value {
        let mut out = Map::new();
        let mut defaults = Map::new();
        for kind in Kind::ALL {
            let own = &self.defaults[kind as usize];
            if !own.is_empty() {
                defaults.insert(kind.single().to_owned(), values_to_json(kind, own));
            }
            let items = &self.items[kind as usize];
            if !items.is_empty() {
                let write = |(name, own): (&SmolStr, &Values)| {
                    (name.to_string(), values_to_json(kind, own))
                };
                let items: Map<String, Value> = items.iter().map(write).collect();
                out.insert(kind.plural().to_owned(), Value::Object(items));
            }
        }
        if !defaults.is_empty() {
            out.insert("defaults".to_owned(), Value::Object(defaults));
        }
        if !self.groups.is_empty() {
            let write = |(name, group): (&SmolStr, &Self)| (name.to_string(), group.to_value());
            let groups: Map<String, Value> = self.groups.iter().map(write).collect();
            out.insert("groups".to_owned(), Value::Object(groups));
        }
        Value::Object(out)
    }
}

/// Converts the values set on an object to JSON.
pub(crate) fn values_to_json(kind: Kind, values: &Values) -> Value {
    let write = |(index, value): &(u8, Value)| {
        let name = kind.fields()[usize::from(*index)].name;
        (name.to_owned(), value.clone())
    };
    Value::Object(values.iter().map(write).collect())
}

fn as_object<'a>(
    value: &'a Value,
    path: &str,
    allowed: &str,
    findings: &mut Findings,
) -> Option<&'a Map<String, Value>> {
    let object = value.as_object();
    if object.is_none() {
        findings.add(
            path,
            format!("{} is not an object", shape::brief(value)),
            allowed,
        );
    }
    object
}

/// Reads each child of an object.
///
/// The map is built in bulk, because it is then denser than one filled by single insertions.
fn read_each<T>(
    value: &Value,
    path: &str,
    findings: &mut Findings,
    mut read: impl FnMut(&Value, &str, &mut Findings) -> T,
) -> BTreeMap<SmolStr, T> {
    let allowed = "an object with a key for each name";
    let object = as_object(value, path, allowed, findings);
    let mut children = Vec::new();
    for (name, value) in object.into_iter().flatten() {
        let path = join(path, name);
        if is_name(name) {
            children.push((SmolStr::new(name), read(value, &path, findings)));
        } else {
            let wrong = format!("`{}` is not a valid name", shown(name));
            findings.add(&path, wrong, NAMES);
        }
    }
    children.into_iter().collect()
}
