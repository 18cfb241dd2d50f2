//! The router.

mod assembly;
mod callers;
mod closing;
mod once;
mod pages;
mod refusals;
mod settings;
mod stops;
mod streams;
mod upstreams;
