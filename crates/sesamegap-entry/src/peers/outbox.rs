//! News of engines on its way to all peers.

use super::message::EngineUpdate;
use crate::follow::Reading;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// How often each piece is sent: a lost datagram costs requests that an engine refuses.
const REPEATS: u8 = 2;

/// News that is still to be sent, and how often.
#[derive(Debug, Default)]
pub struct Outbox {
    engines: Mutex<Vec<(EngineUpdate, u8)>>,
    stores: Mutex<Vec<SocketAddr>>,
    readings: Mutex<Vec<Reading>>,
}

impl Outbox {
    /// Sends with the next datagrams that a store of kept cache does not answer.
    pub fn put_store(&self, store: SocketAddr) {
        let mut stores = self.stores.lock().unwrap_or_else(PoisonError::into_inner);
        if !stores.contains(&store) {
            stores.push(store);
        }
    }

    /// Stores that go out now.
    pub fn stores(&self) -> Vec<SocketAddr> {
        let mut stores = self.stores.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut stores)
    }

    /// Sends with the next datagrams what this VM has read of the store for all.
    pub fn put_reading(&self, reading: Reading) {
        let mut readings = self.readings.lock().unwrap_or_else(PoisonError::into_inner);
        readings.push(reading);
    }

    /// What was read and goes out now.
    pub fn readings(&self) -> Vec<Reading> {
        let mut readings = self.readings.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut readings)
    }

    /// Sends a piece with the next datagrams, in place of an older one of the same engine.
    pub fn put(&self, news: EngineUpdate) {
        let mut pieces = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
        pieces.retain(|(old, _)| old.engine != news.engine);
        pieces.push((news, REPEATS));
    }

    /// What goes out now.
    pub fn take(&self) -> Vec<EngineUpdate> {
        let mut pieces = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
        take_repeated(&mut pieces)
    }
}

/// Pieces that go out now, each as often as its number says.
pub fn take_repeated<T: Clone>(pieces: &mut Vec<(T, u8)>) -> Vec<T> {
    let now = pieces.iter().map(|(piece, _)| piece.clone()).collect();
    for (_, left) in pieces.iter_mut() {
        *left -= 1;
    }
    pieces.retain(|(_, left)| *left > 0);
    now
}
