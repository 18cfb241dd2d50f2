//! Answers streamed from upstreams to callers.
//!
//! Each admitted request gets an [`Answer`], which is kept under the request's id, and a task that
//! fills it. For models, [`model`] asks the decider for an engine, sends the request and assembles
//! the stream with an [`Assembly`]; for plain services, [`service`] calls a worker. Callers'
//! connections read the answer at their own pace. The task continues when a connection breaks, so
//! that the caller can resume, and stops when nobody has reconnected for a while.

pub mod answer;
pub mod assembly;
mod booking;
pub mod kept;
pub mod model;
pub mod service;

pub use answer::{Answer, End, Head, Item, Reader, Shape};
pub use assembly::{Assembly, Step};
pub use kept::AnswerStore;
