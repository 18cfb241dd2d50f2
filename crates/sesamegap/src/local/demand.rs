//! What a site's callers send.
//!
//! It stands under `traffic` in the site's settings file, beside its machines and its tree.

use serde_json::{Map, Value};
use sesamegap_settings::Findings;
use sesamegap_settings::schema::reader::{complete, join, read, read_skipping};
use sesamegap_settings::schema::{Field, Row, Shape, built_in, field, required};
use sesamegap_wire::{ClassId, ModelId, ServiceId};

const DEMAND: &[Field] = &[
    required("model", Shape::Name, "model that callers ask"),
    required("service", Shape::Name, "plain service that callers use"),
    field(
        "rate",
        Shape::Real(0.1, 10_000.0, "requests/s"),
        "50",
        "requests in all",
    ),
    field(
        "saves",
        Shape::Real(0.0, 1.0, "share"),
        "0.05",
        "requests that must run at most once",
    ),
    field(
        "lookups",
        Shape::Real(0.0, 1.0, "share"),
        "0.1",
        "repeatable calls to the service",
    ),
];

const FLOW: &[Field] = &[
    field(
        "share",
        Shape::Real(0.0, 1000.0, "share"),
        "1",
        "of the model requests",
    ),
    field(
        "dossiers",
        Shape::Whole(1, 100_000, "dossiers"),
        "10",
        "second levels of each team",
    ),
    field(
        "forms",
        Shape::Whole(1, 100_000, "forms"),
        "5",
        "third levels of each dossier",
    ),
    field(
        "preamble",
        Shape::Whole(1, 100, "blocks"),
        "1",
        "length of the first level",
    ),
    field(
        "dossier",
        Shape::Whole(1, 100, "blocks"),
        "4",
        "length of the second level",
    ),
    field(
        "form",
        Shape::Whole(0, 100, "blocks"),
        "1",
        "length of the third level",
    ),
    field(
        "answer",
        Shape::Whole(1, 4096, "tokens"),
        "16",
        "tokens of the answer",
    ),
];

/// A site's traffic.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Model that callers ask.
    pub model: ModelId,
    /// Plain service that callers use.
    pub service: ServiceId,
    /// Requests a second in all.
    pub rate: f64,
    /// Share of requests that must run at most once.
    pub saves: f64,
    /// Share of repeatable calls to the service.
    pub lookups: f64,
    /// What callers send by traffic class.
    pub flows: Vec<Flow>,
}

/// The model requests of one traffic class.
#[derive(Debug, Clone)]
pub struct Flow {
    /// The class.
    pub class: ClassId,
    /// Weight among the classes.
    pub share: f64,
    /// Second levels of each team.
    pub dossiers: u32,
    /// Third levels of each dossier.
    pub forms: u32,
    /// Blocks of each level.
    pub blocks: [usize; 3],
    /// Tokens of the answer.
    pub answer: u64,
}

impl Demand {
    /// Reads the `traffic` of a site's file, with a finding for each thing that is wrong.
    pub fn from_value(whole: &Value, findings: &mut Findings) -> Option<Self> {
        let nothing = Value::Object(Map::new());
        let value = whole.get("traffic").unwrap_or(&nothing);
        let own = read_skipping(DEMAND, &["flows"], value, "traffic", findings);
        let defaults = built_in(DEMAND);
        let row = complete(DEMAND, &own, &defaults, "traffic", findings);
        let flows = flows(value, findings);
        if !findings.is_empty() {
            return None;
        }
        Some(Self {
            model: row.parsed("model"),
            service: row.parsed("service"),
            rate: row.real("rate"),
            saves: row.real("saves"),
            lookups: row.real("lookups"),
            flows,
        })
    }
}

fn flows(demand: &Value, findings: &mut Findings) -> Vec<Flow> {
    let allowed = "an object from traffic class to its requests";
    let Some(object) = demand.get("flows").and_then(Value::as_object) else {
        findings.add("traffic/flows", "missing or not an object", allowed);
        return Vec::new();
    };
    let mut flows = Vec::new();
    for (name, value) in object {
        let path = join("traffic/flows", name);
        let own = read(FLOW, value, &path, findings);
        let defaults = built_in(FLOW);
        let row = complete(FLOW, &own, &defaults, &path, findings);
        match name.parse() {
            Ok(class) => flows.push(Flow::new(class, &row)),
            Err(_) => findings.add(&path, "not the name of a class", allowed),
        }
    }
    if flows.is_empty() {
        findings.add("traffic/flows", "empty", "at least one traffic class");
    }
    flows
}

impl Flow {
    fn new(class: ClassId, row: &Row<'_>) -> Self {
        Self {
            class,
            share: row.real("share"),
            dossiers: row.integer("dossiers"),
            forms: row.integer("forms"),
            blocks: [
                row.integer("preamble"),
                row.integer("dossier"),
                row.integer("form"),
            ],
            answer: row.integer("answer"),
        }
    }
}
