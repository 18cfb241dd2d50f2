//! The I/O that joins the parts of sesamegap, and its binaries.
//!
//! Each process has a module of its own; [`config`] holds what a process learns from its settings
//! file at start, as opposed to the settings tree, which it follows through the log. [`events`]
//! numbers the log events and [`telemetry`] holds logging and metrics.

pub mod admin;
pub mod config;
pub mod controller;
pub mod ctl;
pub mod events;
pub mod local;
pub mod locator;
pub mod process;
pub mod router;
pub mod site;
pub mod telemetry;
