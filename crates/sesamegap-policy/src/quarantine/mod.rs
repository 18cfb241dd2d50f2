//! Quarantine of requests that crash upstreams.
//!
//! A request may crash every upstream that starts to run it. Retried about once a second, through any VM, and with up to
//! a hundred other requests running beside it each time, it would take upstreams down as fast as they start, together
//! with everything that runs on them.
//!
//! At most one of the many requests on a crashed upstream caused the crash, so a single crash quarantines nothing. A
//! request that was running on two crashed upstreams is a suspect: it runs only as a trial, one trial at a time in the
//! whole fleet, on the upstream that runs the fewest other requests. A suspect that completes is cleared. A suspect
//! whose trials crash upstreams is condemned, that is, quarantined, and the crashes that it explains no longer count
//! against any other request.
//!
//! A [`Record`] holds what is known of one request. Merging records gives the same result in any order, so VMs can
//! exchange them in datagrams that may be lost or repeated. A [`Registry`] stores the records; that of the coordinator,
//! the first VM in the order given by [`COORDINATOR_RANKING_KEY`], also grants and judges trials.

mod record;
mod registry;

pub use record::{Crash, Record, Standing};
pub use registry::{Grant, Registry};

/// Key of the ranking in which VMs become the coordinator, which grants trials.
pub const COORDINATOR_RANKING_KEY: u64 = 0x7175_6172;

/// Number of VMs, from the start of that ranking, that crashes are reported to, so that the next coordinator knows them
/// if the present one is lost.
pub const REPORT_REPLICAS: usize = 3;
