//! Assembles an answer from the chunks that an engine sends.
//!
//! This is a state machine without I/O. Chunks may be duplicated, dropped or reordered in transit,
//! and a stream may be resumed on another connection or another engine. In every case the text is
//! passed on once and in order, or the state machine reports a gap to resume from.

use sesamegap_wire::engine::Chunk;
use sesamegap_wire::{Seq, Tokens};
use smol_str::SmolStr;

/// What a chunk means for the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Nothing new.
    Nothing,
    /// The engine accepted the request and found this many prompt tokens cached.
    Started(Tokens),
    /// The next token of the answer.
    Text(SmolStr),
    /// Chunks are missing: the stream must be resumed from [`Assembly::next`].
    Gap,
    /// The answer is complete.
    Whole,
}

/// Progress of an answer.
#[derive(Debug, Default)]
pub struct Assembly {
    next: u64,
    whole: bool,
}

impl Assembly {
    /// Sequence number of the first token not yet received.
    pub fn next(&self) -> Seq {
        Seq(self.next)
    }

    /// Whether every token was received.
    pub fn is_whole(&self) -> bool {
        self.whole
    }

    /// Processes one chunk.
    pub fn feed(&mut self, chunk: Chunk) -> Step {
        if self.whole {
            return Step::Nothing;
        }
        match chunk {
            Chunk::Start { cached } => Step::Started(cached),
            Chunk::Beat => Step::Nothing,
            Chunk::Token { seq, text } => self.token(seq, text),
            Chunk::End { count } => self.end(count),
        }
    }

    fn token(&mut self, seq: Seq, text: SmolStr) -> Step {
        if seq.0 < self.next {
            return Step::Nothing;
        }
        if seq.0 > self.next {
            return Step::Gap;
        }
        self.next += 1;
        Step::Text(text)
    }

    /// Accepts an end only if its count matches the tokens received, so that a lost tail is not
    /// taken for a complete answer.
    fn end(&mut self, count: Seq) -> Step {
        if count.0 != self.next {
            return Step::Gap;
        }
        self.whole = true;
        Step::Whole
    }
}
