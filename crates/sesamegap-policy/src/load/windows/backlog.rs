//! What waits on an engine: its last report, and what this router has sent since.

use rustc_hash::FxHashMap;
use sesamegap_wire::engine::LoadReport;
use sesamegap_wire::{Moment, RequestId};

#[derive(Debug, Clone, Copy)]
struct Sent {
    at: Moment,
    prefill: u64,
    /// Whether the last report was made before this was sent.
    unseen: bool,
}

/// Work of all routers that an engine has not begun.
///
/// A report lags, so what was sent after it was made is added. What it may have seen is left to
/// the report, unless that shows less than this router alone knows to be there.
#[derive(Debug, Default)]
pub struct Backlog {
    reported: (usize, u64),
    unseen: (usize, u64),
    own: (usize, u64),
    sent: FxHashMap<RequestId, Sent>,
}

impl Backlog {
    /// Notes a request of this router.
    pub fn sent(&mut self, request: &RequestId, prefill: u64, at: Moment) {
        let sent = Sent {
            at,
            prefill,
            unseen: true,
        };
        self.sent.insert(request.clone(), sent);
        add(&mut self.own, prefill);
        add(&mut self.unseen, prefill);
    }

    /// Notes that a request of this router no longer waits.
    pub fn computed(&mut self, request: &RequestId) {
        let Some(sent) = self.sent.remove(request) else {
            return;
        };
        take(&mut self.own, sent.prefill);
        if sent.unseen {
            take(&mut self.unseen, sent.prefill);
        } else {
            take(&mut self.reported, sent.prefill);
        }
    }

    /// Takes a report.
    pub fn report(&mut self, report: &LoadReport, now: Moment) {
        self.reported = (report.waiting as usize, report.prefill.0);
        self.unseen = (0, 0);
        for sent in self.sent.values_mut() {
            sent.unseen = now.since(sent.at) < report.age;
            if sent.unseen {
                add(&mut self.unseen, sent.prefill);
            }
        }
    }

    /// Requests that wait, if so many routers have each sent as much as this one since the report.
    pub fn waiting(&self, routers: usize) -> usize {
        (self.reported.0 + self.unseen.0 * routers).max(self.own.0)
    }

    /// Prompt tokens not yet computed, on the same assumption.
    pub fn prefill(&self, routers: usize) -> u64 {
        (self.reported.1 + self.unseen.1 * routers as u64).max(self.own.1)
    }
}

fn add(sum: &mut (usize, u64), prefill: u64) {
    sum.0 += 1;
    sum.1 += prefill;
}

fn take(sum: &mut (usize, u64), prefill: u64) {
    sum.0 = sum.0.saturating_sub(1);
    sum.1 = sum.1.saturating_sub(prefill);
}
