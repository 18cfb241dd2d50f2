//! Appends snapshots of the settings before retention drops what they rest on.
//!
//! The live router with the lowest name does it, after a random wait; if two think so at once, the
//! second snapshot is harmless.

use crate::events;
use crate::router::core::Core;
use bytes::Bytes;
use rand::RngExt;
use sesamegap_platform::log::streams;
use sesamegap_wire::Offset;
use std::sync::Arc;
use tokio::time::timeout;

/// Snapshots within the log's retention, so that some may fail.
const WITHIN: u32 = 6;

/// Part of the time between two snapshots over which their writers are spread.
const JITTER: f64 = 0.2;

/// Appends snapshots until the task is dropped.
pub async fn run(core: Arc<Core>) {
    let every = core.config.timing.retention / WITHIN;
    let mut covered = Offset(0);
    loop {
        let spread = 1.0 + rand::rng().random_range(0.0..JITTER);
        tokio::time::sleep(every.mul_f64(spread)).await;
        if core.tree.next() > covered
            && is_lowest(&core)
            && let Some(next) = append(&core).await
        {
            covered = next;
        }
    }
}

/// Appends a snapshot and gives the offset that it covers, with its own record.
pub async fn append(core: &Core) -> Option<Offset> {
    let snapshot = core.tree.with(|fold| fold.snapshot());
    let stream = streams::settings();
    let appended = core.log.append(&stream, vec![Bytes::from(snapshot)]);
    let at = timeout(core.config.timing.log, appended).await.ok()?.ok()?;
    tracing::info!(event = events::SNAPSHOT_APPENDED.number, %at, "snapshot appended");
    Some(at.next())
}

fn is_lowest(core: &Core) -> bool {
    let peers = core.peers.live(&core.fleet.entries());
    let mut heard = peers.iter().filter(|peer| peer.incarnation.is_some());
    heard.all(|peer| peer.vm > core.config.vm)
}
