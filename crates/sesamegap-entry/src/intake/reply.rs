//! Answers of the process's own, and the type of all answers.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use std::fmt;
use std::time::Duration;

/// When a caller may come back that found no document: a start takes about this long.
const START_TIME: Duration = Duration::from_millis(500);

/// When a caller may come back that found no upstream: a worker that restarts or a full queue
/// needs about this long, and it leaves time for the second try.
const UPSTREAM_TIME: Duration = Duration::from_millis(400);

/// When a caller may come back whose request waits for its trial: a few trials are over by then.
const TRIAL_TIME: Duration = Duration::from_secs(1);

/// When a caller may come back whose request is quarantined: nothing but other software of its upstreams
/// or an operator changes that.
const QUARANTINE_TIME: Duration = Duration::from_hours(1);

/// When a caller may come back that found no memory: bodies are held for about a second.
const MEMORY_TIME: Duration = Duration::from_millis(500);

/// Body of an answer to a caller; an error in it breaks the connection off.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// A body that is known whole.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Why a request gets an answer of the process's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The head lacks something or cannot be read.
    BadHead(&'static str),
    /// No valid key.
    Key,
    /// No route.
    Route,
    /// The body is too long.
    BodySize,
    /// The body did not come in time.
    BodyTime,
    /// No document is in force yet.
    NoDocument,
    /// No upstream can take it; it has not run and will not.
    NoUpstream,
    /// Upstreams ended under it, and another such request is on trial; it has not run and will not.
    Suspect,
    /// Upstreams end under it; it has not run and will not.
    Quarantined,
    /// Too many bodies are held.
    Memory,
    /// It may have run, and no answer came.
    Lost,
    /// Its time was over; it may have run.
    Timeout,
}

impl Refusal {
    /// When a caller may come back, where that helps.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoDocument => Some(START_TIME),
            Self::NoUpstream => Some(UPSTREAM_TIME),
            Self::Suspect => Some(TRIAL_TIME),
            Self::Quarantined => Some(QUARANTINE_TIME),
            Self::Memory => Some(MEMORY_TIME),
            _ => None,
        }
    }

    /// The status that it is answered with.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadHead(_) => StatusCode::BAD_REQUEST,
            Self::Key => StatusCode::UNAUTHORIZED,
            Self::Route => StatusCode::NOT_FOUND,
            Self::BodySize => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTime => StatusCode::REQUEST_TIMEOUT,
            Self::NoDocument
            | Self::NoUpstream
            | Self::Suspect
            | Self::Quarantined
            | Self::Memory => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::BadHead(why) => why,
            Self::Key => "unknown or missing key",
            Self::Route => "no such route",
            Self::BodySize => "body too long",
            Self::BodyTime => "body came too slowly; not run",
            Self::NoDocument => "no settings yet; not run",
            Self::NoUpstream => "no upstream can take it; not run",
            Self::Suspect => {
                "upstreams ended under it and it runs only by itself, not now; not run"
            }
            Self::Quarantined => "quarantined, upstreams end under it; not run",
            Self::Memory => "too many requests at once; not run",
            Self::Lost => "no whole answer from the upstream; it may have run",
            Self::Timeout => "time is over; it may have run",
        })
    }
}

/// The answer for a refusal, with a time to come back where that helps.
pub fn refusal_response(refusal: Refusal) -> Response<Body> {
    let mut response = Response::new(full_body(format!("{refusal}\n")));
    *response.status_mut() = refusal.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(span) = refusal.retry_after() {
        let text = format!("{:.2}", span.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}
