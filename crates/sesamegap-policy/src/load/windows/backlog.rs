//! Estimates the requests that wait on an engine from its last report and the requests that this
//! router has sent since.

use rustc_hash::FxHashMap;
use sesamegap_wire::engine::LoadReport;
use sesamegap_wire::{Moment, RequestId};

#[derive(Debug, Clone, Copy)]
struct SentRequest {
    at: Moment,
    prefill: u64,
    /// Whether the last report was made before this request was sent.
    unseen: bool,
}

/// Requests of all routers that an engine has not started, and their uncomputed prompt tokens.
///
/// Reports lag, so requests sent after the report was made are added to it. Earlier requests count
/// as included in the report, unless it shows less than this router alone has waiting there.
#[derive(Debug, Default)]
pub struct Backlog {
    reported: (usize, u64),
    unseen: (usize, u64),
    own: (usize, u64),
    sent: FxHashMap<RequestId, SentRequest>,
}

impl Backlog {
    /// Records a request that this router has sent.
    pub fn sent(&mut self, request: &RequestId, prefill: u64, at: Moment) {
        let sent = SentRequest {
            at,
            prefill,
            unseen: true,
        };
        self.sent.insert(request.clone(), sent);
        add(&mut self.own, prefill);
        add(&mut self.unseen, prefill);
    }

    /// Records that the prompt of a request has been computed or that the request has ended.
    pub fn computed(&mut self, request: &RequestId) {
        let Some(sent) = self.sent.remove(request) else {
            return;
        };
        subtract(&mut self.own, sent.prefill);
        if sent.unseen {
            subtract(&mut self.unseen, sent.prefill);
        } else {
            subtract(&mut self.reported, sent.prefill);
        }
    }

    /// Applies a load report.
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

    /// Waiting requests, assuming that each of `routers` has sent as many since the report as this
    /// one.
    pub fn waiting(&self, routers: usize) -> usize {
        (self.reported.0 + self.unseen.0 * routers).max(self.own.0)
    }

    /// Prompt tokens not yet computed, under the same assumption.
    pub fn prefill(&self, routers: usize) -> u64 {
        (self.reported.1 + self.unseen.1 * routers as u64).max(self.own.1)
    }
}

fn add(sum: &mut (usize, u64), prefill: u64) {
    sum.0 += 1;
    sum.1 += prefill;
}

fn subtract(sum: &mut (usize, u64), prefill: u64) {
    sum.0 = sum.0.saturating_sub(1);
    sum.1 = sum.1.saturating_sub(prefill);
}
