//! Which settings a site has, with default, bounds and meaning.

use sesamegap_settings::schema::{Field, Shape, field};

/// Longest delay or pace in milliseconds; a longer one is a mistyped number.
const MAX_MS: f64 = 60_000.0;

const MAX_MACHINES: u64 = 1000;

/// Settings under `site`, beside the `tree` that is published to the routers.
pub const SITE: &[Field] = &[
    field(
        "domains",
        Shape::Names,
        "[\"domain-1\", \"domain-2\", \"domain-3\"]",
        "failure domains, to which machines are dealt out in turn",
    ),
    field(
        "routers",
        Shape::Whole(1, MAX_MACHINES, "VMs"),
        "3",
        "entry VMs",
    ),
    field(
        "engines",
        Shape::Whole(1, MAX_MACHINES, "VMs"),
        "3",
        "model engines",
    ),
    field(
        "workers",
        Shape::Whole(0, MAX_MACHINES, "VMs"),
        "3",
        "workers of each plain service",
    ),
    field(
        "store",
        Shape::Flag,
        "true",
        "whether there is a kept-KV store",
    ),
    field(
        "between_ms",
        Shape::Real(0.0, MAX_MS, "ms"),
        "1",
        "round trip between two failure domains",
    ),
    field(
        "clients_ms",
        Shape::Real(0.0, MAX_MS, "ms"),
        "1",
        "round trip to clients",
    ),
    field(
        "load",
        Shape::Span(1, 3_600_000),
        "\"400ms\"",
        "to load weights, while no more than two engines do",
    ),
    field(
        "lag",
        Shape::Span(0, 3_600_000),
        "\"2s\"",
        "by which the VM list lags",
    ),
    field(
        "retention",
        Shape::Span(100, 31_536_000_000),
        "\"1h\"",
        "for which the log keeps a record",
    ),
    field(
        "appends",
        Shape::Whole(1, 1_000_000, "appends/s"),
        "400",
        "appends that the log takes",
    ),
    field(
        "slots",
        Shape::Whole(1, 10_000, "requests"),
        "16",
        "requests that an engine answers at once",
    ),
    field(
        "queue",
        Shape::Whole(0, 100_000, "requests"),
        "64",
        "requests that wait in an engine",
    ),
    field(
        "capacity",
        Shape::Whole(1, 10_000_000, "blocks"),
        "128",
        "blocks that an engine's cache holds",
    ),
    field(
        "prefill_ms",
        Shape::Real(0.0, MAX_MS, "ms"),
        "5",
        "to compute 1,000 prompt tokens",
    ),
    field(
        "import_ms",
        Shape::Real(0.0, MAX_MS, "ms"),
        "3",
        "to import one block",
    ),
    field(
        "decode_ms",
        Shape::Real(0.0, MAX_MS, "ms"),
        "2",
        "between two tokens of an answer",
    ),
];
