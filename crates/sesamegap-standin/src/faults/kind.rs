//! The names of the faults.

use std::error::Error;
use std::fmt;
use std::str::FromStr;

macro_rules! faults {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// Something that goes wrong.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Fault {
            $($(#[$doc])* $name,)*
        }

        impl Fault {
            /// All faults.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// The fault's name in paths and on command lines.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

faults! {
    /// An engine dies and comes back empty, with a new incarnation.
    EngineCrash = "engine-crash",
    /// An engine computes several times slower.
    EngineSlow = "engine-slow",
    /// An upstream's open connections go mute for good; new ones work.
    EngineSilent = "engine-silent",
    /// A cache event is numbered and never published.
    EventGap = "event-gap",
    /// An answer comes long after it was due.
    LateAnswer = "late-answer",
    /// An answer to another request arrives.
    CrossedAnswer = "crossed-answer",
    /// A token of an answer arrives twice.
    ChunkDouble = "chunk-double",
    /// A token of an answer never arrives.
    ChunkDrop = "chunk-drop",
    /// Two tokens of an answer arrive in the wrong order.
    ChunkSwap = "chunk-swap",
    /// An answer's connection breaks before a certain token.
    StreamCut = "stream-cut",
    /// A worker of a plain service runs a call, and its reply is lost.
    ReplyLost = "reply-lost",
    /// The log cannot be reached.
    LogDown = "log-down",
    /// The log answers late.
    LogSlow = "log-slow",
    /// The log takes an append, and its answer is lost.
    LogLostAnswer = "log-lost-answer",
    /// A VM is about to go, by the list and by its own answers.
    VmLeaving = "vm-leaving",
    /// A router restarts.
    RouterRestart = "router-restart",
    /// All routers restart at once.
    RoutersRestart = "routers-restart",
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Fault {
    type Err = FaultError;

    fn from_str(text: &str) -> Result<Self, FaultError> {
        let found = Self::ALL.iter().find(|fault| fault.name() == text);
        found.copied().ok_or_else(|| {
            let names: Vec<_> = Self::ALL.iter().map(|fault| fault.name()).collect();
            FaultError::new(format!("unknown fault, allowed are {}", names.join(", ")))
        })
    }
}

/// A fault that cannot be brought about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultError(String);

impl FaultError {
    /// Records why not.
    pub fn new(why: impl Into<String>) -> Self {
        Self(why.into())
    }
}

impl fmt::Display for FaultError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Error for FaultError {}
