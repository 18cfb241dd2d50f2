//! Identifiers, quantities and messages shared by sesamegap's processes.
//!
//! Every other crate depends on this one, so it contains neither network I/O nor policy. [`ids`]
//! defines identifiers (of teams, models, engines, VMs), [`quantity`] numbers with a unit (tokens,
//! offsets, moments), [`chain`] the prefix cache keys of prompts, [`fingerprint`] the hash that
//! recognizes a request sent again, [`engine`] the messages to and from model engines, and
//! [`peer`] the messages between routers, which [`codec`] encodes.

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
    ClassId, DomainId, ModelId, RequestId, ServiceId, SoftwareVersion, StreamId, TeamId,
    UpstreamId, VmId,
};
pub use quantity::{
    Fence, Incarnation, LogPosition, Moment, Offset, RequestRate, Seq, Timeline, Tokens,
    WeightsVersion, WorkPercent,
};
