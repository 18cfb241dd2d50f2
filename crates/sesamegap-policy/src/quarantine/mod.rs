//! Requests under which upstreams end: which ones run alone, and which are refused.
//!
//! Load: one request crashes every upstream that begins to run it. It comes again about once a second, at any VM, and
//! up to a hundred others run beside it each time. Prevents that upstreams are lost as fast as they start, with all that
//! runs there.
//!
//! A lost upstream has many suspects and one culprit at most, so a loss alone condemns nobody. A request that was at two
//! lost upstreams is a suspect: it runs only by itself, one suspect at a time in the whole fleet, where the fewest others
//! run. A suspect whose answer comes whole is cleared, one that loses upstreams in trials is quarantined, and the losses that it
//! explains count against nobody else any more.
//!
//! A [`Record`] tells all that is known of a request. Records merge to the same whatever their order, so that VMs may tell
//! each other what they know over datagrams that are lost and repeated. [`Registry`] keeps them; the registry of the
//! VM first in line ([`LINE`]) also grants trials and judges them.

mod record;
mod registry;

pub use record::{Ended, Record, Standing};
pub use registry::{Grant, Registry};

/// The order in which VMs grant trials.
pub const LINE: u64 = 0x7175_6172;

/// VMs first in that order that hear of losses, so that the next one knows them when the first is lost.
pub const HEARERS: usize = 3;
