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

use std::time::Duration;

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

/// Longest time for which a message to all peers may occupy the sender's link if it is sent to each of them.
const MAX_DIRECT_TIME: Duration = Duration::from_millis(25);

/// Longest such time if it is sent to one peer of each group.
const MAX_RELAY_TIME: Duration = Duration::from_millis(150);

/// Part of the link that a long message uses; datagrams over the link's bandwidth are dropped.
const LINK_SHARE: f64 = 0.5;

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

/// How a message reaches all peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// The sender sends it to each peer.
    Direct,
    /// The sender sends it to one peer of each group, which relays it.
    Relays,
    /// The sender sends each datagram to one peer, which sends it to one peer of each group.
    Delegates,
}

impl Path {
    /// Chooses the path of a message of this many bytes in all its datagrams, by the time for which it occupies the sender's
    /// link.
    ///
    /// When half of 143 upstreams change between two readings, the changes take 9 kB, and 83 copies of them 0.6 s on a link of
    /// 10 Mbit/s, whose queue drops the last ones; in a fleet of 985 VMs and 9,997 upstreams it is 0.6 MB, and one copy for each
    /// group of relays takes seconds as well.
    pub fn choose(peers: usize, bytes: usize, link_mbps: f64) -> Self {
        let groups = peers.isqrt().max(1);
        if peers <= MAX_DIRECT && link_time(peers * bytes, link_mbps) <= MAX_DIRECT_TIME {
            Self::Direct
        } else if link_time(groups * bytes, link_mbps) <= MAX_RELAY_TIME {
            Self::Relays
        } else {
            Self::Delegates
        }
    }
}

/// Pause after sending this many bytes of a long message.
pub fn pace(bytes: usize, link_mbps: f64) -> Duration {
    link_time(bytes, link_mbps * LINK_SHARE)
}

/// Time that a link needs for this many bytes.
fn link_time(bytes: usize, link_mbps: f64) -> Duration {
    let seconds = bytes as f64 * 8.0 / (link_mbps * 1e6);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Divides peers into groups for relays, however few they are; `capacity` is as in [`relay_groups`].
pub fn relayed_groups<T>(peers: &[T], capacity: usize) -> impl Iterator<Item = &[T]> {
    peers.chunks(peers.len().isqrt().min(capacity + 1).max(1))
}

/// Divides peers into groups, in each of which the first peer relays an event to the others; `capacity` is the number
/// of addresses that fit into a datagram beside the event.
///
/// Up to [`MAX_DIRECT`] peers are groups of their own. Of more peers, each VM sends about as many datagrams as any relay.
pub fn relay_groups<T>(peers: &[T], capacity: usize) -> impl Iterator<Item = &[T]> {
    let capacity = if peers.len() <= MAX_DIRECT {
        0
    } else {
        capacity
    };
    relayed_groups(peers, capacity)
}
