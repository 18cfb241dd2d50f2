//! Reads a caller's request within bounds.

use super::ApiError;
use crate::router::core::Core;
use crate::router::phase::Phase;
use bytes::Bytes;
use poem::http::{HeaderMap, StatusCode, header};
use poem::{Body, Request};
use sesamegap_wire::{ClassId, TeamId};
use smol_str::SmolStr;
use std::sync::Arc;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;

/// Names the traffic class.
pub const CLASS: &str = "sesamegap-class";
/// Says `no` if the request may run at most once, `yes` if it may run again.
pub const REPEATABLE: &str = "sesamegap-repeatable";
/// Names the request in answers.
pub const REQUEST_ID: &str = "sesamegap-request-id";
/// The caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The last event that a resuming caller has got.
pub const LAST_EVENT: &str = "last-event-id";

/// Longest idempotency key, in bytes; keys are kept in memory.
const LONGEST_KEY: usize = 128;

/// What every request says of itself.
#[derive(Debug, Clone)]
pub struct Asked {
    /// The team.
    pub team: TeamId,
    /// The class it names, if any.
    pub class: Option<ClassId>,
    /// Whether it may run twice, if it says so.
    pub repeatable: Option<bool>,
    /// Its idempotency key, if any.
    pub key: Option<SmolStr>,
}

impl Asked {
    /// Identifies the team and reads the headers.
    pub fn read(core: &Core, request: &Request) -> Result<Self, ApiError> {
        let team = team(core, request.headers())?;
        let headers = request.headers();
        Ok(Self {
            team,
            class: class(headers)?,
            repeatable: repeatable(headers)?,
            key: key(headers)?,
        })
    }
}

/// Refuses new work in a router that is about to stop.
pub fn open(core: &Core) -> Result<(), ApiError> {
    if core.phases.now() < Phase::Refusing {
        return Ok(());
    }
    let message = "this router is stopping; use another address";
    let mut error = ApiError::overload(message);
    error.code = "stopping";
    let others = core.fleet.entries().into_iter();
    error.others = others
        .filter(|entry| !entry.leaving && entry.vm != core.config.vm)
        .map(|entry| format!("http://{}", entry.router))
        .collect();
    Err(error)
}

/// The team whose key the request carries.
pub fn team(core: &Core, headers: &HeaderMap) -> Result<TeamId, ApiError> {
    if !core.tree.is_known() {
        let mut error = ApiError::overload("this router has no settings yet");
        error.code = "starting";
        return Err(error);
    }
    let settings = core.settings();
    bearer(headers)
        .and_then(|key| settings.keys.team(key).cloned())
        .ok_or_else(|| {
            let message = "the Authorization header carries no team's key";
            ApiError::not_run(StatusCode::UNAUTHORIZED, "wrong_key", message)
        })
}

/// The bearer token of a request.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// Whether a request carries the operators' key, of which only the hash is known.
pub fn is_operator(headers: &HeaderMap, hash: &str) -> bool {
    bearer(headers).is_some_and(|key| sesamegap_settings::matches(key, hash))
}

/// A caller's body, which holds its share of the room for bodies until it is dropped.
#[derive(Debug)]
pub struct Held {
    /// The body.
    pub bytes: Bytes,
    /// Its share of the room.
    pub room: OwnedSemaphorePermit,
}

/// Reads a body within the bounds of size and time.
///
/// Room for as many bytes as it may have is taken before the first one is read: a burst of large
/// prompts would else fill the memory long before the bound on requests is reached.
pub async fn body(core: &Core, headers: &HeaderMap, body: Body) -> Result<Held, ApiError> {
    let bounds = &core.config.bounds;
    let length = headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
    let most = length.unwrap_or(bounds.body).min(bounds.body);
    let room = Arc::clone(&core.bodies).try_acquire_many_owned(kibibytes(most));
    let mut room = room.map_err(|_| ApiError::overload("the router has too many large prompts"))?;
    let bytes = read(core, body).await?;
    // What was reserved beyond the body's real length is given back.
    drop(room.split(kibibytes(most).saturating_sub(kibibytes(bytes.len())) as usize));
    Ok(Held { bytes, room })
}

/// Whole kibibytes, in which room is counted.
fn kibibytes(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(1024)).unwrap_or(u32::MAX)
}

async fn read(core: &Core, body: Body) -> Result<Bytes, ApiError> {
    let bounds = &core.config.bounds;
    let read = timeout(bounds.receive, body.into_bytes_limit(bounds.body)).await;
    match read {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(poem::error::ReadBodyError::PayloadTooLarge)) => Err(ApiError::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
            format!("the body is longer than {} bytes", bounds.body),
        )),
        Ok(Err(error)) => Err(ApiError::bad("body_broken", error.to_string())),
        Err(_) => Err(ApiError::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "body_late",
            format!("the body did not come within {:?}", bounds.receive),
        )),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, ApiError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let value = value.to_str();
    value.map(Some).map_err(|_| garbled(name))
}

fn garbled(name: &str) -> ApiError {
    ApiError::bad("bad_header", format!("the header `{name}` is not readable"))
}

fn class(headers: &HeaderMap) -> Result<Option<ClassId>, ApiError> {
    let Some(value) = text(headers, CLASS)? else {
        return Ok(None);
    };
    let class = value.parse::<ClassId>();
    class
        .map(Some)
        .map_err(|error| ApiError::bad("unknown_class", error.to_string()))
}

fn repeatable(headers: &HeaderMap) -> Result<Option<bool>, ApiError> {
    match text(headers, REPEATABLE)? {
        None => Ok(None),
        Some("yes") => Ok(Some(true)),
        Some("no") => Ok(Some(false)),
        Some(_) => {
            let message = format!("the header `{REPEATABLE}` allows `yes` and `no`");
            Err(ApiError::bad("bad_header", message))
        }
    }
}

fn key(headers: &HeaderMap) -> Result<Option<SmolStr>, ApiError> {
    let Some(value) = text(headers, IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    if value.is_empty() || value.len() > LONGEST_KEY {
        let message = format!("`{IDEMPOTENCY_KEY}` must have 1 to {LONGEST_KEY} bytes");
        return Err(ApiError::bad("bad_key", message));
    }
    Ok(Some(value.into()))
}

/// The place after the last event that a resuming caller has got.
pub fn resume_from(request: &Request) -> Result<u64, ApiError> {
    if let Some(last) = text(request.headers(), LAST_EVENT)? {
        let last: u64 = last.trim().parse().map_err(|_| garbled(LAST_EVENT))?;
        return Ok(last.saturating_add(1));
    }
    let query = request.uri().query().unwrap_or_default();
    let from = query.split('&').find_map(|pair| pair.strip_prefix("from="));
    from.map_or(Ok(0), |from| {
        let message = "`from` must be the place of a token";
        from.parse()
            .map_err(|_| ApiError::bad("bad_query", message))
    })
}
