//! Identifiers, quantities and messages shared by sesamegap's processes.
//!
//! Every other crate builds on this one, so it knows nothing of sockets or decisions. [`ids`]
//! names the things of the world (teams, models, engines, VMs), [`quantity`] counts them (tokens,
//! offsets, moments), [`chain`] holds the keys under which prompt prefixes are found again,
//! [`fingerprint`] tells whether two sends are of the same request, [`engine`] what is said to and by
//! model engines, and [`peer`] the messages that routers send each other, encoded with [`codec`].

pub mod chain;
pub mod codec;
pub mod engine;
pub mod error;
pub mod fingerprint;
pub mod ids;
pub mod peer;
pub mod quantity;

pub use chain::{BlockKey, Chain};
pub use error::ParseError;
pub use fingerprint::Fingerprint;
pub use ids::{
    ClassId, DomainId, ModelId, RequestId, ServiceId, StreamId, TeamId, UpstreamId, VmId,
};
pub use quantity::{
    Fence, Incarnation, LogPosition, Moment, Offset, Seq, Timeline, Tokens, WeightsVersion,
};
