//! The error of reading an identifier or a quantity from text.

use std::error::Error;
use std::fmt;

/// Text that is not a valid value of the wanted type.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    kind: &'static str,
    text: String,
    allowed: &'static str,
}

impl ParseError {
    /// Records what was read, as which kind, and what would have been allowed.
    pub fn new(kind: &'static str, text: impl Into<String>, allowed: &'static str) -> Self {
        Self {
            kind,
            text: text.into(),
            allowed,
        }
    }

    /// What would have been allowed, in words.
    pub fn allowed(&self) -> &'static str {
        self.allowed
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is not a valid {}: allowed is {}",
            self.text, self.kind, self.allowed
        )
    }
}

impl Error for ParseError {}
