//! The error for parsing an identifier or a quantity.

use std::error::Error;
use std::fmt;

/// An error for text that is not a valid value of the expected type.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    kind: &'static str,
    text: String,
    allowed: &'static str,
}

impl ParseError {
    /// Creates an error for `text`, which is not a valid `kind`; `allowed` describes the accepted form.
    pub fn new(kind: &'static str, text: impl Into<String>, allowed: &'static str) -> Self {
        Self {
            kind,
            text: text.into(),
            allowed,
        }
    }

    /// A description of the accepted form.
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
