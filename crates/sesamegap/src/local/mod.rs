//! A whole deployment on loopback, as threads of one process.
//!
//! [`Site`](crate::site::Site) says what machines there are and [`Demand`] what callers send;
//! [`Deployment`] starts the stand-ins, then routers, locators and controllers against them, and publishes the site's tree.
//! [`traffic`] makes the site's requests from a seed, [`caller`] sends them as a real HTTP client
//! would, [`Report`] tells how they fared, and [`judge`] checks promises against the stand-ins'
//! records.

pub mod caller;
pub mod demand;
pub mod deployment;
pub mod drive;
pub mod judge;
pub mod report;
pub mod routers;
pub mod stream;
pub mod traffic;

pub use demand::Demand;
pub use deployment::Deployment;
pub use drive::{Drive, Sent, drive};
pub use report::Report;
pub use routers::Routers;
