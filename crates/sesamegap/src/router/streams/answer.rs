//! The answer to one request, as far as it has been received.
//!
//! The task that works on the request writes it. Any number of caller connections read it, each at
//! its own pace: the first one and later ones that resume. A slow or idle reader costs no more
//! memory than the answer itself, which is bounded, and blocks nobody.

use crate::router::callers::ApiError;
use crate::router::lock;
use sesamegap_upstream::Reply;
use sesamegap_wire::{ModelId, RequestId, TeamId, Tokens};
use smol_str::SmolStr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Format of an answer for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// Chat messages.
    Chat,
    /// Plain text.
    Text,
    /// A plain service's complete reply.
    Service,
}

/// How an answer ended.
#[derive(Debug, Clone)]
pub enum End {
    /// The answer is complete.
    Whole,
    /// A plain service's reply.
    Reply(Reply),
    /// The answer failed and will not be completed.
    Failed(ApiError),
}

/// The immutable properties of an answer.
#[derive(Debug, Clone)]
pub struct Head {
    /// The request.
    pub request: RequestId,
    /// The requesting team, the only one that may read the answer.
    pub team: TeamId,
    /// Format for the caller.
    pub shape: Shape,
    /// The model, for model requests.
    pub model: Option<ModelId>,
    /// Number of prompt tokens.
    pub prompt: Tokens,
    /// Arrival time of the request, in seconds since the Unix epoch.
    pub created: u64,
}

/// A running or finished answer.
#[derive(Debug)]
pub struct Answer {
    /// Immutable properties.
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

/// An item returned to a reader.
#[derive(Debug)]
pub enum Item {
    /// An engine accepted the request.
    Started,
    /// The text of the next tokens, and the sequence number of the last one.
    Text(String, u64),
    /// The end.
    End(End),
}

impl Answer {
    /// Creates an empty answer.
    pub fn open(head: Head) -> Arc<Self> {
        Arc::new(Self {
            head,
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        })
    }

    /// Records that an engine accepted the request. Returns `true` for the first one, whose count
    /// of cached tokens is the one kept.
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

    /// Appends a token and returns the bytes held so far.
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

    /// Ends the answer. Calls after the first have no effect.
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

    /// Tells the task that works on the request to stop because the caller cancelled it.
    pub fn cancel(&self) {
        lock(&self.state).cancelled = true;
        self.notify();
    }

    /// Text received so far, from which another engine can continue.
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

    /// Returns the numbers of cached prompt tokens and of answer tokens.
    pub fn usage(&self) -> (Tokens, u64) {
        let state = lock(&self.state);
        (state.cached.unwrap_or_default(), state.tokens.len() as u64)
    }

    /// Opens a reader that starts at token `from`.
    pub fn read(self: &Arc<Self>, from: u64) -> Reader {
        lock(&self.state).readers += 1;
        Reader {
            rx: self.changed.subscribe(),
            answer: Arc::clone(self),
            next: usize::try_from(from).unwrap_or(usize::MAX),
            begun: from > 0,
        }
    }

    /// Resolves when the caller has cancelled, or when there has been no reader for `linger`.
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
            let idle = tokio::time::sleep(linger);
            tokio::select! {
                changed = rx.changed() => if changed.is_err() { return },
                () = idle, if readers == 0 => if lock(&self.state).readers == 0 { return },
            }
        }
    }

    fn notify(&self) {
        self.changed.send_modify(|version| *version += 1);
    }
}

/// One connection's read position in an answer. Dropping it deregisters the reader.
#[derive(Debug)]
pub struct Reader {
    answer: Arc<Answer>,
    rx: watch::Receiver<u64>,
    next: usize,
    begun: bool,
}

impl Reader {
    /// The answer being read.
    pub fn answer(&self) -> &Arc<Answer> {
        &self.answer
    }

    /// Waits for the next item.
    pub async fn next(&mut self) -> Item {
        loop {
            self.rx.mark_unchanged();
            if let Some(item) = self.poll() {
                return item;
            }
            // This cannot fail: the reader holds the answer, which owns the sender.
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
