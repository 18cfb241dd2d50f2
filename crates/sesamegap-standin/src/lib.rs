//! Small stand-ins for the systems that sesamegap meets.
//!
//! They take the place of the platform (log, VM list, weight store) and of the upstreams (model
//! engines, kept-KV store, plain services) in tests and demonstrations, over real sockets and with
//! the faults of the real ones. [`Plan`] says what there is and how fast it is, [`Deployment`] runs
//! it, [`faults`] names what can go wrong, and [`expected_answer`] tells what any engine must have
//! answered. The record of what ran is the yardstick for what a router claims.

mod answer;
mod control;
mod deployment;
mod engine;
pub mod faults;
pub mod gate;
mod host;
pub mod lane;
pub mod plan;
mod platform;
pub mod rate;
mod record;
mod store;
mod worker;

pub use answer::expected_answer;
pub use control::Engines;
pub use deployment::{Addresses, Deployment, Restart};
pub use engine::{EngineState, OrderRecord, Tag};
pub use faults::{Fault, FaultError, Hit, Span};
pub use plan::Plan;
pub use record::{Executions, Run};
pub use worker::Echo;
