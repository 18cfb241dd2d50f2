//! Error responses of the entry VM itself.

use http::StatusCode;
use std::fmt;
use std::time::Duration;

/// `Retry-After` if no document is in force yet, or a newer one is about to be: a copy takes about this long.
pub const START_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` if no upstream is available.
///
/// The restart of a worker or a full queue takes about this long, and the caller still has time for
/// a second attempt.
const UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(400);

/// `Retry-After` if the request has to wait for its trial: a few trials have ended by then.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Retry-After` if the request is quarantined: only an operator or other software on the upstreams
/// ends that.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_hours(1);

/// `Retry-After` if this VM cannot tell which software version began a stream: another VM, or this one a little later,
/// may know.
const ORIGIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` of a stream that cannot go on; only a new start helps its caller.
const NOT_RESUMABLE_RETRY_AFTER: Duration = Duration::from_mins(10);

/// `Retry-After` if the memory for bodies is used up: a body is held for about a second.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Least `Retry-After` of a request refused for its team's rate limit: a sooner return would mostly be refused too.
const MIN_QUOTA_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Why a request is answered by the entry VM instead of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The head is invalid or incomplete, or the body was aborted.
    BadHead(&'static str),
    /// The key is missing or unknown.
    InvalidKey,
    /// No route matches.
    NoRoute,
    /// The body is too long.
    BodyTooLarge,
    /// The body was not complete in time.
    BodyTimeout,
    /// No document is in force yet.
    NoDocument,
    /// The document in force does not allow it, but there is a newer one, or this VM cannot tell that there is none.
    OldDocument,
    /// A newer document should have been in force here for long; it was not run and will not be.
    Outdated,
    /// No upstream is available; the request was not run and will not be.
    NoUpstream,
    /// The engines' backlog is too long for it; it was not run and will not be.
    Overloaded(Duration),
    /// The limits that all upstreams name are used up; it was not run and will not be.
    AllLimited(Duration),
    /// Upstreams crashed while they ran it, and another such request is on trial; it was not run
    /// and will not be.
    Suspect,
    /// Upstreams crash while they run it; it was not run and will not be.
    Quarantined,
    /// Its team has used up its rate limit; it was not run and will not be.
    OverQuota(Duration),
    /// This VM cannot tell whether its team's rate limit allows it; it was not run and will not be.
    NoQuotaRights(Duration),
    /// It takes a stream up of which this VM cannot tell the software version that began it; it was not run and will not
    /// be.
    UnknownOrigin,
    /// It takes a stream up that can go on at no upstream; it was not run and will not be.
    NotResumable,
    /// The memory for request bodies is used up.
    OutOfMemory,
    /// This VM stops before the request could end, and can take it up again after this time if no other VM does; it was not
    /// run and will not be.
    Stopping(Duration),
    /// It may have run, but no complete response came.
    Lost,
    /// Its deadline has passed; it may have run.
    Timeout,
}

impl Refusal {
    /// Refuses a request that no upstream takes for `wait`. Callers are told to return at different times within as long
    /// after it, by the hash of their request: together they would find the limits used up again.
    pub fn all_limited(wait: Duration, request_hash: u64) -> Self {
        let fraction =
            f64::from(u32::try_from(request_hash >> 32).unwrap_or(0)) / f64::from(u32::MAX);
        Self::AllLimited(wait.mul_f64(1.0 + fraction))
    }

    /// The delay for `Retry-After`, if a retry can help.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoDocument | Self::OldDocument | Self::Outdated => Some(START_RETRY_AFTER),
            Self::NoUpstream => Some(UPSTREAM_RETRY_AFTER),
            Self::Suspect => Some(TRIAL_RETRY_AFTER),
            Self::Quarantined => Some(QUARANTINE_RETRY_AFTER),
            Self::UnknownOrigin => Some(ORIGIN_RETRY_AFTER),
            Self::NotResumable => Some(NOT_RESUMABLE_RETRY_AFTER),
            Self::OutOfMemory => Some(MEMORY_RETRY_AFTER),
            Self::Overloaded(wait) | Self::Stopping(wait) => Some(wait),
            Self::OverQuota(wait) | Self::NoQuotaRights(wait) | Self::AllLimited(wait) => {
                Some(wait.max(MIN_QUOTA_RETRY_AFTER))
            }
            _ => None,
        }
    }

    /// The status code of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadHead(_) => StatusCode::BAD_REQUEST,
            Self::InvalidKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::NoDocument
            | Self::OldDocument
            | Self::Outdated
            | Self::NoUpstream
            | Self::Overloaded(_)
            | Self::AllLimited(_)
            | Self::Suspect
            | Self::Quarantined
            | Self::NoQuotaRights(_)
            | Self::UnknownOrigin
            | Self::NotResumable
            | Self::OutOfMemory
            | Self::Stopping(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::OverQuota(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::BadHead(why) => why,
            Self::InvalidKey => "unknown or missing key",
            Self::NoRoute => "no such route",
            Self::BodyTooLarge => "body too long",
            Self::BodyTimeout => "body came too slowly; not run",
            Self::NoDocument => "no settings yet; not run",
            Self::OldDocument => "not allowed by settings that may have been replaced; not run",
            Self::Outdated => "the settings here were replaced some time ago; not run",
            Self::NoUpstream => "no upstream can take it; not run",
            Self::Overloaded(_) => "the engines have too much work before it; not run",
            Self::AllLimited(_) => "the upstreams take no more requests now; not run",
            Self::Suspect => {
                "upstreams ended under it and it runs only by itself, not now; not run"
            }
            Self::Quarantined => "quarantined, upstreams end under it; not run",
            Self::OverQuota(_) => "over the team's rate limit; not run",
            Self::NoQuotaRights(_) => "the team's rate limit cannot be checked now; not run",
            Self::UnknownOrigin => {
                "the software version that began the stream is not known here now; not run"
            }
            Self::NotResumable => {
                "the stream cannot go on at the software version that began it; not run"
            }
            Self::OutOfMemory => "too many requests at once; not run",
            Self::Stopping(_) => "this VM is stopping, others serve; not run",
            Self::Lost => "no whole answer from the upstream; it may have run",
            Self::Timeout => "time is over; it may have run",
        })
    }
}
