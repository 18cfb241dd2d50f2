//! Decisions of an entry VM that knows only its own traffic.

mod budget;
mod engines;
mod plain;
mod reading;
mod rolls;
mod telling;
mod transfers;
