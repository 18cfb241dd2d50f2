//! Tests of an entry VM's routing decisions.

mod belief;
mod budget;
mod candidates;
mod dissemination;
mod engines;
mod plain;
mod quiet_shards;
mod reading;
mod rolls;
mod shards;
mod silence;
mod transfers;
mod weights;
