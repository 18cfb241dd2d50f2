//! Finds the software version at which a stream goes on that a caller takes up again.
//!
//! [`record_begin`] keeps which version began a stream, and sends the record to a few other VMs. [`origin`] looks a stream
//! up, at this VM and at others. [`tick`] tells all VMs of upstreams that may have restarted with other software. The
//! policy is in [`sesamegap_policy::resumption`].
//!
//! For the case that all VMs are killed at once, [`run_history`] keeps in the store which versions can have begun streams,
//! and [`run_log`] the records while these are several.

mod client;
mod history;
mod list;
mod log;
pub mod origin;

pub use client::{Resumption, receive, record_begin, tick};
pub use history::{History, run_history};
pub use log::run_log;
