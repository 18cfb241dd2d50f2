//! Resumes and cancels requests, at whichever router the caller comes to.

use super::intake::{self, resume_from};
use super::reply::{Form, resume_response};
use super::{ApiError, Shared, relay};
use crate::router::core::Core;
use crate::router::streams::Answer;
use poem::http::{StatusCode, header};
use poem::web::{Data, Path};
use poem::{Request, Response, handler};
use sesamegap_wire::{RequestId, TeamId};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// `GET /v1/requests/{id}`
#[handler]
pub async fn on_resume(
    request: &Request,
    Path(id): Path<String>,
    Data(core): Data<&Shared>,
) -> Result<Response, ApiError> {
    let team = intake::team(core, request.headers())?;
    let id = parse(&id)?;
    let from = resume_from(request)?;
    let form = form(request);
    if !core.owns(&id) {
        return relay::resume(core, &id, &team, from, form).await;
    }
    let answer = find(core, &id, &team)?;
    Ok(resume_response(&answer, from, form).await)
}

/// `DELETE /v1/requests/{id}`
#[handler]
pub async fn on_cancel(
    request: &Request,
    Path(id): Path<String>,
    Data(core): Data<&Shared>,
) -> Result<Response, ApiError> {
    let team = intake::team(core, request.headers())?;
    let id = parse(&id)?;
    if !core.owns(&id) {
        return relay::cancel(core, &id, &team).await;
    }
    find(core, &id, &team)?.cancel();
    Ok(StatusCode::NO_CONTENT.into())
}

fn parse(id: &str) -> Result<RequestId, ApiError> {
    id.parse().map_err(|error: sesamegap_wire::ParseError| {
        ApiError::bad("bad_request_id", error.to_string())
    })
}

fn form(request: &Request) -> Form {
    let accept = request.headers().get(header::ACCEPT);
    let accept = accept.and_then(|accept| accept.to_str().ok());
    let json = accept.is_some_and(|accept| accept.contains("application/json"));
    let resumes = request.headers().contains_key(intake::LAST_EVENT);
    if json && !resumes {
        Form::Whole
    } else {
        Form::Events
    }
}

/// Finds an answer of this router's that belongs to the team.
///
/// Another team's request looks like one that never was.
pub fn find(core: &Core, id: &RequestId, team: &TeamId) -> Result<Arc<Answer>, ApiError> {
    let minted = id.seq < core.minted.load(Ordering::Relaxed);
    match core.kept.get(id) {
        Some(answer) if answer.head.team == *team => Ok(answer),
        None if minted => Err(ApiError::unknown(
            StatusCode::GONE,
            "answer_gone",
            "the answer is kept no longer",
        )),
        _ => Err(ApiError::not_run(
            StatusCode::NOT_FOUND,
            "unknown_request",
            "the team has no such request here",
        )),
    }
}
