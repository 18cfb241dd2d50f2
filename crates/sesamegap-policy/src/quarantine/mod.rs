//! Quarantine of requests, and of parts of prompts, that crash upstreams.
//!
//! A request may crash every upstream that starts to run it, and so may a part that the prompts of many requests share.
//! Retried about once a second, through any VM, and with up to a hundred other requests running beside it each time, it
//! would take upstreams down as fast as they start, together with everything that runs on them.
//!
//! A crash counts against every [`Subject`] of the requests that were running: each request, and each shared part of its
//! prompt. At most one of them caused the crash, so a single crash quarantines nothing. A whole answer clears all subjects
//! of its request, so that parts which most prompts share are never held up for long. A subject that was at two crashed
//! upstreams is a suspect, a prompt part only if it is among the few with the most crashes. A suspect's requests run only
//! as trials, one trial at a time in the whole fleet, on the upstream that runs the fewest other requests. A suspect
//! whose trials crash upstreams is condemned, that is, quarantined, and the crashes that it explains no longer count
//! against any other subject.
//!
//! A [`Record`] holds what is known of one subject. Merging records gives the same result in any order, so VMs can
//! exchange them in datagrams that may be lost or repeated. A [`Registry`] stores the records; that of the coordinator,
//! the first VM in the order given by [`COORDINATOR_RANKING_KEY`], also grants and judges trials.

mod instances;
mod judging;
mod record;
mod registry;
mod subject;
mod tracked;

pub use record::{Crash, Record, Standing};
pub use registry::{Grant, Registry};
pub use subject::{REQUEST_DEPTH, Subject, Subjects};
pub use tracked::Role;

/// Key of the ranking in which VMs become the coordinator, which grants trials.
pub const COORDINATOR_RANKING_KEY: u64 = 0x7175_6172;

/// Number of VMs, from the start of that ranking, that crashes are reported to, so that the next coordinator knows them
/// if the present one is lost.
pub const REPORT_REPLICAS: usize = 3;
