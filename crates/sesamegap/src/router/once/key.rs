//! Callers' own keys.

use super::expired;
use crate::router::callers::ApiError;
use std::time::Duration;
use uuid::Uuid;

/// Oldest key accepted; well under the log's retention, in which its claim would still be found.
const OLDEST: Duration = Duration::from_mins(10);

/// How far a caller's clock may run ahead before its key's age could not be judged later.
const AHEAD: Duration = Duration::from_mins(1);

/// Refuses a key whose claim the log may have dropped already.
///
/// Only a UUID of version 7 tells its age; any other key is honoured for as long as its claim is
/// known.
pub fn check_age(key: &str, now_ms: u64) -> Result<(), ApiError> {
    let Some(made) = made_at(key) else {
        return Ok(());
    };
    if made > now_ms + millis(AHEAD) {
        let message = "the key's time lies in the future";
        return Err(ApiError::bad("bad_key", message));
    }
    if made + millis(OLDEST) < now_ms {
        return Err(expired("the key is older than the log keeps claims"));
    }
    Ok(())
}

fn made_at(key: &str) -> Option<u64> {
    let uuid = Uuid::try_parse(key).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
