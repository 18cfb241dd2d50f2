//! Which engine holds which model and version.
