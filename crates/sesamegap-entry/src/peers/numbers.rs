//! Numbers of messages that are answered.

use crate::clock;

/// Numbers that no earlier process on this VM has used recently.
#[derive(Debug, Default)]
pub struct MessageNumbers(u64);

impl MessageNumbers {
    /// Returns the next number.
    pub fn allocate(&mut self) -> u64 {
        self.0 = self.0.max(clock::unix_ms() << 20) + 1;
        self.0
    }
}
