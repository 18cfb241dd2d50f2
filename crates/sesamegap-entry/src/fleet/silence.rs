//! Whether upstreams are silent together.

use super::Fleet;
use sesamegap_policy::routing::timeouts::{self, SILENT_AFTER};
use sesamegap_wire::{Moment, ServiceId, UpstreamId};

impl Fleet {
    /// Whether most other upstreams of a service at which this VM has requests are silent.
    pub fn is_silence_common(&self, service: &ServiceId, except: &UpstreamId, now: Moment) -> bool {
        let upstreams = self.of_service(service);
        let busy = upstreams.filter(|upstream| upstream.running > 0 && upstream.id != *except);
        let (mut others, mut silent) = (0, 0);
        for upstream in busy {
            others += 1;
            silent += usize::from(now.since(upstream.last_received) >= SILENT_AFTER);
        }
        timeouts::is_common(silent, others)
    }
}
