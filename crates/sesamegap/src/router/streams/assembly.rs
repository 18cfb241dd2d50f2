//! Puts an answer together from the chunks that an engine sends.
//!
//! This is a state machine without I/O. Chunks may be doubled, dropped or reordered on the way, and
//! a stream may be taken up again on another connection or another engine; whatever comes, the
//! text is passed on once and in order, or the machine says what to ask for again.

use sesamegap_wire::engine::Chunk;
use sesamegap_wire::{Seq, Tokens};
use smol_str::SmolStr;

/// What a chunk means for the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Nothing new.
    Nothing,
    /// The engine took the request and found so many tokens cached.
    Started(Tokens),
    /// The next token of the answer.
    Text(SmolStr),
    /// Chunks are missing: the stream must be taken up again from [`Assembly::next`].
    Gap,
    /// The answer is whole.
    Whole,
}

/// How far an answer has come.
#[derive(Debug, Default)]
pub struct Assembly {
    next: u64,
    whole: bool,
}

impl Assembly {
    /// Place of the first token not yet received.
    pub fn next(&self) -> Seq {
        Seq(self.next)
    }

    /// Whether every token came.
    pub fn is_whole(&self) -> bool {
        self.whole
    }

    /// Takes in one chunk.
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

    /// Believes an end only if it counts what was received, so that a lost tail is no clean end.
    fn end(&mut self, count: Seq) -> Step {
        if count.0 != self.next {
            return Step::Gap;
        }
        self.whole = true;
        Step::Whole
    }
}
