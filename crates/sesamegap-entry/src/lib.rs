//! The process of an entry VM.
//!
//! One process on each VM accepts callers' requests ([`intake`]), relays each request to an upstream and the response
//! back ([`relay`] over [`upstream`]), lists live entry VMs for callers ([`locator`]), follows the operator's settings
//! and the fleet ([`follow`]), exchanges state with its [`peers`], sends requests on for those that reach no upstream
//! ([`gateway`]), blocks requests that crash upstreams
//! ([`quarantine`]), finds the software version at which a stream goes on that a caller takes up again
//! ([`resumption`]), and rolls out weights while it holds the lease ([`roll`]). The process itself stores nothing
//! durably: durable state is behind [`ports::Store`].
//!
//! The protocols and names of the platform are behind the traits in [`ports`]. An adapter implements them and makes no
//! decisions.

pub mod catalogue;
pub mod clock;
pub mod core;
pub mod fleet;
pub mod follow;
pub mod gateway;
pub mod intake;
pub mod job;
pub mod kept;
pub mod limits;
mod listening;
pub mod locator;
pub mod peers;
pub mod placing;
pub mod ports;
pub mod process;
pub mod quarantine;
pub mod quota;
pub mod refusal;
pub mod relay;
pub mod resumption;
pub mod roll;
pub mod settings;
pub mod store;
pub mod telemetry;
pub mod upstream;
