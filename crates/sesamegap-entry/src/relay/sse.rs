//! Splits a server-sent event stream at event boundaries.
//!
//! An upstream may break off within an event. Only complete events are sent to the caller, so that the stream can
//! be resumed at another upstream.

use bytes::{Bytes, BytesMut};

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
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

/// An event exceeds the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl EventSplitter {
    /// Appends bytes and returns the events that are complete now.
    ///
    /// # Errors
    /// If an incomplete event exceeds the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<EventBatch>, EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.buffer) else {
            return if self.buffer.len() > MAX_EVENT_BYTES {
                Err(EventTooLong)
            } else {
                Ok(None)
            };
        };
        let whole = self.buffer.split_to(end).freeze();
        let ids = whole.split(|byte| *byte == b'\n').filter_map(id).collect();
        Ok(Some(EventBatch { bytes: whole, ids }))
    }

    /// Whether part of an event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
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
