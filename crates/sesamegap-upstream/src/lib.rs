//! Clients of sesamegap's upstreams: engines, kept-KV store, plain services.
//!
//! Decisions and streams see only the traits here. What an engine of another maker speaks is the
//! matter of another implementation, never of a decision.

pub mod engine;
pub mod error;
pub mod kv;
pub mod service;

pub use engine::{ChunkStream, Engine};
pub use error::{Ran, UpstreamError};
pub use kv::KvStore;
pub use service::{Call, PlainService, Reply};
