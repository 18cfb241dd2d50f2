//! Whom an entry VM tells in a tick what it has at upstreams.
//!
//! Load: 84 VMs send prompts to 140 engines, and each VM sees one in eighty of them. Harm prevented:
//! VMs that take busy engines for idle; a prompt that is read beside another's answer stalls that
//! answer for half a second. With a few peers told at each change, as suffices for nine VMs, one in five
//! prompts of the others was known, and a third of the long answers came late for that alone.
//!
//! So the begin of a prompt is told to all at once, and everything else to some peers by turns. What
//! is sent in a second is bounded however many VMs there are; beyond the bound all is told by turns.

/// Peers told in one tick when turns are taken.
pub const FANOUT: usize = 8;

/// Ticks after which an unchanged load is told again, so that a lost datagram does no lasting harm.
const REPEAT: u32 = 8;

/// Datagrams for begun prompts that each tick adds to the allowance: 400 a second, three long prompts
/// and two short ones told to 83 peers.
const GRANT: usize = 20;

/// Allowance that is kept for later at most: a second's worth.
const SAVED: usize = 400;

/// What a VM has at all upstreams together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sum {
    /// Requests.
    pub running: u32,
    /// Prompt tokens that are not read yet.
    pub unread: u64,
}

/// Who is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// Nobody.
    Nobody,
    /// Those whose turn it is.
    Turn,
    /// All peers.
    All,
}

/// What was told so far.
#[derive(Debug, Default)]
pub struct Telling {
    last: Sum,
    unchanged: u32,
    allowance: usize,
}

impl Telling {
    /// Decides for one tick; `changed` tells whether anything did since the last one.
    pub fn tick(&mut self, now: Sum, changed: bool, peers: usize) -> Audience {
        self.allowance = (self.allowance + GRANT).min(SAVED);
        let begun = now.unread > self.last.unread;
        self.last = now;
        self.unchanged = if changed { 0 } else { self.unchanged + 1 };
        if begun && peers > FANOUT && self.allowance >= peers {
            self.allowance -= peers;
            return Audience::All;
        }
        let idle = now.running == 0 && self.unchanged > REPEAT;
        if self.unchanged.is_multiple_of(REPEAT) && !idle {
            Audience::Turn
        } else {
            Audience::Nobody
        }
    }
}
