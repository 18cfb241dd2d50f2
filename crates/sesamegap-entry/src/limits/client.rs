//! Questions to the VMs that count, and news of limits for all VMs.

use super::shared::SharedLimits;
use crate::peers::numbers::MessageNumbers;
use crate::peers::repeated::take_repeated;
use rustc_hash::FxHashMap;
use sesamegap_policy::routing::upstream_limits::{
    Counter, LimitChange, LimitNews, Message, Verdict,
};
use sesamegap_wire::Moment;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;
use tracing::debug;

/// How often each piece of news is sent: datagrams get lost.
const SEND_COUNT: u8 = 2;

/// Limits in one datagram, at about 32 bytes each.
const NEWS_PER_DATAGRAM: usize = 32;

/// The limits of upstreams as this VM knows them, its open questions, and the news that it has for its peers.
#[derive(Debug)]
pub struct LimitClient {
    /// The limits.
    pub known: SharedLimits,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    numbers: MessageNumbers,
    pending: FxHashMap<u64, oneshot::Sender<Verdict>>,
    /// Incarnations whose limits changed, and how often that is still to be sent.
    news: Vec<(u64, u8)>,
}

/// A question that waits for its answer; dropping it discards one that comes later.
#[derive(Debug)]
pub struct PendingQuestion<'a> {
    client: &'a LimitClient,
    /// Its number.
    pub number: u64,
    /// Receives the answer.
    pub verdict: oneshot::Receiver<Verdict>,
}

impl Drop for PendingQuestion<'_> {
    fn drop(&mut self) {
        self.client.lock().pending.remove(&self.number);
    }
}

/// What follows from a peer's message.
#[derive(Debug, Default)]
pub struct Received {
    /// Changes of what this VM knows.
    pub changes: Vec<(u64, LimitChange)>,
    /// Messages to send back.
    pub replies: Vec<Message>,
}

impl LimitClient {
    /// Creates a client for these limits.
    pub fn new(known: SharedLimits) -> Self {
        Self {
            known,
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a question to a VM that counts.
    pub fn start_question(&self) -> PendingQuestion<'_> {
        let (sender, verdict) = oneshot::channel();
        let mut state = self.lock();
        let number = state.numbers.allocate();
        state.pending.insert(number, sender);
        PendingQuestion {
            client: self,
            number,
            verdict,
        }
    }

    /// Queues what is known of a limit for all peers.
    pub fn announce(&self, life: u64) {
        let mut state = self.lock();
        state.news.retain(|(queued, _)| *queued != life);
        state.news.push((life, SEND_COUNT));
    }

    /// Takes the news to send to all peers.
    pub fn take_news(&self, now: Moment) -> Vec<Message> {
        let lives = {
            let mut state = self.lock();
            if state.news.is_empty() {
                return Vec::new();
            }
            take_repeated(&mut state.news)
        };
        let limits = self.known.lock();
        let news = lives.into_iter().filter_map(|life| limits.news(life, now));
        in_datagrams(&news.collect::<Vec<_>>())
    }

    /// Handles a message of another VM; `counter` tells which VM counts the requests at an upstream.
    pub fn receive(
        &self,
        from: SocketAddr,
        message: Message,
        counter: impl Fn(u64) -> Counter<SocketAddr>,
        now: Moment,
    ) -> Received {
        let mut received = Received::default();
        match message {
            Message::News(all) => self.learn(&all, &mut received, now),
            Message::Ask { number, news } => {
                self.learn(&[news], &mut received, now);
                let verdict = match counter(news.life) {
                    Counter::Here(place) => self.known.lock().try_grant(news.life, place, now),
                    Counter::At(_) | Counter::Nobody => Verdict::NotCounting,
                };
                received.replies.push(Message::Answer(number, verdict));
            }
            Message::Answer(number, verdict) => {
                let pending = self.lock().pending.remove(&number);
                if pending.is_none_or(|pending| pending.send(verdict).is_err()) {
                    debug!(number, %from, "an answer about a limit came too late");
                }
            }
            Message::Copy => {
                let known = self.known.lock().all_news(now);
                received.replies = in_datagrams(&known);
            }
        }
        received
    }

    fn learn(&self, news: &[LimitNews], received: &mut Received, now: Moment) {
        let mut limits = self.known.lock();
        for one in news {
            let change = limits.learn(one, now);
            received
                .changes
                .extend(change.map(|change| (one.life, change)));
        }
    }
}

fn in_datagrams(news: &[LimitNews]) -> Vec<Message> {
    let chunks = news.chunks(NEWS_PER_DATAGRAM);
    chunks.map(|chunk| Message::News(chunk.to_vec())).collect()
}
