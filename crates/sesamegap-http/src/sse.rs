//! Bounds on the events of a stream.
//!
//! A parser of server-sent events keeps a line until it ends, and an event until its empty line.
//! An upstream that never ends either would fill the router's memory, so the bytes are counted
//! before they reach the parser.

/// Counts the bytes of the event under way.
#[derive(Debug)]
pub struct EventMeter {
    limit: usize,
    event: usize,
    line: usize,
    returned: bool,
}

impl EventMeter {
    /// A meter that allows events of up to `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            event: 0,
            line: 0,
            returned: false,
        }
    }

    /// Counts more bytes and tells whether every event still keeps to the limit.
    #[must_use]
    pub fn allows(&mut self, bytes: &[u8]) -> bool {
        bytes.iter().all(|&byte| self.count(byte))
    }

    fn count(&mut self, byte: u8) -> bool {
        // The second half of a line end of two bytes ends no further line.
        let half = self.returned && byte == b'\n';
        self.returned = byte == b'\r';
        if half {
            return true;
        }
        self.event += 1;
        let fits = self.event <= self.limit;
        if byte != b'\n' && byte != b'\r' {
            self.line += 1;
        } else {
            if self.line == 0 {
                self.event = 0;
            }
            self.line = 0;
        }
        fits
    }
}
