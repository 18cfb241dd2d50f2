//! Clients of the platform services: log, VM list and weight store.
//!
//! Each service has a trait, which hides its protocol from the other crates and from tests, and an
//! HTTP client that implements it. Another platform only needs other implementations.

mod client;
pub mod error;
pub mod log;
pub mod vms;
pub mod weights;

pub use error::{PlatformError, Reason};
pub use log::{HttpLog, Log, Page, Record};
pub use vms::{HttpVms, VmEntry, VmList, VmRole, VmState};
pub use weights::{HttpWeights, WeightStore};
