//! The router.

mod assembly;
mod callers;
mod once;
mod settings;
mod stops;
mod streams;
