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
//! Releases overlap, stop halfway and are undone, so versions have no order and one that has gone may come back.

mod message;
mod records;
mod versions;

pub use message::{Answer, Message, Question};
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
}

/// How a version was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// A record of the stream.
    Record,
    /// No other version has served lately.
    OnlyVersion,
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
