//! Tests of the settings crate, a module a subject.

mod fold;
mod fuzz;
mod inherit;
mod input;
mod limits;
mod support;
