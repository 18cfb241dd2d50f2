//! Reading objects by their table of fields.

use super::shape::{UNLIMITED, brief};
use super::{Field, units};
use crate::findings::{Findings, shown};
use serde_json::Value;
use smol_str::SmolStr;
use std::str::FromStr;
use std::time::Duration;

/// What an object sets, as the index of the field and its value, in order of the fields.
pub type Values = Vec<(u8, Value)>;

/// Joins a path and a key.
pub fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}/{key}")
    }
}

/// Finds a field by its key.
pub fn find(fields: &[Field], name: &str) -> Option<u8> {
    let index = fields.iter().position(|field| field.name == name)?;
    u8::try_from(index).ok()
}

/// The keys of a table, for a finding about an unknown one.
pub fn names(fields: &[Field]) -> String {
    let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
    format!("one of {}", names.join(", "))
}

/// Checks one value against its field.
pub fn check(field: &Field, value: &Value, path: &str, findings: &mut Findings) -> bool {
    let fits = field.shape.admits(value);
    if !fits {
        let wrong = format!("{} is not valid", brief(value));
        findings.add(path, wrong, field.shape.allowed());
    }
    fits
}

/// Reads the fields that an object sets, with a finding for each that is wrong.
pub fn read(fields: &[Field], value: &Value, path: &str, findings: &mut Findings) -> Values {
    read_beside(fields, &[], value, path, findings)
}

/// Reads the fields that an object sets beside `others`, which are read elsewhere.
pub fn read_beside(
    fields: &[Field],
    others: &[&str],
    value: &Value,
    path: &str,
    findings: &mut Findings,
) -> Values {
    let allowed = || [&[names(fields).as_str()], others].concat().join(", ");
    let Some(object) = value.as_object() else {
        let wrong = format!("{} is not an object", brief(value));
        findings.add(path, wrong, allowed());
        return Values::new();
    };
    let mut values = Values::new();
    for (key, value) in object {
        let path = join(path, key);
        match find(fields, key) {
            Some(index) => {
                if check(&fields[usize::from(index)], value, &path, findings) {
                    values.push((index, value.clone()));
                }
            }
            None if others.contains(&key.as_str()) => {}
            None => {
                let wrong = format!("unknown key `{}`", shown(key));
                findings.add(&path, wrong, allowed());
            }
        }
    }
    values.sort_by_key(|(index, _)| *index);
    // Kept for each of many objects: a vector that grew by doubling would waste half.
    values.shrink_to_fit();
    values
}

/// Completes what an object sets with built-in values, with a finding for each that is missing.
///
/// A value that was there but not valid has its finding already.
pub fn complete<'a>(
    fields: &'static [Field],
    own: &'a Values,
    built_in: &'a [Value],
    path: &str,
    findings: &mut Findings,
) -> Row<'a> {
    let mut values: Vec<&Value> = built_in.iter().collect();
    for (index, value) in own {
        values[usize::from(*index)] = value;
    }
    for (field, value) in fields.iter().zip(&values) {
        let path = join(path, field.name);
        let missing = field.default.is_none() && value.is_null();
        if missing && !findings.about(&path) {
            findings.add(&path, "the key is missing", field.shape.allowed());
        }
    }
    Row::new(fields, values)
}

/// The values of a whole object: each field's own, inherited or built-in one.
///
/// All were checked against their fields before, so the typed getters cannot fail.
#[derive(Debug)]
pub struct Row<'a> {
    fields: &'static [Field],
    values: Vec<&'a Value>,
}

impl<'a> Row<'a> {
    /// Pairs fields with one checked value each.
    pub fn new(fields: &'static [Field], values: Vec<&'a Value>) -> Self {
        Self { fields, values }
    }

    /// The value of a field.
    ///
    /// # Panics
    /// If the table has no such field.
    pub fn value(&self, name: &str) -> &'a Value {
        let index = find(self.fields, name).expect("a key of the table");
        self.values[usize::from(index)]
    }

    fn text(&self, name: &str) -> &'a str {
        self.value(name).as_str().unwrap_or_default()
    }

    /// Whether an optional field has a value.
    pub fn has(&self, name: &str) -> bool {
        !self.value(name).is_null()
    }

    /// A flag.
    pub fn flag(&self, name: &str) -> bool {
        self.value(name).as_bool().unwrap_or_default()
    }

    /// A whole number, cut to the wanted type.
    pub fn whole<T: TryFrom<u64> + Default>(&self, name: &str) -> T {
        let number = self.value(name).as_u64().unwrap_or_default();
        T::try_from(number).unwrap_or_default()
    }

    /// A number.
    pub fn real(&self, name: &str) -> f64 {
        self.value(name).as_f64().unwrap_or_default()
    }

    /// A rate; `None` is unlimited.
    pub fn rate(&self, name: &str) -> Option<f64> {
        let value = self.value(name);
        (value.as_str() != Some(UNLIMITED)).then(|| value.as_f64().unwrap_or_default())
    }

    /// A span of time.
    pub fn span(&self, name: &str) -> Duration {
        units::span(self.text(name)).unwrap_or_default()
    }

    /// A size in bytes, cut to the wanted type.
    pub fn size<T: TryFrom<u64> + Default>(&self, name: &str) -> T {
        T::try_from(units::size(self.text(name)).unwrap_or_default()).unwrap_or_default()
    }

    /// Text as it stands.
    pub fn smol(&self, name: &str) -> SmolStr {
        SmolStr::new(self.text(name))
    }

    /// Something read from its text, such as an identifier or an address.
    ///
    /// # Panics
    /// If the field's shape admits text that the type does not.
    pub fn parsed<T: FromStr>(&self, name: &str) -> T {
        let parsed = self.text(name).parse().ok();
        parsed.expect("the shape admits what the type reads")
    }

    /// A list of things read from their text.
    pub fn list<T: FromStr>(&self, name: &str) -> Vec<T> {
        let items = self.value(name).as_array().map_or(&[][..], Vec::as_slice);
        let parse = |item: &Value| item.as_str().and_then(|text| text.parse().ok());
        items.iter().filter_map(parse).collect()
    }
}
