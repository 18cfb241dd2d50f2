//! Tests of the entry VM process, over loopback sockets and with stand-ins behind its ports.
#![expect(
    clippy::unwrap_used,
    reason = "a failed unwrap in a helper fails its test"
)]

mod admission;
mod belief;
mod brittle;
mod catalogue;
mod copies;
mod cut_heads;
mod dead_calls;
mod early_ends;
mod endless;
mod endless_sum;
mod fetches;
mod fleet;
mod fleet_records;
mod forwarding;
mod idle_close;
mod large_documents;
mod late_requests;
mod late_requests_beside;
mod limits;
mod locating;
mod logs;
mod non_idempotent;
mod odd_entries;
mod pages;
mod partitions;
mod peers;
mod placing;
mod prompt_parts;
mod quarantine;
mod quota;
mod readings;
mod refusals;
mod restored;
mod rolls;
mod silence;
mod silent_streams;
mod software_versions;
mod sse;
mod stops;
mod streams;
mod support;
mod unframed;
mod weights;
