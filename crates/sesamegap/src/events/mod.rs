//! The numbered log events.
//!
//! A number never changes its meaning, so that an operator's alert on one keeps working; a text
//! may. `docs/events.md` lists them all and a test compares it with [`ALL`].

/// One kind of log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Its number, logged as the field `event`.
    pub number: u16,
    /// What it tells.
    pub meaning: &'static str,
}

macro_rules! events {
    ($($name:ident = $number:literal, $meaning:literal;)*) => {
        $(
            #[doc = $meaning]
            pub const $name: Event = Event { number: $number, meaning: $meaning };
        )*

        /// All events, rising by number.
        pub const ALL: &[Event] = &[$($name),*];
    };
}

events! {
    ROUTER_STARTED = 100, "A router serves callers.";
    ROUTER_LEAVING = 101, "A router is told to stop and still serves for the address time to live.";
    ROUTER_REFUSING = 102, "A stopping router refuses new requests and names other addresses.";
    ROUTER_STOPPED = 103, "A router has ended its last request and stops.";
    ROUTER_CUT = 104, "A stopping router gave up waiting for requests in flight.";
    CALLER_UNREAD = 105, "A caller's connection was closed with bytes unread; what it had sent gets no answer.";
    CALLER_GONE = 106, "A caller's connection broke, or the caller closed it under a request.";
    ACCEPT_FAILED = 107, "A caller's connection could not be accepted, mostly for want of descriptors.";
    DECIDER_PANICKED = 110, "The decider thread panicked; the router must be restarted.";
    RING_FULL = 111, "The ring before the decider was full and news was dropped.";
    END_LOST = 112, "The end of a request could not be told to the decider.";
    LIST_FAILED = 120, "The VM list could not be read; the last one stays in use.";
    LIST_CHANGED = 121, "The VM list names other upstreams or entry VMs than before.";
    ENGINE_LEAVING = 122, "An engine said itself that it is leaving.";
    LIST_BACK = 123, "The VM list can be read again.";
    ENGINE_FAILED = 124, "An attempt failed at an engine; nothing goes there until it reports again.";
    ENGINE_MUTE = 130, "An engine's stream went silent and is taken up on a new connection.";
    STREAM_GAP = 131, "Chunks of an answer were missing and are asked for again.";
    STREAM_CROSSED = 132, "An answer named another request and was discarded.";
    STREAM_MOVED = 133, "A repeatable request goes on at another engine.";
    STREAM_FAILED = 134, "An answer could not be finished and ended with an error event.";
    STREAM_REFUSED = 135, "No engine was chosen for a further attempt, or none at all can be; the line has what decided it.";
    LOG_LOST = 140, "The log cannot be read; settings come from peers meanwhile.";
    LOG_BACK = 141, "The log can be read again.";
    LOG_EXPIRED = 142, "Records were dropped by retention before they were read.";
    SETTINGS_IN_FORCE = 143, "Another revision of the settings is in force.";
    SETTINGS_FROM_PEER = 144, "Newer settings were taken over from a peer.";
    SNAPSHOT_APPENDED = 145, "A snapshot of the settings was appended.";
    SNAPSHOT_REFUSED = 146, "A snapshot does not match its hash or is not valid, and was not taken over.";
    CLAIM_LOST = 150, "The answer to an append of claims was lost.";
    CLAIM_RELEASED = 151, "A claim that was never dispatched is released.";
    WARM_START = 160, "Knowledge of caches and heat was taken over from a peer.";
    PEER_REFUSED = 161, "A message without the shared secret was refused.";
    LEASE_HELD = 170, "A controller holds the lease and gives orders from now on.";
    LEASE_LOST = 171, "A controller lost the lease and gives no orders any longer.";
    ORDER_GIVEN = 172, "A controller gave an order to an engine; its outcome is logged with it.";
    ORDER_FENCED = 173, "An engine refused an order since one with a higher fencing number came before.";
}
