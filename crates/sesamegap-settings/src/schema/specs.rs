//! The four kinds of objects in the tree, their fields and resolved specs.

use super::reader::Row;
use super::{Field, Shape, field};
use crate::catalogue::{ClassSpec, ModelSpec, ServiceSpec, TeamSpec};
use serde_json::Value;
use sesamegap_wire::{Tokens, WeightsVersion};
use std::fmt;
use std::sync::LazyLock;

/// A kind of object in the tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A team that callers belong to.
    Team,
    /// A traffic class.
    Class,
    /// A model deployment.
    Model,
    /// A plain service.
    Service,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Team, Self::Class, Self::Model, Self::Service];

    /// Key of the kind in a group's `defaults`.
    pub fn single(self) -> &'static str {
        match self {
            Self::Team => "team",
            Self::Class => "class",
            Self::Model => "model",
            Self::Service => "service",
        }
    }

    /// Key of a group's objects of this kind.
    pub fn plural(self) -> &'static str {
        match self {
            Self::Team => "teams",
            Self::Class => "classes",
            Self::Model => "models",
            Self::Service => "services",
        }
    }

    /// The kind with this key in `defaults`.
    pub fn from_single(key: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.single() == key)
    }

    /// The kind whose objects have this key.
    pub fn from_plural(key: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.plural() == key)
    }

    /// Fields that can be set on objects of this kind.
    pub fn fields(self) -> &'static [Field] {
        match self {
            Self::Team => TEAM,
            Self::Class => CLASS,
            Self::Model => MODEL,
            Self::Service => SERVICE,
        }
    }

    /// Built-in default of each field.
    pub fn defaults(self) -> &'static [Value] {
        &BUILT_IN[self as usize]
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.single())
    }
}

static BUILT_IN: LazyLock<[Vec<Value>; 4]> =
    LazyLock::new(|| Kind::ALL.map(|kind| built_in(kind.fields())));

/// Parses the built-in default of each field.
///
/// # Panics
/// If a table holds a default that is not JSON.
pub fn built_in(fields: &[Field]) -> Vec<Value> {
    let parse = |field: &Field| match field.default {
        Some(text) => serde_json::from_str(text).expect("a default is JSON"),
        None => Value::Null,
    };
    fields.iter().map(parse).collect()
}

/// Fields of a team.
pub const TEAM: &[Field] = &[
    field(
        "key_hashes",
        Shape::Hashes,
        "[]",
        "BLAKE3 hashes of the team's keys; without one nobody can use it",
    ),
    field(
        "weight",
        Shape::Real(0.001, 1e6, "share"),
        "1",
        "share of the engines when demand exceeds them",
    ),
    field(
        "rate",
        Shape::Rate(1.0, 1e12, "tokens/s"),
        "\"unlimited\"",
        "prompt tokens a second over all routers",
    ),
    field(
        "burst",
        Shape::Whole(1, 1_000_000_000_000, "tokens"),
        "1000000",
        "prompt tokens at once above the rate",
    ),
    field(
        "class",
        Shape::Name,
        "\"standard\"",
        "class of a request that names none; must exist",
    ),
    field(
        "models",
        Shape::Names,
        "[]",
        "models the team may ask, each must exist; empty is all",
    ),
];

/// Fields of a traffic class.
pub const CLASS: &[Field] = &[
    field(
        "priority",
        Shape::Whole(0, 255, "rank"),
        "100",
        "higher goes first, refusals fall on the lowest first",
    ),
    field(
        "deadline",
        Shape::Span(10, 3_600_000),
        "\"10s\"",
        "from arrival to the first token",
    ),
    field(
        "total",
        Shape::Span(10, 86_400_000),
        "\"5m\"",
        "from arrival to the end of the answer; at least `deadline`",
    ),
    field(
        "retries",
        Shape::Whole(0, 10, "attempts"),
        "2",
        "attempts after the first, paid for by the retry budget",
    ),
    field(
        "queue",
        Shape::Whole(0, 1_000_000_000, "tokens"),
        "2000000",
        "prompt tokens waiting in one router's queue",
    ),
    field(
        "thrift",
        Shape::Real(0.0, 1000.0, "factor"),
        "1",
        "weight of a recomputed token against waiting time",
    ),
    field(
        "hedge",
        Shape::Flag,
        "false",
        "whether a second attempt may start beside a late first one",
    ),
];

/// Fields of a model deployment.
pub const MODEL: &[Field] = &[
    field(
        "version",
        Shape::Whole(0, 4_294_967_295, "version"),
        "1",
        "weights that answers must come from; may go back",
    ),
    field(
        "block",
        Shape::Whole(1, 1_000_000, "tokens"),
        "4096",
        "tokens in one cache block",
    ),
    field(
        "longest",
        Shape::Whole(1, 100_000_000, "tokens"),
        "131072",
        "longest prompt taken; at least `block`",
    ),
    field(
        "answer",
        Shape::Whole(1, 10_000_000, "tokens"),
        "4096",
        "longest answer given",
    ),
    field(
        "least",
        Shape::Whole(0, 100_000, "engines"),
        "1",
        "fewest engines that hold the model",
    ),
    field(
        "engines",
        Shape::Names,
        "[]",
        "engines the deployment may use; empty is any",
    ),
];

/// Fields of a plain service.
pub const SERVICE: &[Field] = &[
    field(
        "repeatable",
        Shape::Flag,
        "false",
        "whether a call may run twice unless it says otherwise",
    ),
    field(
        "timeout",
        Shape::Span(10, 3_600_000),
        "\"10s\"",
        "time for one whole call",
    ),
    field(
        "window",
        Shape::Whole(1, 100_000, "calls"),
        "32",
        "calls in flight to one worker",
    ),
    field(
        "body",
        Shape::Size(0, 1 << 30),
        "\"1MiB\"",
        "largest body taken",
    ),
];

impl From<&Row<'_>> for TeamSpec {
    fn from(row: &Row<'_>) -> Self {
        Self {
            key_hashes: row.list("key_hashes"),
            weight: row.real("weight"),
            rate: row.rate("rate"),
            burst: Tokens(row.integer("burst")),
            class: row.parsed("class"),
            models: row.list("models"),
        }
    }
}

impl From<&Row<'_>> for ClassSpec {
    fn from(row: &Row<'_>) -> Self {
        Self {
            priority: row.integer("priority"),
            deadline: row.span("deadline"),
            total: row.span("total"),
            retries: row.integer("retries"),
            queue: Tokens(row.integer("queue")),
            thrift: row.real("thrift"),
            hedge: row.flag("hedge"),
        }
    }
}

impl From<&Row<'_>> for ModelSpec {
    fn from(row: &Row<'_>) -> Self {
        Self {
            version: WeightsVersion(row.integer("version")),
            block: Tokens(row.integer("block")),
            longest: Tokens(row.integer("longest")),
            answer: Tokens(row.integer("answer")),
            least: row.integer("least"),
            engines: row.list("engines"),
        }
    }
}

impl From<&Row<'_>> for ServiceSpec {
    fn from(row: &Row<'_>) -> Self {
        Self {
            repeatable: row.flag("repeatable"),
            timeout: row.span("timeout"),
            window: row.integer("window"),
            body: row.size("body"),
        }
    }
}
