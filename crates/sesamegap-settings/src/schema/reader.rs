//! Reading and validating objects against a table of fields.

use super::shape::{UNLIMITED, brief};
use super::{Field, units};
use crate::findings::{Findings, shown};
use serde_json::Value;
use smol_str::SmolStr;
use std::str::FromStr;
use std::time::Duration;

/// Values set on an object: pairs of field index and value, sorted by index.
pub type Values = Vec<(u8, Value)>;

/// Joins a path and a key with `/`; an empty path is the root.
pub fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}/{key}")
    }
}

/// Index of the field with this key.
pub fn find(fields: &[Field], name: &str) -> Option<u8> {
    let index = fields.iter().position(|field| field.name == name)?;
    u8::try_from(index).ok()
}

/// Lists the keys of a table, for a finding about an unknown key.
pub fn names(fields: &[Field]) -> String {
    let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
    format!("one of {}", names.join(", "))
}

/// Validates one value against its field; returns whether it is valid.
pub fn check(field: &Field, value: &Value, path: &str, findings: &mut Findings) -> bool {
    let fits = field.shape.admits(value);
    if !fits {
        let wrong = format!("{} is not valid", brief(value));
        findings.add(path, wrong, field.shape.allowed());
    }
    fits
}

/// Reads the fields set on an object; adds a finding for each error.
pub fn read(fields: &[Field], value: &Value, path: &str, findings: &mut Findings) -> Values {
    read_skipping(fields, &[], value, path, findings)
}

/// Like [`read`], but skips the keys in `others`, which the caller reads.
pub fn read_skipping(
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
    // One vector is kept per object: capacity left over from doubling could waste half of it.
    values.shrink_to_fit();
    values
}

/// Fills in built-in defaults; adds a finding for each missing required field.
///
/// A field whose value was invalid already has a finding and does not get another.
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
        if missing && !findings.has_path(&path) {
            findings.add(&path, "the key is missing", field.shape.allowed());
        }
    }
    Row::new(fields, values)
}

/// All values of an object, each set on it, inherited or built in.
///
/// The values have been validated against their fields, so the typed getters cannot fail.
#[derive(Debug)]
pub struct Row<'a> {
    fields: &'static [Field],
    values: Vec<&'a Value>,
}

impl<'a> Row<'a> {
    /// Creates a row from fields and one validated value for each.
    pub fn new(fields: &'static [Field], values: Vec<&'a Value>) -> Self {
        Self { fields, values }
    }

    /// The value of a field.
    ///
    /// # Panics
    /// If the table has no field of this name.
    pub fn value(&self, name: &str) -> &'a Value {
        let index = find(self.fields, name).expect("a key of the table");
        self.values[usize::from(index)]
    }

    fn raw_text(&self, name: &str) -> &'a str {
        self.value(name).as_str().unwrap_or_default()
    }

    /// Whether an optional field has a value.
    pub fn has(&self, name: &str) -> bool {
        !self.value(name).is_null()
    }

    /// Value of a boolean field.
    pub fn flag(&self, name: &str) -> bool {
        self.value(name).as_bool().unwrap_or_default()
    }

    /// Value of an integer field; 0 if it does not fit the target type.
    pub fn integer<T: TryFrom<u64> + Default>(&self, name: &str) -> T {
        let number = self.value(name).as_u64().unwrap_or_default();
        T::try_from(number).unwrap_or_default()
    }

    /// Value of a number field.
    pub fn real(&self, name: &str) -> f64 {
        self.value(name).as_f64().unwrap_or_default()
    }

    /// Value of a rate field; `None` if unlimited.
    pub fn rate(&self, name: &str) -> Option<f64> {
        let value = self.value(name);
        (value.as_str() != Some(UNLIMITED)).then(|| value.as_f64().unwrap_or_default())
    }

    /// Value of a duration field.
    pub fn span(&self, name: &str) -> Duration {
        units::span(self.raw_text(name)).unwrap_or_default()
    }

    /// Value of a size field in bytes. 0 if it does not fit the target type.
    pub fn size<T: TryFrom<u64> + Default>(&self, name: &str) -> T {
        T::try_from(units::size(self.raw_text(name)).unwrap_or_default()).unwrap_or_default()
    }

    /// Value of a text field.
    pub fn text(&self, name: &str) -> SmolStr {
        SmolStr::new(self.raw_text(name))
    }

    /// Value parsed from a text field, such as an identifier or an address.
    ///
    /// # Panics
    /// If the field's shape admits text that the type cannot parse.
    pub fn parsed<T: FromStr>(&self, name: &str) -> T {
        let parsed = self.raw_text(name).parse().ok();
        parsed.expect("the shape admits what the type reads")
    }

    /// Values parsed from a list field; items that cannot be parsed are skipped.
    pub fn list<T: FromStr>(&self, name: &str) -> Vec<T> {
        let items = self.value(name).as_array().map_or(&[][..], Vec::as_slice);
        let parse = |item: &Value| item.as_str().and_then(|text| text.parse().ok());
        items.iter().filter_map(parse).collect()
    }
}
