//! Placement tests: comparisons with reference implementations, and simulations of a small fleet.

mod barred;
mod faults;
mod homes;
mod index;
mod scan;
mod simulation;
mod support;
