//! Which software version of a service a stream goes on at.
//!
//! Upstreams of several software versions may serve side by side, and what two of them produce does not fit together.
//! So a stream that has delivered an event goes on only at the version that began it, which no upstream checks. The VM
//! that began it knows the version. A caller that takes the stream up again may come to any VM, after the first one was
//! killed, frozen or cut off.
//!
//! A VM sends a record of each stream that it begins to a few other VMs, its holders, which every VM finds by ranking all
//! VMs for the stream's key ([`Records`]). The VM at which the stream is taken up asks them. Without a record, the stream
//! goes on only if no more than one version can have begun it ([`decide`]), as far as this VM and those asked know of the
//! versions that served lately ([`ServedVersions`]).
//!
//! When all VMs are killed at once, records and knowledge of the past are gone with them. So the store keeps which versions
//! of a service can have begun streams that still go on, and, while these are several, the records ([`StreamBatch`]). What neither
//! tells is not known, and is refused.
//!
//! Releases overlap, stop halfway and are undone, so versions have no order and one that has gone may come back.

mod log;
mod message;
mod records;
mod versions;

pub use log::{Backlog, LoggedStreams, PARTITIONS, Partition, StreamBatch, Submission};
pub use message::{Answer, LogAnswer, Message, Question};
pub use records::{Records, StreamKey};
pub use versions::{Origin, ServedVersions, Testimony};

use std::collections::BTreeSet;
use std::time::Duration;

/// Other VMs that hold the record of a stream; that all of them are lost together with the VM that began the stream
/// takes the loss of most of a fleet.
pub const HOLDERS: usize = 4;

/// VMs that are asked for a record. One more than hold it: the VM that began the stream holds it for itself, and passes
/// itself over when it chooses the others.
pub const ASKED: usize = HOLDERS + 1;

/// Time for which a caller may take a stream up again after its first attempt, in multiples of the route's time limit.
pub const ATTEMPTS: u32 = 2;

/// Time within which a stream may have begun that is taken up now on a route with this time limit.
pub fn window(timeout: Duration) -> Duration {
    timeout * ATTEMPTS
}

/// Where a stream that is taken up goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// At the upstreams of this version.
    At(Origin, Evidence),
    /// Nowhere: several versions can have begun it, or records contradict each other.
    Ambiguous,
    /// Nowhere here: this VM does not know which versions have served, and no other VM tells.
    Uninformed,
    /// Nowhere now: no VM has a record, and the store's log cannot be read.
    Unread,
}

/// How a version was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// A record of the stream.
    Record,
    /// A record of the stream in the store's log.
    Log,
    /// No other version has served lately.
    OnlyVersion,
    /// No record, and the version was alone when all VMs had ended.
    AloneBefore,
}

/// Decides from what this VM and those that answered know.
pub fn decide(own: &Testimony, answers: &[Answer]) -> Verdict {
    let recorded: BTreeSet<&Origin> = answers.iter().filter_map(Answer::record).collect();
    let mut recorded = recorded.into_iter();
    if let Some(origin) = recorded.next() {
        return match recorded.next() {
            None => Verdict::At(origin.clone(), Evidence::Record),
            Some(_) => Verdict::Ambiguous,
        };
    }
    let testimonies = || answers.iter().filter_map(Answer::testimony).chain([own]);
    let mut origins = testimonies().flat_map(|testimony| &testimony.origins);
    let Some(first) = origins.next() else {
        return Verdict::Uninformed;
    };
    if origins.any(|other| other != first) {
        return Verdict::Ambiguous;
    }
    if testimonies().any(|testimony| testimony.complete) {
        Verdict::At(first.clone(), Evidence::OnlyVersion)
    } else {
        Verdict::Uninformed
    }
}

/// Whether a VM is in touch with the others: most of those that it asked have answered.
///
/// A VM that is not may be cut off from them, however recent its list is: a version that has appeared since may have begun
/// streams elsewhere, and their records have not reached it.
pub fn is_in_touch(asked: usize, answered: usize) -> bool {
    answered * 2 > asked
}

/// Whether the store's log may tell what this VM and those that answered cannot.
///
/// That one version has served counts without the log only if this VM is in touch with the others, and has followed the
/// list for long enough itself: what it knows from the store may lack a version whose appearance nobody could write
/// there. Records that contradict each other are not settled by a third one.
pub fn needs_log(
    verdict: &Verdict,
    answers: &[Answer],
    has_followed: bool,
    is_in_touch: bool,
) -> bool {
    let is_open = match verdict {
        Verdict::Ambiguous | Verdict::Uninformed => true,
        Verdict::At(_, Evidence::OnlyVersion) => !has_followed || !is_in_touch,
        Verdict::At(..) | Verdict::Unread => false,
    };
    is_open && answers.iter().all(|answer| answer.record().is_none())
}

/// Whether the list must be read from the store before the only version that it names counts: a VM that is out of touch may
/// lack another one, and the log may lack a stream that began at a VM which was out of touch too.
pub fn needs_list(verdict: &Verdict, is_in_touch: bool) -> bool {
    !is_in_touch && matches!(verdict, Verdict::At(_, Evidence::OnlyVersion))
}

/// Decides by the store's log where a verdict left it open.
///
/// A stream of which neither the VMs nor the log have a record began before the VMs were killed. If one version was alone
/// then, as VMs that have started since read in the store, it began there, whatever has appeared meanwhile.
pub fn decide_by_log(
    verdict: Verdict,
    log: LogAnswer,
    own: &Testimony,
    answers: &[Answer],
) -> Verdict {
    match log {
        LogAnswer::Record(origin) => Verdict::At(origin, Evidence::Log),
        LogAnswer::Unread => Verdict::Unread,
        LogAnswer::Absent if matches!(verdict, Verdict::At(..)) => verdict,
        LogAnswer::Absent => {
            let testimonies = answers.iter().filter_map(Answer::testimony).chain([own]);
            let mut alone = testimonies.flat_map(|testimony| &testimony.alone);
            match alone.next() {
                Some(first) if alone.all(|other| other == first) => {
                    Verdict::At(first.clone(), Evidence::AloneBefore)
                }
                _ => verdict,
            }
        }
    }
}
