//! Hands out tickets.

use super::{ApiError, Shared, intake};
use poem::web::{Data, Json};
use poem::{Request, handler};
use serde_json::{Value, json};

/// `POST /v1/tickets`
#[handler]
pub fn mint(request: &Request, Data(core): Data<&Shared>) -> Result<Json<Value>, ApiError> {
    intake::open(core)?;
    let team = intake::team(core, request.headers())?;
    let ticket = core.once.mint(core, &team)?;
    Ok(Json(json!({
        "key": ticket.to_string(),
        "seconds": core.config.timing.keep.as_secs(),
    })))
}
