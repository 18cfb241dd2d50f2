//! Parsing of settings files, JSON with comments, with the location of each value.

use crate::error::SettingsError;
use crate::findings::{Finding, Findings, Place, shown};
use crate::schema::reader::join;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde_json::{Map, Number, Value};
use std::collections::BTreeMap;

/// Maximum file size in bytes. The tree of 35,000 teams takes a third of it.
pub const MAX_FILE: usize = 32 << 20;

/// Extensions to JSON that the parser accepts: comments and trailing commas only.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// A parsed settings file.
#[derive(Debug)]
pub struct Document {
    file: String,
    value: Value,
    /// Byte offset of each value by path. A duplicate key has the offset of its first value.
    offsets: BTreeMap<String, usize>,
    /// Byte offset of the start of each line.
    lines: Vec<usize>,
    text: String,
}

impl Document {
    /// Parses the text of a file; `file` is the name shown in findings.
    ///
    /// # Errors
    /// If the text exceeds [`MAX_FILE`], or with findings if it is not JSON with comments or
    /// contains a duplicate key.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        if text.len() > MAX_FILE {
            return Err(SettingsError::Oversized("bytes of a file", MAX_FILE));
        }
        let mut document = Self {
            file: file.to_owned(),
            value: Value::Null,
            offsets: BTreeMap::new(),
            lines: line_offsets(text),
            text: text.to_owned(),
        };
        let mut findings = Findings::default();
        match parse_to_ast(text, &CollectOptions::default(), &OPTIONS) {
            Ok(parsed) => match parsed.value {
                Some(root) => document.value = document.convert(&root, "", &mut findings),
                None => findings.push(document.finding(0, "", "the file is empty", "an object")),
            },
            Err(error) => {
                let allowed = "JSON with comments and trailing commas";
                let wrong = error.kind().to_string();
                findings.push(document.finding(error.range().start, "", &wrong, allowed));
            }
        }
        if findings.is_empty() {
            Ok(document)
        } else {
            Err(SettingsError::Invalid(findings))
        }
    }

    /// The parsed content.
    pub fn value(&self) -> &Value {
        &self.value
    }

    /// Adds locations to findings and sorts the findings by location.
    ///
    /// A path that is not in the file gets the location of its nearest ancestor there.
    pub fn locate(&self, findings: &mut Findings) {
        for finding in findings.iter_mut() {
            finding.place = Some(self.place(self.start(&finding.path)));
        }
        findings.sort_by_place();
    }

    fn start(&self, path: &str) -> usize {
        let mut path = path;
        loop {
            if let Some(start) = self.offsets.get(path) {
                return *start;
            }
            path = path.rsplit_once('/').map_or("", |(above, _)| above);
        }
    }

    fn place(&self, start: usize) -> Place {
        let line = self.lines.partition_point(|at| *at <= start);
        let head = self
            .text
            .get(self.lines[line - 1]..start)
            .unwrap_or_default();
        Place {
            file: self.file.clone(),
            line,
            column: head.chars().count() + 1,
        }
    }

    fn finding(&self, start: usize, path: &str, wrong: &str, allowed: &str) -> Finding {
        Finding {
            place: Some(self.place(start)),
            path: path.to_owned(),
            wrong: wrong.to_owned(),
            allowed: allowed.to_owned(),
        }
    }

    /// Converts a syntax tree node to a value and records its byte offset.
    fn convert(&mut self, value: &ast::Value<'_>, path: &str, findings: &mut Findings) -> Value {
        self.offsets.entry(path.to_owned()).or_insert(value.start());
        match value {
            ast::Value::StringLit(text) => Value::String(text.value.to_string()),
            ast::Value::BooleanLit(flag) => Value::Bool(flag.value),
            ast::Value::NullKeyword(_) => Value::Null,
            ast::Value::NumberLit(number) => self.number(number, path, findings),
            ast::Value::Array(array) => {
                let mut items = Vec::new();
                for (index, item) in array.elements.iter().enumerate() {
                    let path = join(path, &index.to_string());
                    items.push(self.convert(item, &path, findings));
                }
                Value::Array(items)
            }
            ast::Value::Object(object) => Value::Object(self.object(object, path, findings)),
        }
    }

    fn object(
        &mut self,
        object: &ast::Object<'_>,
        path: &str,
        findings: &mut Findings,
    ) -> Map<String, Value> {
        let mut map = Map::new();
        for property in &object.properties {
            let key = property.name.as_str();
            let path = join(path, key);
            if map.contains_key(key) {
                let wrong = format!("`{}` stands twice", shown(key));
                findings.push(self.finding(property.start(), &path, &wrong, "each key once"));
            }
            let value = self.convert(&property.value, &path, findings);
            map.insert(key.to_owned(), value);
        }
        map
    }

    fn number(&self, number: &ast::NumberLit<'_>, path: &str, findings: &mut Findings) -> Value {
        if let Ok(number) = number.value.parse::<Number>() {
            return Value::Number(number);
        }
        let wrong = format!("`{}` is not a number", shown(number.value));
        findings.push(self.finding(number.start(), path, &wrong, "a finite number"));
        Value::Null
    }
}

fn line_offsets(text: &str) -> Vec<usize> {
    let after = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
    std::iter::once(0)
        .chain(after.map(|(at, _)| at + 1))
        .collect()
}
