//! Routing decisions of an entry VM, from its own traffic, its peers' reports and the fleet list.
//!
//! - [`engines`] picks the engine for a prompt given as named parts.
//! - [`candidates`] picks the few engines of a large service that are considered for a prompt.
//! - [`cache_locations`] records which engines served which prefixes.
//! - [`transfers`] decides where cached parts are fetched from.
//! - [`plain`] picks the worker of a plain service.
//! - [`upstream_limits`] keeps to the requests a second that upstreams say they take.
//! - [`brittle`] counts requests to upstreams that fall over when they reject too much.
//! - [`budget`] bounds retries over all entry VMs without messages between them.
//! - [`timeouts`] sets the timeouts that tell an unresponsive upstream from a slow one.
//! - [`reachability`] tells whether this VM reaches any upstream at all.
//! - [`gateways`] picks the peers that send requests on for a VM that reaches none.
//! - [`probing`] tells a late answer to a probe from a failed peer.
//! - [`silence`] combines the VMs' reports on unresponsive upstreams.
//! - [`belief`] tracks whether an upstream is present, and its incarnation.
//! - [`answer_memory`] picks the answer that gives way when incomplete ones hold too much memory.
//! - [`link_budget`] bounds the bytes that a VM sends to its peers.
//! - [`revisions`] tracks the newest document that peers have told of.
//! - [`reading`] decides when a VM reads the store itself.
//! - [`dissemination`] picks the peers that receive a VM's load.
//! - [`weights`] bounds the time until which a request may start on older weights.
//! - [`rolls`] picks the engines that load new weights next.
//! - [`shards`] assigns engines to the VMs that place their prompts in a large fleet.
//! - [`homes`] picks the home of a prefix among engines with weights.
//! - [`speeds`] learns which engines prefill slower or faster than usual.
//! - [`stopping`] bounds what a VM that was asked to stop still takes on.
//! - [`placements`] counts the prompts that a VM has placed for its peers.

pub mod answer_memory;
pub mod belief;
pub mod brittle;
pub mod budget;
pub mod cache_locations;
pub mod cadence;
pub mod candidates;
pub mod dissemination;
pub mod engines;
pub mod gateways;
pub mod homes;
pub mod link_budget;
pub mod placements;
pub mod plain;
pub mod probing;
pub mod reachability;
pub mod reading;
pub mod revisions;
pub mod rolls;
pub mod shards;
pub mod silence;
pub mod speeds;
pub mod stopping;
pub mod timeouts;
pub mod transfers;
pub mod upstream_limits;
pub mod weights;

/// Whether an upstream accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Availability {
    /// It accepts work as far as is known.
    Open,
    /// It recently failed to answer.
    Suspect,
    /// It must not get new requests: it is leaving, or loading new weights.
    Paused,
}
