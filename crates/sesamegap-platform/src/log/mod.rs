//! The platform's append-only log.
//!
//! The log is the one place where processes agree: whoever's record has the lower offset came
//! first. It is slow (several hundred appends a second in all), has outages, drops old records,
//! and an append whose answer was lost may still have taken effect. So each record carries an id
//! of its writer's choosing, and readers treat a second one with the same id as the first.

pub mod frame;
mod http;
pub mod streams;

pub use http::HttpLog;

use crate::error::PlatformError;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use sesamegap_wire::{Offset, StreamId};
use std::fmt;
use std::time::Duration;

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Position in the stream, rising by one.
    pub offset: Offset,
    /// When the log took it, in milliseconds since the Unix epoch by the log's clock.
    pub time_ms: u64,
    /// What was appended.
    pub body: Bytes,
}

/// A run of records read from a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Records in order of offset.
    pub records: Vec<Record>,
    /// Where to read on.
    pub next: Offset,
    /// Offset that the next append would get when this page was read.
    pub end: Offset,
}

/// A log service with named streams.
pub trait Log: Send + Sync + fmt::Debug {
    /// Appends records at the end of a stream, all or none, and returns the first one's offset.
    ///
    /// # Errors
    /// With [`Reason::Unknown`](crate::Reason::Unknown) the records may have been appended.
    fn append<'a>(
        &'a self,
        stream: &'a StreamId,
        records: Vec<Bytes>,
    ) -> BoxFuture<'a, Result<Offset, PlatformError>>;

    /// Reads from an offset on, waiting up to `wait` if there is nothing yet.
    ///
    /// # Errors
    /// With [`Reason::Expired`](crate::Reason::Expired) the offset is older than what is kept.
    fn read<'a>(
        &'a self,
        stream: &'a StreamId,
        from: Offset,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Page, PlatformError>>;
}
