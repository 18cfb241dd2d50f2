//! Splits a server-sent event stream at event boundaries.
//!
//! An upstream may break off within an event. Only complete events are sent to the caller, so that the stream can
//! be resumed at another upstream.

use crate::upstream::{GaveWay, HeldBytes};
use bytes::Bytes;
use std::fmt;

/// Largest event, in bytes; a longer one is not valid in this protocol.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Complete events that were read together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EventBatch {
    /// The events as received.
    pub bytes: Bytes,
    /// Numeric ids of the events that have one.
    pub ids: Vec<u64>,
}

impl EventBatch {
    /// Number of its first event; `None` if it is only comments, and an inner `None` if that event has no number.
    pub fn first_number(&self) -> Option<Option<u64>> {
        let mut number = None;
        let mut is_event = false;
        for line in self.bytes.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() && is_event {
                return Some(number);
            }
            number = number.or_else(|| id(line));
            is_event |= line.starts_with(b"id:") || line.starts_with(b"data:");
        }
        None
    }
}

/// Buffers a stream up to the next event boundary.
#[derive(Debug)]
pub struct EventSplitter {
    partial: HeldBytes,
}

/// Why an event cannot be completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PushError {
    /// It exceeds the size limit.
    TooLong,
    /// It gave way to other answers.
    GaveWay,
}

impl fmt::Display for PushError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => f.write_str("event exceeds the size limit"),
            Self::GaveWay => GaveWay.fmt(f),
        }
    }
}

impl std::error::Error for PushError {}

impl From<GaveWay> for PushError {
    fn from(_: GaveWay) -> Self {
        Self::GaveWay
    }
}

impl EventSplitter {
    /// A splitter that holds the part of an event here.
    pub fn new(partial: HeldBytes) -> Self {
        Self { partial }
    }

    /// Appends bytes and returns the events that are complete now.
    ///
    /// # Errors
    /// If an incomplete event exceeds the size limit, or gave way to other answers.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<EventBatch>, PushError> {
        // Complete events that come at once need no buffer here.
        let end = end_of_last_event(bytes).filter(|_| self.partial.is_empty());
        let (whole, rest) = if let Some(end) = end {
            (bytes[..end].to_vec(), bytes[end..].to_vec())
        } else {
            let known = self.partial.len();
            let length = self.partial.extend(bytes)?;
            let end = self.partial.find(|buffer| {
                let from = start_of_empty_line(buffer, known);
                end_of_last_event(&buffer[from..]).map(|end| from + end)
            });
            let Some(end) = end else {
                return if length > MAX_EVENT_BYTES {
                    Err(PushError::TooLong)
                } else {
                    Ok(None)
                };
            };
            let mut whole = self.partial.take()?;
            let rest = whole.split_off(end);
            (whole, rest)
        };
        // If the rest gives way at once, the next call tells; the complete events are passed on.
        _ = self.partial.extend(&rest);
        let ids = whole.split(|byte| *byte == b'\n').filter_map(id).collect();
        let bytes = whole.into();
        Ok(Some(EventBatch { bytes, ids }))
    }

    /// Whether part of an event is buffered, or was and gave way.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Ends when the part of an event has given way.
    pub async fn given_way(&self) {
        self.partial.given_way().await;
    }
}

/// Where a line may begin that is empty with the bytes from `at` on; those before were searched.
fn start_of_empty_line(buffer: &[u8], at: usize) -> usize {
    let line = buffer[..at].iter().rposition(|byte| *byte != b'\r');
    line.unwrap_or(0)
}

/// The end of the last complete event, which is after an empty line.
fn end_of_last_event(buffer: &[u8]) -> Option<usize> {
    let mut line_empty = false;
    for at in (0..buffer.len()).rev() {
        match buffer[at] {
            b'\n' if line_empty => return Some(end_of_next_line(buffer, at)),
            b'\n' => line_empty = true,
            b'\r' => {}
            _ => line_empty = false,
        }
    }
    None
}

/// The end of the line that follows the line feed at `at`.
fn end_of_next_line(buffer: &[u8], at: usize) -> usize {
    let rest = &buffer[at + 1..];
    let skipped = rest.iter().position(|byte| *byte == b'\n').unwrap_or(0);
    at + 1 + skipped + 1
}

/// Parses the number of an `id` line.
fn id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    let text = std::str::from_utf8(value).ok()?;
    text.trim().parse().ok()
}
