//! The settings tree as this router has read it.
//!
//! Records of the settings stream go through the fold in order of offset; what comes out is put
//! in force for callers and the decider at once. While the log cannot be read, or has dropped
//! records before they were read, [`sync`] takes a snapshot over from a peer that is further. The
//! fold only moves forward, so a peer that is behind can never take an accepted change back.

mod publish;
pub mod snapshots;
pub mod sync;

pub use publish::publish;

use super::deciding::DeciderHandle;
use super::follow_log::{self, Source};
use super::lock;
use super::peers::message::{HaveSettings, WantSettings};
use crate::events;
use arc_swap::ArcSwap;
use sesamegap_platform::Record;
use sesamegap_platform::log::streams;
use sesamegap_policy::Observation;
use sesamegap_settings::{Catalogue, Fold, Outcome};
use sesamegap_wire::Offset;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// The settings of this router.
#[derive(Debug)]
pub struct SettingsTree {
    fold: Mutex<Fold>,
    in_force: ArcSwap<Catalogue>,
    moved: watch::Sender<Offset>,
    known: watch::Sender<bool>,
    source: Source,
    decider: DeciderHandle,
}

impl SettingsTree {
    /// Starts with an empty tree of which nothing is known.
    pub fn new(decider: DeciderHandle) -> Self {
        Self {
            fold: Mutex::default(),
            in_force: ArcSwap::default(),
            moved: watch::Sender::new(Offset(0)),
            known: watch::Sender::new(false),
            source: Source::new(streams::settings()),
            decider,
        }
    }

    /// Where settings are read.
    pub fn source(&self) -> &Source {
        &self.source
    }

    /// Offset of the record that is folded next.
    pub fn next(&self) -> Offset {
        lock(&self.fold).next()
    }

    /// Tells when the fold moves.
    pub fn subscribe(&self) -> watch::Receiver<Offset> {
        self.moved.subscribe()
    }

    /// The settings in force.
    pub fn in_force(&self) -> Arc<Catalogue> {
        self.in_force.load_full()
    }

    /// Whether settings were had from the log or a peer at all.
    pub fn is_known(&self) -> bool {
        *self.known.borrow()
    }

    /// Waits until settings were had from the log or a peer.
    pub async fn known(&self) {
        // The sender lives in this very object.
        let _ = self.known.subscribe().wait_for(|known| *known).await;
    }

    /// Looks at the fold.
    pub fn with<T>(&self, look: impl FnOnce(&mut Fold) -> T) -> T {
        look(&mut lock(&self.fold))
    }

    /// What a peer that is behind should take over; nothing if it is not.
    pub fn share(&self, want: WantSettings) -> HaveSettings {
        let fold = lock(&self.fold);
        let ahead = fold.next() > want.next;
        HaveSettings {
            snapshot: if ahead { fold.snapshot() } else { Vec::new() },
        }
    }

    /// Takes over a snapshot, if it is whole and further than the own fold.
    pub fn adopt(&self, snapshot: &[u8]) -> bool {
        let adopted = lock(&self.fold).adopt(snapshot);
        match adopted {
            Ok(true) => {
                self.known.send_replace(true);
                self.put_in_force();
                self.source.seek(self.next());
                true
            }
            Ok(false) => false,
            Err(error) => {
                tracing::warn!(event = events::SNAPSHOT_REFUSED.number, %error, "snapshot refused");
                false
            }
        }
    }

    /// Takes records and says where to read on, if not after them.
    fn take(&self, records: &[Record]) -> Option<Offset> {
        let mut adopted = false;
        let next = {
            let mut fold = lock(&self.fold);
            for record in records {
                let before = fold.next();
                let outcome = fold.apply(record.offset, record.time_ms, &record.body);
                adopted |= outcome == Outcome::Snapshot && record.offset > before;
            }
            fold.next()
        };
        self.put_in_force();
        adopted.then_some(next)
    }

    /// Puts the fold's settings in force, for the decider before callers' requests.
    ///
    /// The other way round, a request checked against a new class or model would reach a decider
    /// that does not know it yet, and be refused. The lock keeps two threads from overtaking.
    fn put_in_force(&self) {
        let fold = lock(&self.fold);
        let catalogue = fold.catalogue();
        let revision = catalogue.revision;
        if revision != self.in_force.load().revision {
            self.decider
                .observe_reliably(Observation::Settings(Arc::clone(&catalogue)));
            self.in_force.store(catalogue);
            tracing::info!(event = events::SETTINGS_IN_FORCE.number, %revision, "settings in force");
        }
        self.moved.send_replace(fold.next());
    }
}

/// Feeds the log's records to the tree.
#[derive(Debug)]
pub struct TreeReader(pub Arc<super::core::Core>);

impl follow_log::Reader for TreeReader {
    fn take(&mut self, records: &[Record]) -> Option<Offset> {
        self.0.tree.take(records)
    }

    fn caught_up(&mut self) {
        // At the end of a stream whose start was dropped, only a snapshot makes settings known.
        let tree = &self.0.tree;
        if !tree.is_known() && tree.next() >= tree.source.next() {
            tree.known.send_replace(true);
        }
    }
}
