//! Publishes an operator's change.
//!
//! The change is judged before it is appended, so that a faulty one costs no record, and again by
//! the fold once it is read back, which is what counts. An append whose answer was lost is not
//! repeated here: the reader of the log tells whether it took effect, and an operator may repeat
//! it with the same id.

use crate::admin::{self, ChangeAnswer};
use crate::router::core::Core;
use bytes::Bytes;
use sesamegap_platform::log::streams;
use sesamegap_settings::{Change, ChangeId};
use tokio::time::{Instant, timeout, timeout_at};

/// Appends a change and waits until the fold has judged it.
pub async fn publish(core: &Core, change: &Change) -> ChangeAnswer {
    let id = change.id;
    if let Some(refusal) = core.tree.with(|fold| admin::refusal(fold, change)) {
        return refusal;
    }
    let limit = core.config.timing.log;
    let mut moved = core.tree.subscribe();
    let body = match change.encode() {
        Ok(body) => Bytes::from(body),
        Err(error) => return unavailable(id, &error.to_string()),
    };
    let stream = streams::settings();
    match timeout(limit, core.log.append(&stream, vec![body])).await {
        Ok(Err(error)) if !error.is_unknown() => return unavailable(id, &error.to_string()),
        _ => {}
    }
    let until = Instant::now() + limit;
    loop {
        if let Some(answer) = core.tree.with(|fold| admin::answer(fold, id)) {
            return answer;
        }
        if !matches!(timeout_at(until, moved.changed()).await, Ok(Ok(()))) {
            return ChangeAnswer::Unknown {
                id,
                message: "the change was not read back from the log in time; \
                          to repeat it with the same id is safe"
                    .to_owned(),
            };
        }
    }
}

fn unavailable(id: ChangeId, why: &str) -> ChangeAnswer {
    ChangeAnswer::Unavailable {
        id,
        message: why.to_owned(),
    }
}
