//! The platform's append-only log.
//!
//! The log gives all processes one order of events: the record with the lower offset came first. It
//! is slow (several hundred appends a second in total), has outages and drops old records, and an
//! append whose response was lost may still have taken effect. So each record carries an id chosen
//! by its writer, and readers treat another record with the same id as a duplicate.

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
    /// Position in the stream; consecutive records differ by one.
    pub offset: Offset,
    /// When the log accepted it, in milliseconds since the Unix epoch by the log's clock.
    pub time_ms: u64,
    /// The appended bytes.
    pub body: Bytes,
}

/// Consecutive records read from a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Records in order of offset.
    pub records: Vec<Record>,
    /// Offset at which to continue reading.
    pub next: Offset,
    /// Offset that the next append would get when this page was read.
    pub end: Offset,
}

/// A log service with named streams.
pub trait Log: Send + Sync + fmt::Debug {
    /// Appends records to a stream atomically and returns the offset of the first one.
    ///
    /// # Errors
    /// With [`Reason::Unknown`](crate::Reason::Unknown) the records may have been appended.
    fn append<'a>(
        &'a self,
        stream: &'a StreamId,
        records: Vec<Bytes>,
    ) -> BoxFuture<'a, Result<Offset, PlatformError>>;

    /// Reads records from an offset on, waiting up to `wait` if there are none yet.
    ///
    /// # Errors
    /// With [`Reason::Expired`](crate::Reason::Expired) the offset is below the oldest one
    /// kept.
    fn read<'a>(
        &'a self,
        stream: &'a StreamId,
        from: Offset,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Page, PlatformError>>;
}
