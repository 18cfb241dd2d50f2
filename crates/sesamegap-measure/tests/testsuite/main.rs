//! Tests of the measuring programs.

mod slopes;
