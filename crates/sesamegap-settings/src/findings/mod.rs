//! What is wrong with settings, collected and reported together.
//!
//! A check never stops at the first fault: an operator who has to publish again for each one
//! gives up checking. Findings name the path of the value; a [`Document`](crate::Document) adds
//! the place in its file.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Most findings collected at once; a file with more is not what its author thinks it is.
pub const MAX_FINDINGS: usize = 200;

/// Longest piece of text a finding repeats from the input, in characters.
const MAX_SHOWN: usize = 80;

/// Where in a file a value stands, counted from 1.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Name of the file.
    pub file: String,
    /// Line.
    pub line: usize,
    /// Column in characters.
    pub column: usize,
}

/// One thing that is wrong.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Where in a file, if it comes from one.
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

/// Findings in the order they were made.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings {
    list: Vec<Finding>,
    /// Findings beyond [`MAX_FINDINGS`], which are only counted.
    more: usize,
}

impl Findings {
    /// Adds one.
    pub fn add(&mut self, path: &str, wrong: impl Into<String>, allowed: impl Into<String>) {
        self.push(Finding {
            place: None,
            path: path.to_owned(),
            wrong: wrong.into(),
            allowed: allowed.into(),
        });
    }

    /// Adds one that is complete.
    pub fn push(&mut self, finding: Finding) {
        if self.list.len() < MAX_FINDINGS {
            self.list.push(finding);
        } else {
            self.more += 1;
        }
    }

    /// Whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// How many there are, counted ones included.
    pub fn len(&self) -> usize {
        self.list.len() + self.more
    }

    /// Those that were kept.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.list.iter()
    }

    /// Those that were kept, to be completed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Finding> {
        self.list.iter_mut()
    }

    /// Whether one was kept about this very path.
    pub fn about(&self, path: &str) -> bool {
        self.list.iter().any(|finding| finding.path == path)
    }

    /// Sorts them by line and column.
    pub fn sort_by_place(&mut self) {
        let place = |finding: &Finding| finding.place.as_ref().map(|at| (at.line, at.column));
        self.list.sort_by_key(place);
    }

    /// Keeps only the first `most`, counting the rest.
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

    /// Those that were kept.
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

/// Text from the input, cut so that a finding stays readable.
pub fn shown(text: &str) -> String {
    let mut short: String = text.chars().take(MAX_SHOWN).collect();
    if short.len() < text.len() {
        short.push('…');
    }
    short
}
