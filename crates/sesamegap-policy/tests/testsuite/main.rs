//! Tests of the decisions, by subject.

mod load;
mod queue;
mod shifting;
mod support;
