//! Which peers an entry VM sends its load at upstreams to in each tick.
//!
//! With 84 VMs sending prompts to 140 engines, each VM sees one in eighty of them and may take busy engines for
//! idle. A prompt that is prefilled while another answer is decoded stalls that answer for half a second. When
//! each change was sent to only a few peers, as suffices for nine VMs, a VM knew one in five prompts of the
//! others, and a third of the long answers were late for that reason alone.
//!
//! So the start of a prompt is sent to all peers at once, and everything else to some peers in rotation. The
//! send rate is bounded regardless of the number of VMs; beyond the bound, all updates go out in rotation.

/// Peers notified per tick in rotation.
pub const FANOUT: usize = 8;

/// Ticks after which an unchanged load is sent again, so that a lost datagram does no lasting harm.
const REPEAT: u32 = 8;

/// Broadcast datagrams that each tick adds to the allowance: 400 a second, enough to announce three long
/// prompts and two short ones to 83 peers.
const REFILL: usize = 20;

/// Maximum accumulated allowance: one second's worth.
const MAX_ALLOWANCE: usize = 400;

/// Total load of a VM at all upstreams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sum {
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens that are not prefilled yet.
    pub unread: u64,
}

/// Recipients of a load update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recipients {
    /// No peer.
    Nobody,
    /// The next peers in rotation.
    Rotation,
    /// All peers.
    All,
}

/// State that decides which peers are notified.
#[derive(Debug, Default)]
pub struct RecipientSelector {
    last: Sum,
    unchanged: u32,
    allowance: usize,
}

impl RecipientSelector {
    /// Picks the recipients for one tick; `changed` says whether the load changed since the last tick.
    pub fn tick(&mut self, now: Sum, changed: bool, peers: usize) -> Recipients {
        self.allowance = (self.allowance + REFILL).min(MAX_ALLOWANCE);
        let begun = now.unread > self.last.unread;
        self.last = now;
        self.unchanged = if changed { 0 } else { self.unchanged + 1 };
        if begun && peers > FANOUT && self.allowance >= peers {
            self.allowance -= peers;
            return Recipients::All;
        }
        let idle = now.running == 0 && self.unchanged > REPEAT;
        if self.unchanged.is_multiple_of(REPEAT) && !idle {
            Recipients::Rotation
        } else {
            Recipients::Nobody
        }
    }
}
