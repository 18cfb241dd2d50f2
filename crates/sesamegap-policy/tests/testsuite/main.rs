//! Tests of the decisions, by subject.

mod load;
mod shifting;
mod support;
