//! Which settings the processes have, with default, bounds and meaning.
//!
//! The defaults of [`Timing`](super::Timing) and [`Bounds`](super::Bounds) come from these tables.

use sesamegap_settings::schema::{Field, Shape, field, optional, required};

/// A shared secret shorter than this could be guessed by trying.
const MIN_SECRET: usize = 16;

/// Longest secret or key; it travels in a header of each request.
const MAX_SECRET: usize = 256;

const DAY: u64 = 86_400_000;

/// Settings of a router, locator or controller, beside `timing` and `bounds`.
pub const PROCESS: &[Field] = &[
    required("vm", Shape::Name, "name of the VM"),
    required("domain", Shape::Name, "failure domain of the VM"),
    required("listen", Shape::Socket, "address to listen on"),
    optional(
        "advertise",
        Shape::Socket,
        "address told to others; left out, it is `listen`",
    ),
    required("log", Shape::Server, "the platform's log"),
    required("vms", Shape::Server, "the platform's VM list"),
    required("weights", Shape::Server, "the platform's weight store"),
    required(
        "secret",
        Shape::Text(MIN_SECRET, MAX_SECRET),
        "secret shared by the system's own processes",
    ),
    required("operator", Shape::Hash, "BLAKE3 hash of the operators' key"),
    field(
        "json_logs",
        Shape::Flag,
        "false",
        "whether logs are JSON lines instead of text",
    ),
];

/// Spans of time of a router, locator or controller, under `timing`.
pub const TIMING: &[Field] = &[
    field(
        "list",
        Shape::Span(10, 60_000),
        "\"500ms\"",
        "between two reads of the VM list",
    ),
    field(
        "report",
        Shape::Span(5, 60_000),
        "\"250ms\"",
        "between two load reports read from one engine",
    ),
    field(
        "gossip",
        Shape::Span(10, 60_000),
        "\"500ms\"",
        "between two rounds of probes and digests to peers",
    ),
    field(
        "silence",
        Shape::Span(20, 60_000),
        "\"400ms\"",
        "without a chunk or heartbeat for so long, a connection is mute",
    ),
    field(
        "connect",
        Shape::Span(5, 60_000),
        "\"250ms\"",
        "to open a connection",
    ),
    field(
        "age",
        Shape::Span(100, DAY),
        "\"1m\"",
        "after so long a pooled connection is not used again",
    ),
    field(
        "address",
        Shape::Span(50, 3_600_000),
        "\"2s\"",
        "callers may keep the locator's answer so long",
    ),
    field(
        "keep",
        Shape::Span(100, DAY),
        "\"2m\"",
        "a finished answer is kept so long for its caller",
    ),
    field(
        "log",
        Shape::Span(20, 60_000),
        "\"2s\"",
        "for one call to the log",
    ),
    field(
        "lease",
        Shape::Span(50, 3_600_000),
        "\"5s\"",
        "length of the controller's lease",
    ),
    field(
        "stop",
        Shape::Span(50, DAY),
        "\"1m\"",
        "longest wait for requests in flight at a planned stop",
    ),
    field(
        "retention",
        Shape::Span(100, 365 * DAY),
        "\"1h\"",
        "the log keeps records at least so long",
    ),
];

/// Bounds of a router, locator or controller, under `bounds`.
pub const BOUNDS: &[Field] = &[
    field(
        "body",
        Shape::Size(1024, 1 << 30),
        "\"8MiB\"",
        "largest request body; a larger one gets 413",
    ),
    field(
        "receive",
        Shape::Span(50, 3_600_000),
        "\"10s\"",
        "a caller must have sent its request by then, else 408",
    ),
    field(
        "flights",
        Shape::Whole(1, 1_000_000, "requests"),
        "4096",
        "requests in flight in one router; one more gets 503",
    ),
    field(
        "ring",
        Shape::Whole(16, 1 << 20, "messages"),
        "8192",
        "messages in the ring before the decider; one more is overload",
    ),
    field(
        "answer",
        Shape::Size(1024, 1 << 30),
        "\"1MiB\"",
        "one answer kept for resumption; of a longer one the head goes",
    ),
    field(
        "kept",
        Shape::Size(1024, 1 << 40),
        "\"64MiB\"",
        "all kept answers; the oldest finished one goes first",
    ),
    field(
        "connections",
        Shape::Whole(1, 1_000_000, "connections"),
        "8192",
        "callers' connections at once; one more waits to be accepted",
    ),
];

/// Settings of `sesamegap-ctl`.
pub const CTL: &[Field] = &[
    field(
        "routers",
        Shape::Servers,
        "[]",
        "routers to speak to, tried in turn",
    ),
    field(
        "locators",
        Shape::Servers,
        "[]",
        "locators to ask for callers' addresses",
    ),
    optional("key", Shape::Text(1, MAX_SECRET), "the operators' key"),
    field(
        "by",
        Shape::Text(1, 64),
        "\"operator\"",
        "name under which changes are published",
    ),
    field(
        "call",
        Shape::Span(50, 600_000),
        "\"10s\"",
        "for one call to a router",
    ),
    field(
        "patience",
        Shape::Span(0, DAY),
        "\"1m\"",
        "for how long a publication with an unknown outcome is repeated",
    ),
];

/// Settings of `sesamegap-standin`.
pub const STANDIN: &[Field] = &[
    required(
        "listen",
        Shape::Socket,
        "address of the stand-ins' own control",
    ),
    required("operator", Shape::Hash, "BLAKE3 hash of the operators' key"),
    required(
        "secret",
        Shape::Text(MIN_SECRET, MAX_SECRET),
        "secret shared by the system's own processes",
    ),
    required(
        "site",
        Shape::Text(1, 4096),
        "file with the site's machines and delays",
    ),
    field(
        "json_logs",
        Shape::Flag,
        "false",
        "whether logs are JSON lines instead of text",
    ),
];
