//! The process of an entry VM.
//!
//! One process on each VM takes callers' requests ([`intake`]), sends each to an upstream and its
//! answer back ([`relay`] over [`upstream`]), names live entry VMs ([`locator`]), follows the
//! operator's settings and the fleet ([`follow`]), hears its [`peers`], holds back requests that
//! crash upstreams ([`quarantine`]), and takes its turn at rolling weights ([`roll`]). It keeps
//! nothing: what must last lies behind [`ports::Store`].
//!
//! What the platform calls things, and how, is behind the traits in [`ports`]; an adapter
//! implements them and decides nothing.

pub mod catalogue;
pub mod clock;
pub mod core;
pub mod fleet;
pub mod follow;
pub mod intake;
pub mod kept;
pub mod locator;
pub mod peers;
pub mod placing;
pub mod ports;
pub mod process;
pub mod quarantine;
pub mod relay;
pub mod roll;
pub mod settings;
pub mod store;
pub mod telemetry;
pub mod upstream;
