//! One request's story out of the logs of several VMs.
//!
//! [`Story::read`] goes over the logs twice, since what a VM believed is logged long before the
//! request comes: first for the request's lines, then for the few others that say what was believed
//! while it ran. What is kept is bounded, whatever the length of the logs. [`tell()`] writes it as
//! text.

pub mod belief;
pub mod line;
pub mod source;
pub mod story;
pub mod tell;

pub use line::Line;
pub use source::{Counts, Source};
pub use story::Story;
pub use tell::tell;
