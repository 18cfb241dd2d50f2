//! Size limit on server-sent events.
//!
//! A parser of server-sent events buffers a line until its line ending, and an event until the
//! empty line after it. An upstream that never sends either would exhaust the router's memory, so
//! the bytes are counted before they reach the parser.

/// Counts the bytes of the current event against a limit.
#[derive(Debug)]
pub struct EventSizeLimit {
    limit: usize,
    event_bytes: usize,
    line_bytes: usize,
    after_cr: bool,
}

impl EventSizeLimit {
    /// Allows events of up to `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            event_bytes: 0,
            line_bytes: 0,
            after_cr: false,
        }
    }

    /// Counts more bytes and returns whether every event is still within the limit.
    #[must_use]
    pub fn allows(&mut self, bytes: &[u8]) -> bool {
        bytes.iter().all(|&byte| self.count(byte))
    }

    fn count(&mut self, byte: u8) -> bool {
        // The `\n` of a `\r\n` pair does not end another line.
        let completes_crlf = self.after_cr && byte == b'\n';
        self.after_cr = byte == b'\r';
        if completes_crlf {
            return true;
        }
        self.event_bytes += 1;
        let fits = self.event_bytes <= self.limit;
        if byte != b'\n' && byte != b'\r' {
            self.line_bytes += 1;
        } else {
            if self.line_bytes == 0 {
                self.event_bytes = 0;
            }
            self.line_bytes = 0;
        }
        fits
    }
}
