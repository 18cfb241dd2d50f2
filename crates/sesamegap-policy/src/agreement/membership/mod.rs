//! Which peers are alive, at a constant cost for each process.
//!
//! The platform's VM list seeds the table and lags behind the world, so it is only ever a hint.
//! Each round a process probes one peer, in an order shuffled anew each time round, and sends a
//! few pieces of news along. A peer that does not answer is probed once more through others, since
//! a broken link between two processes says nothing of the third; then it is suspected, and if it
//! does not refute that in time it is held dead. Each process speaks for itself with a version
//! that it raises to refute a false suspicion, and newer incarnations replace older ones.
//!
//! A round costs one probe, and now and then a few indirect ones, however many peers there are;
//! news reaches all in a number of rounds that grows with the logarithm of their number.

mod table;
mod update;

pub use table::{Members, MembershipConfig, Peer, Probe};
pub use update::{MemberUpdate, Status};
