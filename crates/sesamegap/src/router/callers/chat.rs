//! Model requests, as chat messages or as plain text.
//!
//! Each message is one nested level of the prompt: callers put the preamble first, then the
//! dossier or project, then the form or room, so the levels are where prompts part ways.

use super::admit::{self, Admit};
use super::intake::{self, Asked, Held};
use super::models::{may_ask, unknown};
use super::{ApiError, Shared};
use crate::router::clock::unix_ms;
use crate::router::core::Core;
use crate::router::streams::Shape;
use crate::router::streams::model::ModelJob;
use poem::http::StatusCode;
use poem::web::Data;
use poem::{Body, Request, Response, handler};
use serde::Deserialize;
use sesamegap_policy::shifting::select_version;
use sesamegap_settings::{Catalogue, ClassSpec};
use sesamegap_wire::chain::Seed;
use sesamegap_wire::{Chain, ClassId, ModelId, TeamId, Tokens, WeightsVersion};

/// The body of a model request; what an engine here cannot honour is ignored.
#[derive(Debug, Deserialize)]
struct Asking {
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Option<Prompt>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    n: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: Option<Content>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Debug, Deserialize)]
struct Part {
    #[serde(rename = "type")]
    kind: String,
    #[serde(default)]
    text: String,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    Parts(Vec<String>),
}

/// `POST /v1/chat/completions`
#[handler]
pub async fn chat(
    request: &Request,
    body: Body,
    Data(core): Data<&Shared>,
) -> Result<Response, ApiError> {
    serve(core, request, body, Shape::Chat).await
}

/// `POST /v1/completions`
#[handler]
pub async fn completions(
    request: &Request,
    body: Body,
    Data(core): Data<&Shared>,
) -> Result<Response, ApiError> {
    serve(core, request, body, Shape::Text).await
}

async fn serve(
    core: &Shared,
    request: &Request,
    body: Body,
    shape: Shape,
) -> Result<Response, ApiError> {
    intake::open(core)?;
    let asked = Asked::read(core, request)?;
    let Held { bytes, room } = intake::body(core, request.headers(), body).await?;
    let admit = prepare(core, asked, &bytes, shape)?.holding(room);
    admit::run(core, admit, request.uri().path(), bytes).await
}

/// Checks a request against the settings and cuts its prompt.
///
/// # Errors
/// With what is wrong with it; nothing was run.
pub fn prepare(core: &Core, asked: Asked, body: &[u8], shape: Shape) -> Result<Admit, ApiError> {
    let body: Asking = serde_json::from_slice(body)
        .map_err(|error| ApiError::bad("bad_json", format!("the body is no request: {error}")))?;
    if body.n.is_some_and(|n| n != 1) {
        return Err(ApiError::bad("bad_request", "`n` must be 1"));
    }
    let settings = core.settings();
    let catalogue = settings.as_ref();
    let model: ModelId = body
        .model
        .parse()
        .map_err(|_| unknown(&body.model, catalogue))?;
    let spec = catalogue
        .models
        .get(&model)
        .ok_or_else(|| unknown(&body.model, catalogue))?;
    allowed(catalogue, &asked.team, &model)?;
    let (class, promises) = class(catalogue, &asked)?;
    let parts = parts(&body, shape)?;
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    let version = version(core, &asked.team, &model, spec.version, &parts);
    let seed = Seed {
        team: &asked.team,
        model: &model,
        version,
    };
    let chain = Chain::from_parts(seed, &parts, spec.block);
    if chain.tokens > spec.longest {
        return Err(too_long(chain.tokens, spec.longest));
    }
    core.demand.asked(&model, chain.tokens);
    let wanted = body.max_completion_tokens.or(body.max_tokens);
    let answer = wanted.map_or(spec.answer, |wanted| Tokens(wanted.max(1)).min(spec.answer));
    let repeatable = asked.repeatable.unwrap_or(asked.key.is_none());
    Ok(Admit::model(
        asked,
        shape,
        body.stream,
        unix_ms() / 1000,
        ModelJob {
            class,
            model,
            version,
            chain,
            prompt: parts.concat(),
            answer,
            repeatable,
            key: None,
            arrived: core.clock.now(),
            retries: promises.retries,
            total: promises.total,
        },
    ))
}

/// Which weights answer, while the wanted ones are still being loaded.
fn version(
    core: &Core,
    team: &TeamId,
    model: &ModelId,
    wanted: WeightsVersion,
    parts: &[&str],
) -> WeightsVersion {
    let holders = core.fleet.holders();
    let Some(versions) = holders.get(model) else {
        return wanted;
    };
    if versions.keys().all(|version| *version == wanted) {
        return wanted;
    }
    select_version(wanted, versions, point(team, parts))
}

/// A number in 0..1 that all requests with the same outer levels share.
fn point(team: &TeamId, parts: &[&str]) -> f64 {
    let outer = parts.len().saturating_sub(1).max(1);
    let mut hasher = blake3::Hasher::new();
    hasher.update(team.as_str().as_bytes());
    for part in parts.iter().take(outer) {
        hasher.update(part.as_bytes());
    }
    let mut quarter = [0; 4];
    quarter.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
    f64::from(u32::from_le_bytes(quarter)) / (f64::from(u32::MAX) + 1.0)
}

fn allowed(catalogue: &Catalogue, team: &TeamId, model: &ModelId) -> Result<(), ApiError> {
    let spec = catalogue.teams.get(team);
    if spec.is_some_and(|spec| may_ask(spec, model)) {
        return Ok(());
    }
    let message = format!("team `{team}` may not ask model `{model}`");
    Err(ApiError::not_run(
        StatusCode::FORBIDDEN,
        "model_forbidden",
        message,
    ))
}

fn class<'a>(
    catalogue: &'a Catalogue,
    asked: &Asked,
) -> Result<(ClassId, &'a ClassSpec), ApiError> {
    let default = catalogue.teams.get(&asked.team).map(|team| &team.class);
    let name = asked.class.as_ref().or(default);
    let found = name.and_then(|name| catalogue.classes.get_key_value(name));
    found
        .map(|(name, spec)| (name.clone(), spec))
        .ok_or_else(|| {
            let known: Vec<&str> = catalogue.classes.keys().map(ClassId::as_str).collect();
            let message = format!("no such traffic class; there are: {}", known.join(", "));
            ApiError::bad("unknown_class", message)
        })
}

fn too_long(tokens: Tokens, longest: Tokens) -> ApiError {
    let message = format!("the prompt has about {tokens} tokens, allowed are {longest}");
    ApiError::bad("context_length_exceeded", message)
}

fn parts(body: &Asking, shape: Shape) -> Result<Vec<String>, ApiError> {
    let parts: Vec<String> = if shape == Shape::Chat {
        let messages = body.messages.iter();
        messages.map(message).collect::<Result<_, _>>()?
    } else {
        match &body.prompt {
            Some(Prompt::One(text)) => vec![text.clone()],
            Some(Prompt::Parts(parts)) if parts.len() == 1 => parts.clone(),
            Some(Prompt::Parts(_)) => {
                let message = "`prompt` must be one text";
                return Err(ApiError::bad("bad_request", message));
            }
            None => Vec::new(),
        }
    };
    if parts.is_empty() {
        let message = "the request has neither messages nor a prompt";
        return Err(ApiError::bad("bad_request", message));
    }
    Ok(parts)
}

/// One message as text; its role is part of it, so that two roles never share a cache entry.
fn message(message: &Message) -> Result<String, ApiError> {
    let mut text = format!("{}: ", message.role);
    match &message.content {
        None => {}
        Some(Content::Text(content)) => text.push_str(content),
        Some(Content::Parts(parts)) => {
            for part in parts {
                if part.kind != "text" {
                    let message = "only text parts are understood";
                    return Err(ApiError::bad("bad_request", message));
                }
                text.push_str(&part.text);
            }
        }
    }
    text.push('\n');
    Ok(text)
}
