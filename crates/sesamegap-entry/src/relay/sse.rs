//! Cuts a stream of events at the ends of events.
//!
//! Upstreams stop in the middle of an event. Only whole events go to the caller, so that a stream
//! that goes on elsewhere joins without a seam.

use bytes::{Bytes, BytesMut};

/// Bytes of one event at most; a longer one is not of this protocol.
const LONGEST: usize = 256 << 10;

/// Whole events that came together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventBatch {
    /// Their bytes.
    pub bytes: Bytes,
    /// Ids of those that have one.
    pub ids: Vec<u64>,
}

/// What was read of a stream and not passed on yet.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
}

/// A stream that is not made of events of bearable length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl EventSplitter {
    /// Takes in bytes and gives back the events that are whole now.
    ///
    /// # Errors
    /// If an event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<EventBatch>, EventTooLong> {
        self.held.extend_from_slice(bytes);
        let Some(end) = last_end(&self.held) else {
            return if self.held.len() > LONGEST {
                Err(EventTooLong)
            } else {
                Ok(None)
            };
        };
        let whole = self.held.split_to(end).freeze();
        let ids = whole.split(|byte| *byte == b'\n').filter_map(id).collect();
        Ok(Some(EventBatch { bytes: whole, ids }))
    }

    /// Whether part of an event is held.
    pub fn is_partial(&self) -> bool {
        !self.held.is_empty()
    }
}

/// Where the last whole event ends: after an empty line.
fn last_end(held: &[u8]) -> Option<usize> {
    let mut line_empty = false;
    for at in (0..held.len()).rev() {
        match held[at] {
            b'\n' if line_empty => return Some(following(held, at)),
            b'\n' => line_empty = true,
            b'\r' => {}
            _ => line_empty = false,
        }
    }
    None
}

/// The end of the empty line that follows the line end at `at`.
fn following(held: &[u8], at: usize) -> usize {
    let rest = &held[at + 1..];
    let skipped = rest.iter().position(|byte| *byte == b'\n').unwrap_or(0);
    at + 1 + skipped + 1
}

/// The number in an `id` line.
fn id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    let text = std::str::from_utf8(value).ok()?;
    text.trim().parse().ok()
}
