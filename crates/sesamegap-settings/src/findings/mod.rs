//! Validation errors in settings, collected and reported together.
//!
//! Validation does not stop at the first error, so that operators need not publish once per error
//! to learn of them all. A finding names the path of the value; a [`Document`](crate::Document)
//! adds the location in its file.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum number of findings kept. A file with more is probably not the one its author meant.
pub const MAX_FINDINGS: usize = 200;

/// Maximum length of input text quoted in a finding, in characters.
const MAX_SHOWN: usize = 80;

/// Source location of a value; line and column are 1-based.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Name of the file.
    pub file: String,
    /// Line number.
    pub line: usize,
    /// Column number, in characters.
    pub column: usize,
}

/// One validation error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Location in the file, if the value was read from one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub place: Option<Place>,
    /// Path of the value.
    pub path: String,
    /// What is wrong.
    pub wrong: String,
    /// What is allowed instead.
    pub allowed: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(at) = &self.place {
            write!(f, "{}:{}:{}: ", at.file, at.line, at.column)?;
        }
        write!(
            f,
            "{}: {}, allowed: {}",
            self.path, self.wrong, self.allowed
        )
    }
}

/// Validation errors in the order they were found.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings {
    list: Vec<Finding>,
    /// Number of findings that were counted but not kept.
    more: usize,
}

impl Findings {
    /// Adds a finding without a location.
    pub fn add(&mut self, path: &str, wrong: impl Into<String>, allowed: impl Into<String>) {
        self.push(Finding {
            place: None,
            path: path.to_owned(),
            wrong: wrong.into(),
            allowed: allowed.into(),
        });
    }

    /// Adds a finding; beyond [`MAX_FINDINGS`] it is only counted.
    pub fn push(&mut self, finding: Finding) {
        if self.list.len() < MAX_FINDINGS {
            self.list.push(finding);
        } else {
            self.more += 1;
        }
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Number of findings, including those not kept.
    pub fn len(&self) -> usize {
        self.list.len() + self.more
    }

    /// Iterates over the kept findings.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.list.iter()
    }

    /// Iterates mutably over the kept findings.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Finding> {
        self.list.iter_mut()
    }

    /// Whether a kept finding has exactly this path.
    pub fn has_path(&self, path: &str) -> bool {
        self.list.iter().any(|finding| finding.path == path)
    }

    /// Sorts the findings by line and column.
    pub fn sort_by_place(&mut self) {
        let place = |finding: &Finding| finding.place.as_ref().map(|at| (at.line, at.column));
        self.list.sort_by_key(place);
    }

    /// Keeps only the first `most` findings and counts the rest.
    #[must_use]
    pub fn shortened(&self, most: usize) -> Self {
        let list: Vec<Finding> = self.list.iter().take(most).cloned().collect();
        let more = self.len() - list.len();
        Self { list, more }
    }
}

impl IntoIterator for Findings {
    type Item = Finding;
    type IntoIter = std::vec::IntoIter<Finding>;

    /// Iterates over the kept findings.
    fn into_iter(self) -> Self::IntoIter {
        self.list.into_iter()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.list.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        if self.more > 0 {
            write!(f, "\nand {} more", self.more)?;
        }
        Ok(())
    }
}

/// Truncates input text for display in a finding.
pub fn shown(text: &str) -> String {
    let mut short: String = text.chars().take(MAX_SHOWN).collect();
    if short.len() < text.len() {
        short.push('…');
    }
    short
}
