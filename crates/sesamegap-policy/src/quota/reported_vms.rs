//! The number of VMs as other VMs know it.

use sesamegap_wire::Moment;
use std::time::Duration;

/// How long the number of VMs that a peer reported is used.
const REPORTED_VMS_TIME: Duration = Duration::from_secs(30);

/// The highest number of VMs that peers reported recently.
///
/// A VM that has just started, or that was cut off, may know too few others; its part would be too large.
#[derive(Debug)]
pub(super) struct ReportedVms {
    latest: u32,
    /// The highest number of the interval before.
    former: u32,
    since: Moment,
}

impl ReportedVms {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            latest: 0,
            former: 0,
            since: now,
        }
    }

    pub(super) fn record(&mut self, vms: u32, now: Moment) {
        if now.since(self.since) > REPORTED_VMS_TIME {
            self.former = std::mem::take(&mut self.latest);
            self.since = now;
        }
        self.latest = self.latest.max(vms);
    }

    pub(super) fn max(&self) -> u32 {
        self.latest.max(self.former)
    }
}
