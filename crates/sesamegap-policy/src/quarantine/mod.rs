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
//! each other what they know over datagrams that are lost and repeated. [`Registry`] keeps them; that of the
//! coordinator, the first VM in the order of [`COORDINATORS`], also grants trials and judges them.

mod record;
mod registry;

pub use record::{Crash, Record, Standing};
pub use registry::{Grant, Registry};

/// The order in which VMs become the coordinator, which grants trials.
pub const COORDINATORS: u64 = 0x7175_6172;

/// VMs first in that order that losses are reported to: the next coordinator knows them when the present one is lost.
pub const REPLICAS: usize = 3;
