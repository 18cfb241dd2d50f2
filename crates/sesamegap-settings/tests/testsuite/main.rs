//! Tests of the settings crate, a module a subject.

mod fold;
mod support;
