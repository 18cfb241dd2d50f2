//! The callers' side: HTTP in the shape that `OpenAI` client libraries speak.
//!
//! A request is identified by its team's key, read within bounds of size and time, and checked
//! against the settings in force; whatever is wrong is answered with a 4xx whose body says that
//! nothing was run. Then [`admit`] finds out whether its idempotency key allows it to run, and a
//! task works on it while [`reply`] sends the answer as it comes.

mod admit;
pub mod chat;
mod error;
mod intake;
mod models;
mod relay;
mod reply;
mod requests;
mod services;
mod sse;
mod tickets;

pub use error::{ApiError, from_library};
pub(super) use intake::body as read_body;
pub use intake::is_operator;
pub(super) use relay::run_relayed;
pub(super) use reply::{Form, resume_response};
pub(super) use requests::find as find_answer;

use super::core::Core;
use poem::{Route, get, post};
use std::sync::Arc;

/// The routes that callers use.
pub fn routes(route: Route) -> Route {
    route
        .at("/v1/chat/completions", post(chat::chat))
        .at("/v1/completions", post(chat::completions))
        .at("/v1/models", get(models::list))
        .at("/v1/models/:name", get(models::one))
        .at("/v1/services/:name", services::serve)
        .at("/v1/services/:name/*path", services::serve)
        .at(
            "/v1/requests/:id",
            get(requests::on_resume).delete(requests::on_cancel),
        )
        .at("/v1/tickets", post(tickets::mint))
}

pub(super) type Shared = Arc<Core>;
