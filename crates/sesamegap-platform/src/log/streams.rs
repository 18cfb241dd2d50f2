//! The streams of the log that sesamegap reads and writes.

use sesamegap_wire::StreamId;

fn stream(name: &'static str) -> StreamId {
    name.parse().expect("a constant stream name is valid")
}

/// Changes of settings and their snapshots.
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
