//! Decisions of an entry VM that knows only its own traffic.

mod budget;
mod engines;
mod plain;
mod rolls;
mod telling;
mod transfers;
