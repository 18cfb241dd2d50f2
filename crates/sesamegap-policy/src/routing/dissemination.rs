//! Which peers an entry VM sends its load at upstreams to in each tick, and which peers relay an event to the others.
//!
//! With 84 VMs sending prompts to 140 engines, each VM sees one in eighty of them and may take busy engines for
//! idle. A prompt that is prefilled while another answer is decoded stalls that answer for half a second. When
//! each change was sent to only a few peers, as suffices for nine VMs, a VM knew one in five prompts of the
//! others, and a third of the long answers were late for that reason alone.
//!
//! So the start of a prompt is sent to all peers at once, and everything else to some peers in rotation. The
//! send rate is bounded regardless of the number of VMs; beyond the bound, all updates go out in rotation.
//!
//! With 985 VMs a rotation takes most of a minute, and requests last for a second: peers would count load that has long
//! ended. So a fleet of more than [`MAX_ROTATION`] VMs does not exchange loads. Owners of shards know the prompts of their
//! engines, and plain workers report their own load.
//!
//! Events that all VMs need, such as changes of the fleet list, reach more than [`MAX_DIRECT`] VMs in two hops
//! ([`relay_groups`]): one VM that sent to all others itself would need its link and processor for tens of milliseconds
//! per event.

/// Peers notified per tick in rotation.
pub const FANOUT: usize = 8;

/// Largest number of peers to which an event is sent directly.
pub const MAX_DIRECT: usize = 256;

/// Largest number of peers that learn of a VM's load: even while it changes all the time, a rotation over more takes
/// longer than three seconds.
const MAX_ROTATION: usize = 512;

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
        if peers > MAX_ROTATION {
            return Recipients::Nobody;
        }
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

/// Divides peers into groups, in each of which the first peer relays an event to the others; `capacity` is the number
/// of addresses that fit into a datagram beside the event.
///
/// Up to [`MAX_DIRECT`] peers are groups of their own. Of more peers, each VM sends about as many datagrams as any relay.
pub fn relay_groups<T>(peers: &[T], capacity: usize) -> impl Iterator<Item = &[T]> {
    let size = if peers.len() <= MAX_DIRECT {
        1
    } else {
        peers.len().isqrt().min(capacity + 1)
    };
    peers.chunks(size.max(1))
}
