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
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};

/// Appends a change and waits until the fold has judged it.
pub async fn publish(core: &Core, change: &Change) -> ChangeAnswer {
    let id = change.id;
    let limit = core.config.timing.log;
    if let Some(refusal) = core.tree.with(|fold| admin::refusal(fold, change)) {
        return refused(core, change, refusal, limit).await;
    }
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

/// Refuses a change, once it is sure that all of the log was read.
///
/// A router may be behind the log. It would refuse a change that builds on what it has not read,
/// or say that nothing took effect of one whose first append, with the answer lost, it has not
/// read; the operator would publish it again as a new change.
async fn refused(
    core: &Core,
    change: &Change,
    refusal: ChangeAnswer,
    limit: Duration,
) -> ChangeAnswer {
    let before = core.tree.next();
    if !caught_up(core, limit).await {
        let why = "this router cannot read the log up to its end, so it cannot judge the change";
        return unavailable(change.id, why);
    }
    if core.tree.next() == before {
        return refusal;
    }
    let again = core
        .tree
        .with(|fold| admin::answer(fold, change.id).or_else(|| admin::refusal(fold, change)));
    again.unwrap_or_else(|| {
        let why = "the settings have moved on meanwhile; repeat the change with the same id";
        unavailable(change.id, why)
    })
}

/// Waits until all records that the log has now were read; `false` if they are not in time.
async fn caught_up(core: &Core, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    let mut moved = core.tree.subscribe();
    let stream = streams::settings();
    let read = core.log.read(&stream, core.tree.next(), Duration::ZERO);
    let Ok(Ok(page)) = timeout(limit, read).await else {
        return false;
    };
    while core.tree.next() < page.end {
        if !matches!(timeout_at(until, moved.changed()).await, Ok(Ok(()))) {
            return false;
        }
    }
    true
}

fn unavailable(id: ChangeId, why: &str) -> ChangeAnswer {
    ChangeAnswer::Unavailable {
        id,
        message: why.to_owned(),
    }
}
