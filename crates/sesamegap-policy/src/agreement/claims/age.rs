//! How long a key can be trusted to be found in the log.

use std::time::Duration;

/// What is known of a key's age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyAge {
    /// Young enough: if it was ever claimed, the log still has the claim.
    Fresh,
    /// Its claim may have been dropped by the log, so nobody can tell whether it ran.
    Stale,
    /// It lies further in the future than clocks may differ.
    InFuture,
    /// It carries no time.
    Untimed,
}

/// For how long keys with a time are honoured.
#[derive(Debug, Clone, Copy)]
pub struct KeyValidity {
    retention: Duration,
    skew: Duration,
}

impl KeyValidity {
    /// Takes the log's retention and the most by which callers' clocks may differ from ours.
    pub fn new(retention: Duration, skew: Duration) -> Self {
        Self { retention, skew }
    }

    /// Judges a key at `now`, both in Unix milliseconds.
    ///
    /// A claim is appended after its key was made, so it is kept at least until the key's time
    /// plus the retention. Twice the skew is taken off: once for the caller's clock, once for ours.
    pub fn classify(&self, key: &str, now: u64) -> KeyAge {
        let Some(made) = time_of(key) else {
            return KeyAge::Untimed;
        };
        let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        let skew = millis(self.skew);
        if made > now.saturating_add(skew) {
            return KeyAge::InFuture;
        }
        let life = millis(self.retention).saturating_sub(skew.saturating_mul(2));
        if now.saturating_sub(made) > life {
            return KeyAge::Stale;
        }
        KeyAge::Fresh
    }
}

/// Milliseconds since the Unix epoch in a UUID of version 7 in its usual text form.
fn time_of(key: &str) -> Option<u64> {
    let bytes = key.as_bytes();
    let dashes = [8, 13, 18, 23];
    if bytes.len() != 36 || dashes.iter().any(|&i| bytes[i] != b'-') || bytes[14] != b'7' {
        return None;
    }
    let others = (0..36).filter(|i| !dashes.contains(i));
    if !others.into_iter().all(|i| bytes[i].is_ascii_hexdigit()) {
        return None;
    }
    let high = u64::from_str_radix(&key[..8], 16).ok()?;
    let low = u64::from_str_radix(&key[9..13], 16).ok()?;
    Some(high << 16 | low)
}
