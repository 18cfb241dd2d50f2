//! Clients of sesamegap's upstreams: engines, kept-KV store and plain services.
//!
//! The routing code uses only the traits of this crate. Another engine's protocol needs another
//! implementation of [`Engine`] and no change to routing.

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
