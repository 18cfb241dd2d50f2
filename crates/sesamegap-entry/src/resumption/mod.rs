//! Finds the software version at which a stream goes on that a caller takes up again.
//!
//! [`record_begin`] keeps which version began a stream, and sends the record to a few other VMs while several versions
//! serve; [`tick`] sends those that were kept before a second version appeared. [`origin`] looks a stream up, at this VM
//! and at others. The policy is in [`sesamegap_policy::resumption`].

mod client;
pub mod origin;

pub use client::{Resumption, receive, record_begin, tick};
