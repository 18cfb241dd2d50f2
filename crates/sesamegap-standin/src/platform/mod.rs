//! Stand-ins of what the platform gives: log, VM list and weight store.

pub(crate) mod log;
pub(crate) mod vms;
pub(crate) mod weights;
