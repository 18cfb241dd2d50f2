//! The settings tree as this router has read it.

use super::inforce::InForce;
use super::lock;
use super::peers::message::{HaveSettings, WantSettings};
use arc_swap::ArcSwap;
use sesamegap_settings::Catalogue;
use sesamegap_wire::Offset;
use std::sync::{Arc, Mutex};

/// The settings in force.
#[derive(Debug, Default)]
pub struct SettingsTree {
    next: Mutex<Offset>,
    in_force: ArcSwap<InForce>,
}

impl SettingsTree {
    /// Offset of the record that is read next.
    pub fn next(&self) -> Offset {
        *lock(&self.next)
    }

    /// The settings in force.
    pub fn in_force(&self) -> Arc<InForce> {
        self.in_force.load_full()
    }

    /// Puts settings in force.
    pub fn put(&self, catalogue: Arc<Catalogue>) {
        self.in_force.store(Arc::new(InForce::new(catalogue)));
    }

    /// What a peer that is behind should take over.
    pub fn share(&self, _want: WantSettings) -> HaveSettings {
        HaveSettings {
            snapshot: Vec::new(),
        }
    }
}
