//! Bounds on the events of a stream.
//!
//! A parser of server-sent events keeps a line until it ends, and an event until its empty line.
//! An upstream that never ends either would fill the router's memory, so the bytes are counted
//! before they reach the parser.

/// Counts the bytes of the event under way.
#[derive(Debug)]
pub struct EventSizeLimit {
    limit: usize,
    event_bytes: usize,
    line_bytes: usize,
    after_cr: bool,
}

impl EventSizeLimit {
    /// A meter that allows events of up to `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            event_bytes: 0,
            line_bytes: 0,
            after_cr: false,
        }
    }

    /// Counts more bytes and tells whether every event still keeps to the limit.
    #[must_use]
    pub fn allows(&mut self, bytes: &[u8]) -> bool {
        bytes.iter().all(|&byte| self.count(byte))
    }

    fn count(&mut self, byte: u8) -> bool {
        // The second completes_crlf of a line end of two bytes ends no further line.
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
