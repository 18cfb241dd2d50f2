//! Questions to owners that are still open, and words that go to them.

use super::message::{Found, Say, Word};
use crate::clock;
use crate::fleet::Flight;
use crate::peers;
use rustc_hash::FxHashMap;
use sesamegap_wire::Moment;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tracing::info;

/// How long an owner that did not answer is not asked: about the time until its peers suspect it.
const SILENT: Duration = Duration::from_secs(1);

/// Words to one owner in one datagram, at some 25 bytes each.
const WORDS: usize = 48;

/// This VM's side of what owners place for it.
#[derive(Debug, Default)]
pub struct Desk {
    state: Arc<Mutex<State>>,
    socket: OnceLock<Arc<UdpSocket>>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    open: FxHashMap<u64, oneshot::Sender<Option<Found>>>,
    words: FxHashMap<SocketAddr, Vec<Word>>,
    silent: FxHashMap<SocketAddr, Moment>,
}

impl State {
    /// A number that no former process on this VM has used lately.
    fn number(&mut self) -> u64 {
        self.next = self.next.max(clock::unix_ms() << 20) + 1;
        self.next
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A prompt of which an owner was told; it hears of the end when this is dropped.
#[derive(Debug)]
pub struct Asked {
    state: Arc<Mutex<State>>,
    owner: SocketAddr,
    number: u64,
}

impl Asked {
    /// Its number.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Who was told.
    pub fn owner(&self) -> SocketAddr {
        self.owner
    }

    /// Notes that its engine has read it.
    pub fn read(&self) {
        self.say(Word::Read(self.number));
    }

    fn say(&self, word: Word) {
        let mut state = lock(&self.state);
        state.words.entry(self.owner).or_default().push(word);
    }
}

impl Drop for Asked {
    fn drop(&mut self) {
        self.say(Word::Ended(self.number));
        lock(&self.state).open.remove(&self.number);
    }
}

impl Desk {
    /// Sends and hears over this socket from now on.
    pub fn open(&self, socket: Arc<UdpSocket>) {
        if self.socket.set(socket).is_err() {
            info!("placing has its socket already");
        }
    }

    /// Opens a question to an owner.
    pub fn ask(&self, owner: SocketAddr) -> (Asked, oneshot::Receiver<Option<Found>>) {
        let (answers, answer) = oneshot::channel();
        let mut state = lock(&self.state);
        let number = state.number();
        state.open.insert(number, answers);
        (self.asked(owner, number), answer)
    }

    /// Tells an owner of a prompt that it did not place.
    pub fn tell(&self, owner: SocketAddr, flight: &Flight, left: Duration) -> Asked {
        let number = lock(&self.state).number();
        let asked = self.asked(owner, number);
        asked.say(Word::Began {
            number,
            life: flight.life(),
            tokens: flight.tokens(),
            left_ms: clock::wire_millis(left),
        });
        asked
    }

    fn asked(&self, owner: SocketAddr, number: u64) -> Asked {
        Asked {
            state: Arc::clone(&self.state),
            owner,
            number,
        }
    }

    /// Takes in an answer; one that nobody waits for any more is taken back by the end of its question.
    pub fn answered(&self, number: u64, found: Option<Found>) {
        let waiting = lock(&self.state).open.remove(&number);
        if let Some(waiting) = waiting
            && waiting.send(found).is_err()
        {
            tracing::debug!(number, "an owner's answer came too late");
        }
    }

    /// Whether an owner did not answer lately.
    pub fn is_silent(&self, owner: SocketAddr, now: Moment) -> bool {
        lock(&self.state)
            .silent
            .get(&owner)
            .is_some_and(|until| now < *until)
    }

    /// Asks an owner nothing for a while.
    pub fn leave(&self, owner: SocketAddr, now: Moment) {
        let mut state = lock(&self.state);
        state.silent.retain(|_, until| now < *until);
        state.silent.insert(owner, now + SILENT);
    }

    /// Words that go out now, in pieces that fit into datagrams.
    pub fn words(&self) -> Vec<(SocketAddr, Say)> {
        let words = std::mem::take(&mut lock(&self.state).words);
        let each = words.into_iter().flat_map(|(owner, words)| {
            let pieces = words.chunks(WORDS).map(<[Word]>::to_vec);
            pieces
                .map(move |piece| (owner, Say::Words(piece)))
                .collect::<Vec<_>>()
        });
        each.collect()
    }

    /// Sends a message, if there is a socket and the link takes it.
    pub async fn send(&self, say: Say, to: SocketAddr) {
        if let Some(socket) = self.socket.get()
            && let Some(bytes) = peers::encode_placing(say)
        {
            // Whoever asks waits for an answer and no longer; other words are made up for by time.
            drop(socket.send_to(&bytes, to).await);
        }
    }
}
