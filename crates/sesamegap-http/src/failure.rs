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
    pub fn from_send_error(error: &reqwest::Error) -> Self {
        let message = error_chain(error);
        if error.is_connect() || error.is_builder() {
            Self::Unreached(message)
        } else {
            Self::Broken(message)
        }
    }

    /// A wait that reached its limit on an open connection.
    pub fn timed_out() -> Self {
        Self::Broken("the connection went silent".to_owned())
    }
}

/// The error and its sources in one line, since the outermost one alone tells little.
fn error_chain(error: &reqwest::Error) -> String {
    let mut message = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        message.push_str(": ");
        message.push_str(&cause.to_string());
        source = cause.source();
    }
    message
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreached(message) => write!(f, "no connection: {message}"),
            Self::Broken(message) => write!(f, "no whole answer: {message}"),
            Self::Oversized(limit) => write!(f, "answer longer than {limit} bytes"),
        }
    }
}

impl Error for Failure {}
