//! Paths that address nodes and fields of the tree.
//!
//! Each `groups/NAME` descends one level and may be repeated. Every level contains
//! `defaults/KIND`, `teams/NAME`, `models/NAME`, `services/NAME` and `classes/NAME`, each followed
//! by a field, or by nothing to address the whole object. A path may also end at a group.

use crate::findings::shown;
use crate::schema::reader::find;
use crate::schema::shape::is_name;
use crate::schema::{Kind, reader};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sesamegap_wire::ParseError;
use smol_str::SmolStr;
use std::fmt;
use std::str::FromStr;

/// Maximum nesting depth of groups, far deeper than an operator can keep track of.
pub const MAX_DEPTH: usize = 8;

/// Maximum length of a path in bytes. Fits groups at full depth with names of maximum length.
pub const MAX_PATH: usize = 800;

const ALLOWED: &str = "names joined by `/`, as in `groups/filing/teams/desk/weight`";

/// A path as written by operators. Its syntax is valid, but the node need not exist.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TreePath(SmolStr);

impl TreePath {
    /// The path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Key that sorts directly before all descendants of this path. Not a valid path itself.
    pub(crate) fn before_children(&self) -> Self {
        Self(smol_str::format_smolstr!("{}/", self.0))
    }
}

impl fmt::Display for TreePath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for TreePath {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        if text.len() <= MAX_PATH && text.split('/').all(is_name) {
            Ok(Self(SmolStr::new(text)))
        } else {
            Err(ParseError::new("path", shown(text), ALLOWED))
        }
    }
}

impl Serialize for TreePath {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for TreePath {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = SmolStr::deserialize(from)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// What a path addresses within its innermost group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Slot {
    /// The group itself.
    Group,
    /// Defaults for a kind, or one field of them.
    Defaults(Kind, Option<u8>),
    /// An object, or one of its fields.
    Item(Kind, SmolStr, Option<u8>),
}

/// A parsed path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Target {
    /// Names of the groups from the root down.
    pub(crate) groups: Vec<SmolStr>,
    /// What the path addresses within the innermost group.
    pub(crate) slot: Slot,
}

const PLACES: &str = "`groups/NAME`, `defaults/KIND`, `teams/NAME`, `classes/NAME`, \
                      `models/NAME` or `services/NAME`, the last five with or without a field";

impl Target {
    /// Parses a path; the error holds what is wrong and what is allowed.
    pub(crate) fn parse(path: &TreePath) -> Result<Self, (String, String)> {
        let mut parts: Vec<&str> = path.as_str().split('/').collect();
        let mut groups = Vec::new();
        while let ["groups", name, ..] = parts[..] {
            groups.push(SmolStr::new(name));
            parts.drain(..2);
        }
        if groups.len() > MAX_DEPTH {
            let wrong = "groups nested too deep".to_owned();
            return Err((wrong, format!("{MAX_DEPTH} levels")));
        }
        let slot = slot(&parts, !groups.is_empty())?;
        Ok(Self { groups, slot })
    }
}

fn slot(parts: &[&str], in_group: bool) -> Result<Slot, (String, String)> {
    let nowhere = || Err(("no such place in the tree".to_owned(), PLACES.to_owned()));
    match *parts {
        [] if in_group => Ok(Slot::Group),
        ["defaults", kind] | ["defaults", kind, _] => {
            let Some(kind) = Kind::from_single(kind) else {
                return nowhere();
            };
            Ok(Slot::Defaults(kind, field(kind, parts.get(2))?))
        }
        [kind, name] | [kind, name, _] => {
            let Some(kind) = Kind::from_plural(kind) else {
                return nowhere();
            };
            let field = field(kind, parts.get(2))?;
            Ok(Slot::Item(kind, SmolStr::new(name), field))
        }
        _ => nowhere(),
    }
}

fn field(kind: Kind, name: Option<&&str>) -> Result<Option<u8>, (String, String)> {
    let Some(name) = name else {
        return Ok(None);
    };
    match find(kind.fields(), name) {
        Some(index) => Ok(Some(index)),
        None => Err((
            format!("unknown key `{}`", shown(name)),
            reader::names(kind.fields()),
        )),
    }
}
