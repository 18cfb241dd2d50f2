//! Decisions of an entry VM that knows only its own traffic.

mod belief;
mod budget;
mod engines;
mod plain;
mod reading;
mod rolls;
mod shards;
mod silence;
mod telling;
mod transfers;
mod weights;
