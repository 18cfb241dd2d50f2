//! HTTP connections: a client pool for the platform and the upstreams, and a server for callers.
//!
//! An established connection can stop delivering data for good while new connections to the same
//! address work. So each target has its own [`Pool`], which replaces its connections after a
//! maximum age and as soon as one of them breaks, and every read has a timeout. Responses are
//! limited in size, whatever the target sends.
//!
//! [`Failure`] distinguishes requests that were not sent from those that may have been. Redirects
//! are not followed and nothing is retried here, since either would send a request twice.

pub mod body;
pub mod failure;
pub mod pool;
pub mod serving;
pub mod settings;
pub mod sse;

pub use body::{is_chunked, read_body};
pub use failure::Failure;
pub use pool::Pool;
pub use settings::{Settings, SettingsBuilder};
