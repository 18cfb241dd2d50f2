//! Answers on their way from upstreams to callers.
//!
//! A request that is let in gets an [`Answer`], which is kept under its id, and a task that works
//! on it: [`model`] asks the decider for an engine, sends the request and puts the stream together
//! with an [`Assembly`]; [`service`] calls a worker of a plain service. Callers' connections read
//! the answer at their own pace. The task goes on when a connection breaks, so that the caller can
//! resume, and stops when nobody has come back for a while.

pub mod answer;
pub mod assembly;
mod booking;
pub mod kept;
pub mod model;
pub mod service;

pub use answer::{Answer, End, Head, Item, Reader, Shape};
pub use assembly::{Assembly, Step};
pub use kept::Kept;
