//! News of engines on its way to all peers.

use super::message::EngineNews;
use std::sync::{Mutex, PoisonError};

/// How often each piece is sent: a lost datagram costs requests that an engine refuses.
const REPEATS: u8 = 2;

/// News that is still to be sent, and how often.
#[derive(Debug, Default)]
pub struct Outbox(Mutex<Vec<(EngineNews, u8)>>);

impl Outbox {
    /// Sends a piece with the next datagrams, in place of an older one of the same engine.
    pub fn put(&self, news: EngineNews) {
        let mut pieces = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        pieces.retain(|(old, _)| old.engine != news.engine);
        pieces.push((news, REPEATS));
    }

    /// What goes out now.
    pub fn take(&self) -> Vec<EngineNews> {
        let mut pieces = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let news = pieces.iter().map(|(news, _)| news.clone()).collect();
        for (_, left) in pieces.iter_mut() {
            *left -= 1;
        }
        pieces.retain(|(_, left)| *left > 0);
        news
    }
}
