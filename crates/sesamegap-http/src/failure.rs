//! Why an HTTP exchange failed, as far as the client can tell.

use std::error::Error;
use std::fmt;

/// An exchange that did not return a complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// No connection was established, so nothing was sent.
    Unreached(String),
    /// The request may have been sent, and no complete response arrived.
    Broken(String),
    /// The response exceeded this many bytes.
    Oversized(usize),
}

impl Failure {
    /// Distinguishes a connection that was never established from one that broke.
    ///
    /// A request that could not be built was not sent either.
    pub fn from_send_error(error: &reqwest::Error) -> Self {
        let message = error_chain(error);
        if error.is_connect() || error.is_builder() {
            Self::Unreached(message)
        } else {
            Self::Broken(message)
        }
    }

    /// An exchange that the connection went silent.
    pub fn timed_out() -> Self {
        Self::Broken("the connection went silent".to_owned())
    }
}

/// Joins the error and its sources into one line; the outermost message alone rarely names the
/// cause.
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
