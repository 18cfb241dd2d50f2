//! Finds the software version at which a stream goes on that a caller takes up again.
//!
//! [`record_begin`] keeps which version began a stream, and sends the record to a few other VMs. [`origin`] looks a stream
//! up, at this VM and at others. [`tick`] tells all VMs of upstreams that may have restarted with other software. The
//! policy is in [`sesamegap_policy::resumption`].

mod client;
pub mod origin;

pub use client::{Resumption, receive, record_begin, tick};
