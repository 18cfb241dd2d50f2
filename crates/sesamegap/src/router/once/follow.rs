//! Follows the claims in the log.

use super::appender::Claimed;
use super::{Appender, ClaimRecord, Claims};
use crate::router::follow_log::{self, Source};
use crate::router::lock;
use sesamegap_platform::Record;
use sesamegap_platform::log::streams;
use sesamegap_wire::codec;
use std::sync::{Arc, Mutex};

/// Folds claims and tells those who wait for theirs.
#[derive(Debug)]
pub struct ClaimsReader {
    /// The fold, shared with those who ask who holds a key.
    pub claims: Arc<Mutex<Claims>>,
    /// Those who wait.
    pub appender: Appender,
}

impl follow_log::Reader for ClaimsReader {
    fn take(&mut self, records: &[Record]) {
        let mut claims = lock(&self.claims);
        for record in records {
            // A record that is no claim is no reason to stop: every router skips it alike.
            let Ok(claim) = codec::decode::<ClaimRecord>(&record.body) else {
                continue;
            };
            let holder = claims.apply(record.time_ms, &claim);
            self.appender.resolve(&claim.id, Claimed::By(holder));
        }
    }
}

/// Where claims are read.
pub fn source() -> Source {
    Source::new(streams::claims())
}
