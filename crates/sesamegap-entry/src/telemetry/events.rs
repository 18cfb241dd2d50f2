//! Event numbers of log lines, listed in `docs/events.md`.

/// A process has started and listens for callers.
pub const STARTED: u16 = 700;
/// A process was asked to stop.
pub const STOPPING: u16 = 701;
/// A process stops; its requests have ended or were cut.
pub const STOPPED: u16 = 702;
/// A process is ready for callers.
pub const READY: u16 = 703;
/// A process stops with requests still in flight, which are cut.
pub const REQUESTS_CUT: u16 = 704;
/// The settings file was read again after a change, or could not be read.
pub const RELOADED: u16 = 705;
/// A caller's connection was closed with bytes of the caller unread, which resets it.
pub const CALLER_UNREAD: u16 = 706;
/// A request was given up, or its answer cut, because the process stops.
pub const CUT: u16 = 707;
/// A document came into force.
pub const DOCUMENT: u16 = 710;
/// Weights were named.
pub const WEIGHTS: u16 = 711;
/// A record cannot be read and names nothing to use; logged once for each key and reason.
pub const UNREADABLE: u16 = 712;
/// The view of an upstream changed: by its record, a peer's report, its own answer, or time.
pub const UPSTREAM: u16 = 713;
/// A record or report on an upstream was older than what is known, and was discarded.
pub const DISCARDED: u16 = 714;
/// The store stopped answering.
pub const STORE_LOST: u16 = 720;
/// The store answers again.
pub const STORE_BACK: u16 = 721;
/// The store dropped records before they were read.
pub const COMPACTED: u16 = 722;
/// The store was restored from a copy and is on a newer timeline.
pub const RESTORED: u16 = 723;
/// A table was read again after the store was restored.
pub const REBUILT: u16 = 724;
/// An answer of the store is from an earlier timeline, or states none.
pub const OFF_TIMELINE: u16 = 725;
/// A whole table was applied, read from the store or copied from a peer.
pub const TABLE_READ: u16 = 726;
/// A VM that is no reader takes over the reading of a table.
pub const TAKEOVER: u16 = 727;
/// An update of a table shows that an earlier one, or a part of one, did not arrive.
pub const TABLE_GAP: u16 = 728;
/// The view of a peer changed, or a message from or to a peer failed.
pub const PEER: u16 = 730;
/// A kept-KV store stopped answering, or answers again.
pub const KV_STORE: u16 = 731;
/// This VM reaches no upstream any more, or reaches upstreams again.
pub const REACHABILITY: u16 = 732;
/// The status of another entry VM changed.
pub const MEMBER: u16 = 734;
/// What an answer of the locator was made from.
pub const LOCATED: u16 = 735;
/// The upstreams of a service say that they fall over when they reject too much, or say so no more.
pub const BRITTLE: u16 = 733;
/// A lease was acquired, renewed or lost.
pub const LEASE: u16 = 740;
/// An engine was ordered to load weights.
pub const ORDER: u16 = 741;
/// A request was refused before it was placed.
pub const REFUSED: u16 = 750;
/// A request was sent to an upstream.
pub const PLACED: u16 = 751;
/// An attempt at an upstream failed, or another upstream is asked beside one that is silent; `why` tells which.
pub const ATTEMPT: u16 = 752;
/// A request ended; `end` tells what showed that its answer was whole.
pub const ENDED: u16 = 753;
/// A caller disconnected before its answer ended.
pub const CALLER_LEFT: u16 = 754;
/// A connection could not be accepted, failed, or was closed at a time limit.
pub const CALLER_CONNECTION: u16 = 755;
/// A connection to an upstream broke during a request; the line says whether its process is gone.
pub const UPSTREAM_CONNECTION: u16 = 756;
/// The quarantine state of a request or prompt part changed: it is a suspect, quarantined, or clear again.
pub const QUARANTINE: u16 = 757;
/// A request that had crashed upstreams was admitted, on trial or freely, or refused.
pub const ADMISSION: u16 = 758;
/// A request was sent on for a peer that reaches no upstream, or a peer declined to send one on.
pub const GATEWAY: u16 = 759;
/// A request was refused for its team's rate limit.
pub const QUOTA_REFUSED: u16 = 760;
/// This VM began or ceased to hold most rights to a shard of the rate limits.
pub const QUOTA_RIGHTS: u16 = 761;
/// A caller takes a stream up again; the line says which software version began it, how that was found, or why it is not.
pub const RESUMED: u16 = 762;
/// A retry was charged to the retry budget of all entry VMs, or the budget did not allow it.
pub const RETRY: u16 = 763;
/// What is known of an upstream's limit on requests changed, or an answer names one that cannot be read.
pub const UPSTREAM_LIMIT: u16 = 764;
/// A request was not sent to an upstream, which takes no more for now.
pub const LIMITED: u16 = 765;
/// A peer answered with a large message; the line says to which call, its size and the time that it took.
pub const LARGE_REPLY: u16 = 766;
/// Software versions or records of streams were written to or read from the store, for VMs that find no other that knows.
pub const STREAM_LOG: u16 = 769;
/// A prompt was refused, or waits, because the engines have no room for it.
pub const PUT_OFF: u16 = 770;
/// An answer that could not be passed on yet gave way to others, as too much memory was held.
pub const GAVE_WAY: u16 = 771;
/// A newer document that is fetched from peers by its parts has not arrived yet, or its parts do not fit together.
pub const FETCH: u16 = 767;
/// An engine counts as slower or faster than usual, or as usual again.
pub const ENGINE_SPEED: u16 = 768;
