//! Lists the models that a team may ask.

use super::{ApiError, Shared, intake};
use poem::http::StatusCode;
use poem::web::{Data, Json, Path};
use poem::{Request, handler};
use serde_json::{Value, json};
use sesamegap_settings::{Catalogue, TeamSpec};
use sesamegap_wire::ModelId;

/// `GET /v1/models`
#[handler]
pub fn list(request: &Request, Data(core): Data<&Shared>) -> Result<Json<Value>, ApiError> {
    let team = intake::team(core, request.headers())?;
    let settings = core.settings();
    let spec = settings.teams.get(&team);
    let names = settings.models.keys();
    let allowed = names.filter(|name| spec.is_some_and(|spec| may_ask(spec, name)));
    let data: Vec<Value> = allowed.map(describe).collect();
    Ok(Json(json!({ "object": "list", "data": data })))
}

/// `GET /v1/models/{name}`
#[handler]
pub fn one(
    request: &Request,
    Path(name): Path<String>,
    Data(core): Data<&Shared>,
) -> Result<Json<Value>, ApiError> {
    let team = intake::team(core, request.headers())?;
    let settings = core.settings();
    let catalogue = settings.as_ref();
    let known = name.parse().ok().filter(|name: &ModelId| {
        let spec = catalogue.teams.get(&team);
        catalogue.models.contains_key(name) && spec.is_some_and(|spec| may_ask(spec, name))
    });
    let known = known.ok_or_else(|| unknown(&name, catalogue))?;
    Ok(Json(describe(&known)))
}

/// Whether a team may ask a model.
pub fn may_ask(team: &TeamSpec, model: &ModelId) -> bool {
    team.models.is_empty() || team.models.contains(model)
}

/// Tells which models there are instead.
pub fn unknown(name: &str, catalogue: &Catalogue) -> ApiError {
    let shown: String = name.chars().take(64).collect();
    let known: Vec<&str> = catalogue.models.keys().map(ModelId::as_str).collect();
    let message = format!("no model `{shown}`; there are: {}", known.join(", "));
    ApiError::not_run(StatusCode::NOT_FOUND, "model_not_found", message)
}

fn describe(name: &ModelId) -> Value {
    json!({ "id": name.as_str(), "object": "model", "created": 0, "owned_by": "sesamegap" })
}
