//! Why an exchange failed, as far as one end of it can tell.

use std::error::Error;
use std::fmt;

/// An exchange that brought no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// No connection was made, so nothing was written.
    Unreached(String),
    /// Something may have been written, and no whole answer came.
    Broken(String),
    /// The answer was longer than this many bytes.
    Oversized(usize),
}

impl Failure {
    /// Tells a connection never made from one that broke.
    ///
    /// A request that could not even be built was not written either.
    pub fn of_sending(error: &reqwest::Error) -> Self {
        let words = with_sources(error);
        if error.is_connect() || error.is_builder() {
            Self::Unreached(words)
        } else {
            Self::Broken(words)
        }
    }

    /// A wait that reached its limit on an open connection.
    pub fn silence() -> Self {
        Self::Broken("the connection went silent".to_owned())
    }
}

/// The error and its sources in one line, since the outermost one alone tells little.
fn with_sources(error: &reqwest::Error) -> String {
    let mut words = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        words.push_str(": ");
        words.push_str(&cause.to_string());
        source = cause.source();
    }
    words
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreached(words) => write!(f, "no connection: {words}"),
            Self::Broken(words) => write!(f, "no whole answer: {words}"),
            Self::Oversized(limit) => write!(f, "answer longer than {limit} bytes"),
        }
    }
}

impl Error for Failure {}
