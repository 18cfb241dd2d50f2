//! Gossip-based failure detection at a constant cost per process.
//!
//! The platform's VM list seeds the table. It is out of date at times, so it serves only as a hint.
//! In each round a process probes one peer, in an order that is reshuffled after every pass over
//! the peers, and piggybacks a few member updates. A peer that does not answer is probed again
//! through other peers, because a broken link between two processes does not mean that either is
//! down. After that it is suspected, and declared dead if it does not refute the suspicion in time.
//! Each process increments its own version to refute a false suspicion, and a newer incarnation
//! replaces an older one.
//!
//! A round costs one probe and occasionally a few indirect ones, regardless of the number of peers; while many peers are
//! suspected, it has more. An update reaches all peers in a number of rounds logarithmic in their number, unless its
//! sender broadcasts it. A process that has just begun, or was cut off, imports what a peer knows of all.

mod table;
mod update;

pub use table::{Members, MembershipConfig, Peer, Probe};
pub use update::{MemberUpdate, Status, StatusChange};
