//! Answers as text.

use crate::admin::{EffectiveAnswer, HistoryAnswer};
use serde_json::Value;
use sesamegap_settings::Edit;
use sesamegap_settings::fold::HistoryEntry;
use std::fmt::Write;

/// Edits, one a line: `+ path = value` sets, `- path` removes.
pub fn edits(edits: &[Edit]) -> String {
    let line = |edit: &Edit| match &edit.value {
        Some(value) => format!("+ {} = {value}\n", edit.path),
        None => format!("- {}\n", edit.path),
    };
    edits.iter().map(line).collect()
}

/// Values in force with their origins, in columns.
pub fn effective(answer: &EffectiveAnswer) -> String {
    let values: Vec<_> = answer
        .values
        .iter()
        .map(|v| (v, v.value.to_string()))
        .collect();
    let names = values.iter().map(|(v, _)| v.name.len()).max().unwrap_or(0);
    let texts = values.iter().map(|(_, text)| text.len()).max().unwrap_or(0);
    let mut out = format!("{} at revision {}\n", answer.path, answer.revision);
    for (value, text) in &values {
        let (name, origin) = (&value.name, &value.origin);
        writeln!(out, "  {name:names$}  {text:texts$}  from {origin}").expect("text takes all");
    }
    out
}

/// The last changes, newest first.
pub fn history(answer: &HistoryAnswer) -> String {
    let mut out = format!("revision {}\n", answer.revision);
    for entry in &answer.changes {
        out.push_str(&entry_text(entry));
    }
    out
}

fn entry_text(entry: &HistoryEntry) -> String {
    let HistoryEntry {
        id,
        offset,
        base,
        by,
        note,
        edits,
        ..
    } = entry;
    let mut out = format!("offset {offset}  {id}  by {by}  base {base}  {edits} edits");
    if !note.is_empty() {
        write!(out, "  \"{note}\"").expect("text takes all");
    }
    write!(out, "\n  {}\n", entry.outcome).expect("text takes all");
    for path in &entry.paths {
        writeln!(out, "  {path}").expect("text takes all");
    }
    out
}

/// JSON over several lines.
pub fn json(value: &Value) -> String {
    format!("{value:#}\n")
}
