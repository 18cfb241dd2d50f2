//! Whether the store that holds the fleet list is reachable.

use sesamegap_wire::Moment;
use std::time::Duration;

/// How long a peer's report that the store answers stays valid. With eight readers, several such reports
/// arrive per second.
const PEER_REPORT_VALIDITY: Duration = Duration::from_secs(1);

/// What this VM knows about the store's reachability.
///
/// A store that rejects this VM but serves others counts as reachable, since upstreams can reach it too.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreReachability {
    away: bool,
    back: Option<Moment>,
    peer_report: Option<Moment>,
}

impl StoreReachability {
    /// Records whether the store answered this VM.
    pub fn record_response(&mut self, answers: bool, now: Moment) {
        let reachable_by_peer = self
            .peer_report
            .is_some_and(|at| now.since(at) < PEER_REPORT_VALIDITY);
        if !answers {
            self.away |= !reachable_by_peer;
        } else if std::mem::take(&mut self.away) {
            self.back = Some(now);
        }
    }

    /// Records that the store was restored from a backup, which lacks the newest entries until they are written again.
    pub fn restored(&mut self, now: Moment) {
        self.away = false;
        self.back = Some(now);
    }

    /// Records a peer's report that the store answers it.
    pub fn record_peer_report(&mut self, now: Moment) {
        self.peer_report = Some(now);
        self.record_response(true, now);
    }

    /// Whether the store is unreachable: it did not answer this VM, and no recent peer report says otherwise.
    pub fn is_away(&self) -> bool {
        self.away
    }

    /// Whether missing entries may have expired because the store was unreachable.
    pub(super) fn may_explain_expiry(&self, lapse: Duration, now: Moment) -> bool {
        self.away || self.back.is_some_and(|at| now.since(at) < lapse)
    }

    /// Whether the store has been reachable without a break since `since`, and for at least `span`.
    pub(super) fn reachable_for(&self, since: Moment, span: Duration, now: Moment) -> bool {
        let since = since.max(self.back.unwrap_or_default());
        !self.away && now.since(since) >= span
    }
}
