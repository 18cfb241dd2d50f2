//! Names of the log streams that sesamegap reads and writes.

use sesamegap_wire::StreamId;

fn stream(name: &'static str) -> StreamId {
    name.parse().expect("a constant stream name is valid")
}

/// Settings changes and snapshots.
pub fn settings() -> StreamId {
    stream("settings")
}

/// Claims on callers' idempotency keys.
pub fn claims() -> StreamId {
    stream("claims")
}

/// The controller's lease.
pub fn lease() -> StreamId {
    stream("lease")
}
