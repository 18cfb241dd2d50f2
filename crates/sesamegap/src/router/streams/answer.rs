//! The answer to one request, as far as it has come.
//!
//! The task that works on the request writes, and any number of callers' connections read, each at
//! its own pace: the first one, and later those that resume. A reader that is slow or silent costs
//! no more than the answer itself, which is bounded, and holds up nobody.

use crate::router::callers::ApiError;
use crate::router::lock;
use sesamegap_upstream::Reply;
use sesamegap_wire::{ModelId, RequestId, TeamId, Tokens};
use smol_str::SmolStr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How an answer is laid out for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// As chat messages.
    Chat,
    /// As plain text.
    Text,
    /// As a plain service's whole reply.
    Service,
}

/// How an answer ended.
#[derive(Debug, Clone)]
pub enum End {
    /// The answer is whole.
    Whole,
    /// A plain service's reply.
    Reply(Reply),
    /// No whole answer will come.
    Failed(ApiError),
}

/// What stays the same over an answer's life.
#[derive(Debug, Clone)]
pub struct Head {
    /// The request.
    pub request: RequestId,
    /// The team that asked, which alone may read it.
    pub team: TeamId,
    /// Layout for the caller.
    pub shape: Shape,
    /// Model that answers, for model requests.
    pub model: Option<ModelId>,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// When the request came, in seconds since the Unix epoch.
    pub created: u64,
}

/// An answer in the making or finished.
#[derive(Debug)]
pub struct Answer {
    /// What stays the same.
    pub head: Head,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    cached: Option<Tokens>,
    tokens: Vec<SmolStr>,
    bytes: usize,
    end: Option<End>,
    ended: Option<Instant>,
    cancelled: bool,
    readers: usize,
}

/// The next thing a reader gets.
#[derive(Debug)]
pub enum Item {
    /// An engine took the request.
    Started,
    /// Tokens that follow on those already read, and the place of the last one.
    Text(String, u64),
    /// The end.
    End(End),
}

impl Answer {
    /// Opens an answer of which nothing has come.
    pub fn open(head: Head) -> Arc<Self> {
        Arc::new(Self {
            head,
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        })
    }

    /// Notes that an engine took the request; `true` for the first, whose count counts.
    pub fn started(&self, cached: Tokens) -> bool {
        let first = {
            let mut state = lock(&self.state);
            let first = state.cached.is_none();
            state.cached.get_or_insert(cached);
            first
        };
        self.notify();
        first
    }

    /// Adds a token and gives the bytes held so far.
    pub fn push(&self, text: SmolStr) -> usize {
        let bytes = {
            let mut state = lock(&self.state);
            state.bytes += text.len();
            state.tokens.push(text);
            state.bytes
        };
        self.notify();
        bytes
    }

    /// Ends the answer; only the first end counts.
    pub fn finish(&self, end: End) {
        {
            let mut state = lock(&self.state);
            if state.end.is_some() {
                return;
            }
            if let End::Reply(reply) = &end {
                state.bytes = reply.body.len();
            }
            state.end = Some(end);
            state.ended = Some(Instant::now());
        }
        self.notify();
    }

    /// Asks the working task to stop, on the caller's wish.
    pub fn cancel(&self) {
        lock(&self.state).cancelled = true;
        self.notify();
    }

    /// Text so far, with which another engine can go on.
    pub fn text(&self) -> String {
        lock(&self.state).tokens.concat()
    }

    /// Bytes held.
    pub fn bytes(&self) -> usize {
        lock(&self.state).bytes
    }

    /// How the answer ended, if it has.
    pub fn end(&self) -> Option<End> {
        lock(&self.state).end.clone()
    }

    /// When the answer ended, if it has.
    pub fn ended(&self) -> Option<Instant> {
        lock(&self.state).ended
    }

    /// Prompt tokens found cached, and tokens answered.
    pub fn usage(&self) -> (Tokens, u64) {
        let state = lock(&self.state);
        (state.cached.unwrap_or_default(), state.tokens.len() as u64)
    }

    /// Opens a reader at a place in the answer.
    pub fn read(self: &Arc<Self>, from: u64) -> Reader {
        lock(&self.state).readers += 1;
        Reader {
            rx: self.changed.subscribe(),
            answer: Arc::clone(self),
            next: usize::try_from(from).unwrap_or(usize::MAX),
            begun: from > 0,
        }
    }

    /// Resolves when the caller cancelled, or nobody has read for `linger`.
    pub async fn abandoned(&self, linger: Duration) {
        let mut rx = self.changed.subscribe();
        loop {
            rx.mark_unchanged();
            let (cancelled, readers) = {
                let state = lock(&self.state);
                (state.cancelled, state.readers)
            };
            if cancelled {
                return;
            }
            let alone = tokio::time::sleep(linger);
            tokio::select! {
                changed = rx.changed() => if changed.is_err() { return },
                () = alone, if readers == 0 => if lock(&self.state).readers == 0 { return },
            }
        }
    }

    fn notify(&self) {
        self.changed.send_modify(|version| *version += 1);
    }
}

/// One connection's place in an answer; dropping it tells that nobody reads there any longer.
#[derive(Debug)]
pub struct Reader {
    answer: Arc<Answer>,
    rx: watch::Receiver<u64>,
    next: usize,
    begun: bool,
}

impl Reader {
    /// The answer that is read.
    pub fn answer(&self) -> &Arc<Answer> {
        &self.answer
    }

    /// Waits for what comes next.
    pub async fn next(&mut self) -> Item {
        loop {
            self.rx.mark_unchanged();
            if let Some(item) = self.poll() {
                return item;
            }
            // The sender lives in the answer, which this reader holds.
            drop(self.rx.changed().await);
        }
    }

    fn poll(&mut self) -> Option<Item> {
        let state = lock(&self.answer.state);
        if self.next < state.tokens.len() {
            self.begun = true;
            let text = state.tokens[self.next..].concat();
            self.next = state.tokens.len();
            return Some(Item::Text(text, self.next as u64 - 1));
        }
        if let Some(end) = &state.end {
            return Some(Item::End(end.clone()));
        }
        if !self.begun && state.cached.is_some() {
            self.begun = true;
            return Some(Item::Started);
        }
        None
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        lock(&self.answer.state).readers -= 1;
        self.answer.notify();
    }
}
