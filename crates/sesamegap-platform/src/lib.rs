//! What the platform gives sesamegap: log, VM list and weight store.
//!
//! Each is met through a trait, so that decisions and tests know nothing of its protocol, and
//! through a client that speaks HTTP. Another platform needs another client, nothing else.

mod client;
pub mod error;
pub mod log;
pub mod vms;
pub mod weights;

pub use error::{PlatformError, Reason};
pub use log::{HttpLog, Log, Page, Record};
pub use vms::{HttpVms, VmEntry, VmList, VmRole, VmState};
pub use weights::{HttpWeights, WeightStore};
