//! Requests under which upstreams end.

mod probe;

pub use probe::{Probes, Process};
