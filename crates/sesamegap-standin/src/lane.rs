//! A bounded number of places, given by priority and then by arrival.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

type Turn = (Reverse<u8>, u64);

#[derive(Debug)]
struct Queue {
    free: usize,
    places: usize,
    next: u64,
    waiting: BTreeMap<Turn, oneshot::Sender<Permit>>,
}

/// Places that callers wait for.
#[derive(Debug, Clone)]
pub struct Lane(Arc<Mutex<Queue>>);

/// One place, given back when dropped.
#[derive(Debug)]
pub struct Permit(Option<Lane>);

/// Leaves the queue when the one who waits is dropped.
struct Ticket<'a> {
    lane: &'a Lane,
    turn: Turn,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        let sender = self.lane.lock().waiting.remove(&self.turn);
        drop(sender);
    }
}

impl Lane {
    /// A lane with a number of places.
    pub fn new(places: usize) -> Self {
        Self(Arc::new(Mutex::new(Queue {
            free: places,
            places,
            next: 0,
            waiting: BTreeMap::new(),
        })))
    }

    /// Waits for a place; a higher priority goes first.
    pub async fn enter(&self, priority: u8) -> Permit {
        let (turn, place) = {
            let mut queue = self.lock();
            if queue.free > 0 {
                queue.free -= 1;
                return Permit(Some(self.clone()));
            }
            let turn = (Reverse(priority), queue.next);
            queue.next += 1;
            let (give, place) = oneshot::channel();
            queue.waiting.insert(turn, give);
            (turn, place)
        };
        let _ticket = Ticket { lane: self, turn };
        place.await.unwrap_or(Permit(None))
    }

    /// How many hold a place and how many wait for one.
    pub fn load(&self) -> (usize, usize) {
        let queue = self.lock();
        (queue.places - queue.free, queue.waiting.len())
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn give_back(&self) {
        let first = {
            let mut queue = self.lock();
            let first = queue.waiting.pop_first();
            if first.is_none() {
                queue.free += 1;
            }
            first
        };
        if let Some((_, give)) = first {
            // Whoever has stopped waiting drops the permit, which gives it to the next one.
            let _passed_on = give.send(Permit(Some(self.clone())));
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(lane) = self.0.take() {
            lane.give_back();
        }
    }
}
