//! Tests of placing: against naive versions, and by what callers get.

mod barred;
mod faults;
mod homes;
mod index;
mod scan;
mod support;
mod world;
