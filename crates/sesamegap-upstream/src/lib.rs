//! Clients of sesamegap's upstreams: engines, kept-KV store, plain services.
//!
//! Decisions and streams see only the traits here. What an engine of another maker speaks is the
//! matter of another implementation, never of a decision.

mod client;
pub mod engine;
pub mod error;
pub mod kv;
pub mod service;
pub mod wire;

pub use engine::{ChunkStream, Engine, HttpEngine};
pub use error::{Fault, Ran, UpstreamError};
pub use kv::{HttpStore, KvStore};
pub use service::{Call, HttpWorker, PlainService, Reply};
