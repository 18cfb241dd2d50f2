//! What `sesamegap-ctl` does, apart from its command line.
//!
//! [`file`] checks files and tells what is in them, [`client`] speaks to routers and locators,
//! [`publish`] turns a file into edits and repeats them until the outcome is known, [`render`]
//! writes answers as text, and [`explain`] tells one request's story from logs. [`Exit`] says what an exit code means.

pub mod client;
pub mod exit;
pub mod explain;
pub mod file;
pub mod publish;
pub mod render;

pub use client::{Client, ClientError};
pub use exit::Exit;
