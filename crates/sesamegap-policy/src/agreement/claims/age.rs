//! Checks by a key's timestamp whether the log would still hold a claim on the key.

use std::time::Duration;

/// Age of a key relative to the log's retention.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyAge {
    /// If the key was ever claimed, the log still has the claim.
    Fresh,
    /// The log may have dropped the key's claim, so whether the request ran is unknown.
    Stale,
    /// The key's timestamp is further in the future than the permitted clock skew.
    InFuture,
    /// The key has no timestamp.
    Untimed,
}

/// How long keys with a timestamp are honoured.
#[derive(Debug, Clone, Copy)]
pub struct KeyValidity {
    retention: Duration,
    skew: Duration,
}

impl KeyValidity {
    /// `retention` is the log's, `skew` the largest difference between a caller's clock and ours.
    pub fn new(retention: Duration, skew: Duration) -> Self {
        Self { retention, skew }
    }

    /// Classifies a key at `now` (Unix milliseconds).
    ///
    /// A claim is appended after its key was created, so the log keeps it at least until the key's
    /// timestamp plus the retention. Twice the skew is subtracted: once for the caller's clock and
    /// once for ours.
    pub fn classify(&self, key: &str, now: u64) -> KeyAge {
        let Some(created) = uuid_v7_timestamp(key) else {
            return KeyAge::Untimed;
        };
        let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let skew = millis(self.skew);
        if created > now.saturating_add(skew) {
            return KeyAge::InFuture;
        }
        let validity = millis(self.retention).saturating_sub(skew.saturating_mul(2));
        if now.saturating_sub(created) > validity {
            return KeyAge::Stale;
        }
        KeyAge::Fresh
    }
}

/// Parses the timestamp (Unix milliseconds) of a UUID of version 7 in hyphenated form.
fn uuid_v7_timestamp(key: &str) -> Option<u64> {
    let bytes = key.as_bytes();
    let dashes = [8, 13, 18, 23];
    if bytes.len() != 36 || dashes.iter().any(|&i| bytes[i] != b'-') || bytes[14] != b'7' {
        return None;
    }
    let digits = (0..36).filter(|i| !dashes.contains(i));
    if !digits.into_iter().all(|i| bytes[i].is_ascii_hexdigit()) {
        return None;
    }
    let high = u64::from_str_radix(&key[..8], 16).ok()?;
    let low = u64::from_str_radix(&key[9..13], 16).ok()?;
    Some(high << 16 | low)
}
