//! The VM list, which shows a change only after a lag: `GET /vms`.

use poem::web::{Data, Json};
use poem::{EndpointExt, Route, handler};
use sesamegap_platform::{VmEntry, VmRole, VmState};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// One state of the list, and from when on it is shown.
#[derive(Debug, Clone)]
struct Issue {
    shown: Instant,
    entries: Vec<VmEntry>,
}

/// The list of live and leaving VMs.
#[derive(Debug)]
pub(crate) struct VmBoard {
    lag: Duration,
    /// Never empty; the last one is the truth.
    issues: Mutex<Vec<Issue>>,
}

impl VmBoard {
    pub(crate) fn new(lag: Duration) -> Arc<Self> {
        let first = Issue {
            shown: Instant::now(),
            entries: Vec::new(),
        };
        Arc::new(Self {
            lag,
            issues: Mutex::new(vec![first]),
        })
    }

    /// Adds the list to what a machine serves.
    pub(crate) fn mount(self: &Arc<Self>, route: Route) -> Route {
        route.at("/vms", poem::get(list).data(Arc::clone(self)))
    }

    /// Adds a VM that was there before the list began to lag.
    pub(crate) fn enlist(&self, entry: &VmEntry) {
        for issue in self.lock().iter_mut() {
            issue.entries.retain(|old| old.addr != entry.addr);
            issue.entries.push(entry.clone());
        }
    }

    /// Takes a VM out, which shows after the lag.
    pub(crate) fn delist(&self, addr: SocketAddr) {
        self.change(|entries| entries.retain(|entry| entry.addr != addr));
    }

    /// Marks the VM of this name, which shows after the lag; tells whether there is one.
    pub(crate) fn mark(&self, name: &str, state: VmState) -> bool {
        let mut found = false;
        self.change(|entries| {
            for entry in entries.iter_mut().filter(|entry| is_named(entry, name)) {
                entry.state = state;
                found = true;
            }
        });
        found
    }

    fn change(&self, edit: impl FnOnce(&mut Vec<VmEntry>)) {
        let mut issues = self.lock();
        let mut entries = issues
            .last()
            .map_or(Vec::new(), |last| last.entries.clone());
        edit(&mut entries);
        let shown = Instant::now() + self.lag;
        issues.push(Issue { shown, entries });
        drop_hidden(&mut issues);
    }

    /// The list as it is shown now.
    fn shown(&self) -> Vec<VmEntry> {
        let mut issues = self.lock();
        drop_hidden(&mut issues);
        issues
            .first()
            .map_or(Vec::new(), |issue| issue.entries.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Issue>> {
        self.issues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Drops what a later issue already replaces.
fn drop_hidden(issues: &mut Vec<Issue>) {
    let now = Instant::now();
    let newest = issues.iter().rposition(|issue| issue.shown <= now);
    issues.drain(..newest.unwrap_or(0));
}

fn is_named(entry: &VmEntry, name: &str) -> bool {
    let own = match &entry.role {
        VmRole::Entry { vm, .. } => vm.as_str(),
        VmRole::Engine { id } | VmRole::Store { id } | VmRole::Worker { id, .. } => id.as_str(),
    };
    own == name
}

#[handler]
fn list(Data(board): Data<&Arc<VmBoard>>) -> Json<Vec<VmEntry>> {
    Json(board.shown())
}
