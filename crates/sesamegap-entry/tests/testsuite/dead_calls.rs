//! Calls to the store that get no answer, in virtual time.

use crate::support::{Platform, document, settings};
use bytes::Bytes;
use futures_util::FutureExt;
use sesamegap_entry::catalogue::Revision;
use sesamegap_entry::core::Core;
use sesamegap_entry::follow::follow;
use sesamegap_entry::ports::{Ports, Record, Records, Reply, Store, StoreCall, StoreError, Table};
use sesamegap_entry::settings::Settings;
use sesamegap_entry::telemetry::Logging;
use sesamegap_policy::quarantine;
use sesamegap_policy::resumption::Partition;
use sesamegap_policy::routing::reading::MAX_STORE_SILENCE;
use sesamegap_wire::{Offset, ServiceId, SoftwareVersion, VmId};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Time after a disturbance from which the bound on documents holds.
const CONTACT: Duration = Duration::from_secs(3);

/// Longest time for a document to be in force.
const APPLY: Duration = Duration::from_secs(2);

/// A store whose calls get no answer if they are open at a moment of `mute`, and whose document changes once.
#[derive(Debug)]
struct MuteStore {
    mute: Range<Instant>,
    changed: Instant,
}

impl MuteStore {
    fn records(&self, from: u64) -> Records {
        let end = u64::from(Instant::now() >= self.changed) + 1;
        let records = (from..end).map(|at| {
            let document = document(at + 1);
            (Offset(at), Record::Document(Arc::new(document)))
        });
        Records {
            records: records.collect(),
            next: Offset(end),
            end: Offset(end),
            calls: 1,
        }
    }

    async fn call(&self, from: u64, wait: Duration) -> Reply<Records> {
        let began = Instant::now();
        let answered = if from > 1 || began >= self.changed {
            began + if from > 1 { wait } else { Duration::ZERO }
        } else {
            began + wait.min(self.changed - began)
        };
        let is_mute = began < self.mute.end && answered >= self.mute.start;
        let outcome = if is_mute {
            sleep(wait + MAX_STORE_SILENCE).await;
            Err(StoreError::Unanswered("silent".to_owned()))
        } else {
            sleep_until(answered).await;
            Ok(self.records(from))
        };
        Reply {
            timeline: None,
            outcome,
        }
    }
}

impl Store for MuteStore {
    fn snapshot(&self, _table: Table) -> StoreCall<'_, Records> {
        self.call(0, Duration::ZERO).boxed()
    }

    fn changes(&self, _table: Table, from: Offset, wait: Duration) -> StoreCall<'_, Records> {
        self.call(from.0, wait).boxed()
    }

    fn write_vm_entry(&self, _vm: &VmId, _peers: SocketAddr) -> StoreCall<'_, ()> {
        unreachable!("only settings are followed")
    }

    fn remove_vm_entry(&self, _vm: &VmId, _at: Offset) -> StoreCall<'_, Offset> {
        unreachable!("only settings are followed")
    }

    fn write_quarantine_records(&self, _records: &[quarantine::Record]) -> StoreCall<'_, ()> {
        unreachable!("only settings are followed")
    }

    fn write_versions(
        &self,
        _service: &ServiceId,
        _versions: &BTreeSet<SoftwareVersion>,
    ) -> StoreCall<'_, ()> {
        unreachable!("only settings are followed")
    }

    fn stream_records(
        &self,
        _partition: Partition,
        _from: Offset,
    ) -> StoreCall<'_, (Vec<Bytes>, Offset)> {
        unreachable!("only settings are followed")
    }

    fn append_streams(&self, _partition: Partition, _record: Bytes) -> StoreCall<'_, ()> {
        unreachable!("only settings are followed")
    }

    fn lease_records(&self, _from: Offset) -> StoreCall<'_, (Vec<Bytes>, Offset)> {
        unreachable!("only settings are followed")
    }

    fn lease_append(&self, _record: Bytes, _at: Offset) -> StoreCall<'_, Offset> {
        unreachable!("only settings are followed")
    }
}

/// Follows the settings while the store is mute from `from` for `time`; returns how late, after the moment at which it
/// must be in force, the document is that is published `published` after the end.
async fn lateness(
    settings: Settings,
    from: Duration,
    time: Duration,
    published: Duration,
) -> Duration {
    let mute = Instant::now() + from;
    let healed = mute + time;
    let changed = healed + published;
    let store = MuteStore {
        mute: mute..healed,
        changed,
    };
    let ports = Ports {
        store: Arc::new(store),
        ..Arc::new(Platform::default()).ports()
    };
    let core = Core::new(settings, ports, Logging::disabled());
    let core = Arc::new(core.unwrap());
    core.peers.set_list_known();
    let task = tokio::spawn(follow(Arc::clone(&core), Table::Settings));
    let bound = (healed + CONTACT).max(changed + APPLY);
    sleep_until(bound).await;
    while core.revision() < Revision(2) {
        sleep(Duration::from_millis(10)).await;
    }
    task.abort();
    bound.elapsed()
}

/// Guards against a VM that uses an older document for longer than it may, because a call that waits for changes died
/// with its connection and no peer can tell it.
#[tokio::test(start_paused = true)]
async fn a_dead_call_does_not_delay_a_document() {
    let settings = settings("vm-1", Vec::new());
    for from_ms in (0..4_000).step_by(130) {
        for time_ms in [1, 300, 600, 1_000, 2_400, 5_000] {
            for published_ms in [0, 500, 1_000] {
                let [from, time, published] =
                    [from_ms, time_ms, published_ms].map(Duration::from_millis);
                let late = lateness(settings.clone(), from, time, published).await;
                assert_eq!(
                    late,
                    Duration::ZERO,
                    "mute after {from:?} for {time:?}, published {published:?} after it"
                );
            }
        }
    }
}
