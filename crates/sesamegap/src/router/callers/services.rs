//! Calls to plain services.

use super::admit::{self, Admit};
use super::intake::{self, Asked, Held};
use super::{ApiError, Shared};
use crate::router::clock::unix_ms;
use crate::router::core::Core;
use crate::router::streams::service::ServiceJob;
use bytes::Bytes;
use poem::http::{StatusCode, header};
use poem::web::Data;
use poem::{Body, Request, Response, handler};
use sesamegap_settings::ServiceSpec;
use sesamegap_upstream::Call;
use sesamegap_wire::{Incarnation, RequestId, ServiceId};
use smol_str::SmolStr;

/// What precedes a service's name in a path.
pub const ROOT: &str = "/v1/services/";

/// `ANY /v1/services/{name}/{path}`
#[handler]
pub async fn serve(
    request: &Request,
    body: Body,
    Data(core): Data<&Shared>,
) -> Result<Response, ApiError> {
    intake::open(core)?;
    let asked = Asked::read(core, request)?;
    let Held { bytes: body, room } = intake::body(core, request.headers(), body).await?;
    let content = request.headers().get(header::CONTENT_TYPE);
    let content = content.and_then(|content| content.to_str().ok());
    let target = request.uri().path_and_query();
    let path = target.map_or(request.uri().path(), |target| target.as_str());
    let call = Outline {
        method: request.method().as_str(),
        path,
        content,
    };
    let admit = prepare(core, asked, &call, body.clone())?.holding(room);
    admit::run(core, admit, &call.line(), body).await
}

/// What a call says besides its body.
#[derive(Debug, Clone, Copy)]
pub struct Outline<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query as the caller gave them.
    pub path: &'a str,
    /// Content type.
    pub content: Option<&'a str>,
}

impl<'a> Outline<'a> {
    /// As one line, for another router.
    pub fn line(&self) -> String {
        format!(
            "{} {} {}",
            self.method,
            self.path,
            self.content.unwrap_or_default()
        )
    }

    /// Reads such a line.
    pub fn parse(line: &'a str) -> Option<Self> {
        let mut parts = line.splitn(3, ' ');
        Some(Self {
            method: parts.next()?,
            path: parts.next()?,
            content: parts.next().filter(|content| !content.is_empty()),
        })
    }
}

/// Checks a call against the settings.
pub fn prepare(
    core: &Core,
    asked: Asked,
    outline: &Outline<'_>,
    body: Bytes,
) -> Result<Admit, ApiError> {
    let (service, path) = split(outline.path);
    let settings = core.settings();
    let found = service
        .parse::<ServiceId>()
        .ok()
        .and_then(|id| settings.services.get_key_value(&id));
    let Some((service, spec)) = found else {
        let shown: String = service.chars().take(64).collect();
        let message = format!("no service `{shown}`");
        return Err(ApiError::not_run(
            StatusCode::NOT_FOUND,
            "unknown_service",
            message,
        ));
    };
    check_size(spec, &body)?;
    let repeatable = repeatable(&asked, spec);
    let call = Call {
        request: placeholder(core),
        method: outline.method.into(),
        path: path.to_owned(),
        content_type: outline.content.map(SmolStr::from),
        body,
        idempotency_key: None,
        timeout: spec.timeout,
    };
    let job = ServiceJob {
        service: service.clone(),
        window: spec.window,
        repeatable,
        call,
    };
    Ok(Admit::service(asked, unix_ms() / 1000, job))
}

/// A caller's word goes first, then its key, then the service's own default.
fn repeatable(asked: &Asked, spec: &ServiceSpec) -> bool {
    let default = spec.repeatable && asked.key.is_none();
    asked.repeatable.unwrap_or(default)
}

fn check_size(spec: &ServiceSpec, body: &Bytes) -> Result<(), ApiError> {
    if body.len() as u64 <= spec.body {
        return Ok(());
    }
    let message = format!("the body is longer than the service's {} bytes", spec.body);
    Err(ApiError::not_run(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body_too_large",
        message,
    ))
}

/// The service's name and the path below its root.
fn split(path: &str) -> (&str, &str) {
    let rest = path.strip_prefix(ROOT).unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    rest.split_at(end)
}

/// Stands in the call until the request is let in and gets its id.
fn placeholder(core: &Core) -> RequestId {
    RequestId {
        vm: core.config.vm.clone(),
        incarnation: Incarnation(0),
        seq: 0,
    }
}
