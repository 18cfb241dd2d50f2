//! Sends what this VM has read from the store to all peers.
//!
//! A reading may be longer than a datagram by far: when a release replaces most upstreams, or a failure domain comes back. It
//! is sent in parts, along a path that the VM's link can bear, and paced so that the link's queue does not drop the last
//! parts. Peers that miss some ask for them, which takes the same link again.

use super::datagrams::Datagram;
use super::relay::{broadcast_by_relays, broadcast_directly, delegate};
use crate::clock;
use crate::core::{Core, Phase};
use crate::follow::{TablePart, TableReading};
use sesamegap_policy::routing::dissemination::{Path, pace};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How often the task checks whether the process ends.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Sends readings until the process ends.
pub(super) async fn run_readings(core: Arc<Core>) {
    while core.phase() < Phase::Ended {
        let readings = core.peers.outbox.readings();
        if readings.is_empty() {
            let queued = core.peers.outbox.reading_queued.notified();
            drop(timeout(CHECK_INTERVAL, queued).await);
        }
        for reading in readings {
            send_reading(&core, reading).await;
        }
    }
}

async fn send_reading(core: &Core, reading: TableReading) {
    let at = reading.at();
    let parts = reading.into_parts();
    let link_mbps = core.settings().link_mbps;
    let bytes = parts.iter().map(encoded_len).sum();
    let path = Path::choose(core.peers.datagram_addrs().len(), bytes, link_mbps);
    let is_long = parts.len() > 1;
    for part in parts {
        let event = Datagram::Part(part, clock::wire_millis(clock::now().since(at)));
        let sent = match path {
            Path::Direct => broadcast_directly(core, event).await,
            Path::Relays => broadcast_by_relays(core, event).await,
            Path::Delegates => delegate(core, event).await,
        };
        if is_long {
            sleep(pace(sent, link_mbps)).await;
        }
    }
}

fn encoded_len(part: &TablePart) -> usize {
    let datagram = Datagram::Part(part.clone(), 0);
    datagram.encode().map_or(0, |bytes| bytes.len())
}
