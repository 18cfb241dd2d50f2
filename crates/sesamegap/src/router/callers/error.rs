//! What a caller is told when it gets no answer.
//!
//! The body has the shape that `OpenAI` client libraries read, and beside it `code`, `message` and
//! `ran`. `ran` is `no` only if nothing was written to an upstream or the upstream said so; a
//! caller may then safely ask again.

use poem::http::{StatusCode, header};
use poem::{IntoResponse, Response};
use serde_json::{Value, json};
use sesamegap_policy::{Refusal, RefusalCode};
use sesamegap_upstream::Ran;
use std::time::Duration;

/// Tells `OpenAI` client libraries whether to ask again by themselves.
const SHOULD_RETRY: &str = "x-should-retry";

/// An error for a caller.
#[derive(Debug, Clone)]
pub struct ApiError {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable code.
    pub code: &'static str,
    /// Words for people.
    pub message: String,
    /// Whether the request may have run.
    pub ran: Ran,
    /// When to ask again.
    pub after: Option<Duration>,
    /// Addresses of other routers, from one that is stopping.
    pub others: Vec<String>,
}

impl ApiError {
    /// An error on a request that was not run.
    pub fn not_run(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            ran: Ran::No,
            after: None,
            others: Vec::new(),
        }
    }

    /// A fault of the caller's, found before anything was done.
    pub fn bad(code: &'static str, message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, code, message)
    }

    /// Not enough room now.
    pub fn overload(message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "overload", message)
            .after(Duration::from_secs(1))
    }

    /// An error on a request of which nobody can tell whether it ran.
    pub fn unknown(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            ran: Ran::Unknown,
            ..Self::not_run(status, code, message)
        }
    }

    /// Adds when to ask again.
    #[must_use]
    pub fn after(mut self, after: Duration) -> Self {
        self.after = Some(after);
        self
    }

    /// Says whether the request may have run.
    #[must_use]
    pub fn ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Words a refusal of the decider's.
    pub fn refusal(refusal: &Refusal) -> Self {
        let (status, code, message) = match refusal.code {
            RefusalCode::Deadline => (
                503,
                "deadline",
                "the deadline for the first token cannot be met",
            ),
            RefusalCode::QueueFull => (503, "queue_full", "the queue of the traffic class is full"),
            RefusalCode::TeamLimit => (429, "team_limit", "the team is over its rate or share"),
            RefusalCode::NoEngine => (503, "no_engine", "no live engine holds the model"),
            RefusalCode::RetryBudget => (503, "retry_budget", "the retry budget is spent"),
            RefusalCode::Unknown => (
                404,
                "unknown",
                "settings no longer know the model, team or class",
            ),
        };
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        Self::not_run(status, code, message).after(refusal.after)
    }

    /// The body, also sent as the explicit error event of a stream.
    pub fn body(&self) -> Value {
        let ran = self.ran.to_string();
        let mut body = json!({
            "error": {
                "message": self.message,
                "type": self.kind(),
                "param": null,
                "code": self.code,
                "ran": ran,
            },
            "code": self.code,
            "message": self.message,
            "ran": ran,
        });
        if !self.others.is_empty() {
            body["addresses"] = json!(self.others);
        }
        body
    }

    fn kind(&self) -> &'static str {
        match self.status.as_u16() {
            401 => "authentication_error",
            403 => "permission_error",
            404 => "not_found_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        }
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        let mut response = Response::builder()
            .status(self.status)
            .content_type("application/json")
            .header(
                SHOULD_RETRY,
                (self.ran == Ran::No && self.after.is_some()).to_string(),
            )
            .body(self.body().to_string());
        if let Some(after) = self.after {
            let whole = after.as_millis().div_ceil(1000).max(1).to_string();
            if let Ok(value) = whole.parse() {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}

impl From<ApiError> for poem::Error {
    fn from(error: ApiError) -> Self {
        Self::from_response(error.into_response())
    }
}

/// Turns whatever the library refuses by itself into the same kind of body.
pub fn from_library(error: poem::Error) -> Response {
    if error.is_from_response() {
        return error.into_response();
    }
    let status = error.status();
    let code = match status.as_u16() {
        404 => "not_found",
        405 => "method_not_allowed",
        413 => "body_too_large",
        400..=499 => "bad_request",
        _ => "internal",
    };
    let message = error.to_string();
    ApiError::not_run(status, code, message).into_response()
}
