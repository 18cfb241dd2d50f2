//! How many machines a site has, how far apart they are and what its callers send.
//!
//! It stands in the site's settings file under `site`, beside the tree of settings.

use crate::config::read::text;
use serde_json::Value;
use sesamegap_settings::schema::reader::{complete, join, read, read_beside};
use sesamegap_settings::schema::{Field, Row, Shape, built_in, field, needed};
use sesamegap_settings::{Document, Findings, SettingsError};
use sesamegap_standin::Plan;
use sesamegap_standin::plan::{EngineLimits, PlatformLimits};
use sesamegap_wire::{ClassId, DomainId, ModelId, ServiceId, Tokens};
use smol_str::SmolStr;
use std::path::Path;
use std::time::Duration;

const SITE: &[Field] = &[
    needed("domains", Shape::Names, "failure domains"),
    needed("model", Shape::Name, "model that callers ask"),
    needed("service", Shape::Name, "plain service that callers use"),
    field("routers", Shape::Whole(1, 64, "VMs"), "8", "entry VMs"),
    field(
        "engines",
        Shape::Whole(1, 256, "workers"),
        "9",
        "model engines",
    ),
    field(
        "workers",
        Shape::Whole(1, 64, "workers"),
        "3",
        "workers of the plain service",
    ),
    field(
        "between",
        Shape::Whole(0, 1_000_000, "µs"),
        "1000",
        "between two failure domains",
    ),
    field(
        "client",
        Shape::Whole(0, 1_000_000, "µs"),
        "1000",
        "from a caller to its router",
    ),
    field(
        "loading",
        Shape::Span(1, 60_000),
        "\"400ms\"",
        "for an engine to load weights",
    ),
    field(
        "capacity",
        Shape::Whole(1, 1_000_000, "blocks"),
        "256",
        "blocks an engine caches",
    ),
    field(
        "prefill",
        Shape::Whole(0, 1_000_000, "ns"),
        "5000",
        "to compute one prompt token",
    ),
    field(
        "decode",
        Shape::Whole(0, 1_000_000, "µs"),
        "1000",
        "between two tokens of an answer",
    ),
    field(
        "slots",
        Shape::Whole(1, 1024, "requests"),
        "16",
        "answered at once by an engine",
    ),
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

/// A site's machines and traffic.
#[derive(Debug, Clone)]
pub struct Site {
    /// Failure domains.
    pub domains: Vec<DomainId>,
    /// Model that callers ask.
    pub model: ModelId,
    /// Plain service that callers use.
    pub service: ServiceId,
    /// Entry VMs.
    pub routers: usize,
    /// From a caller to its router.
    pub client: Duration,
    /// Requests a second in all.
    pub rate: f64,
    /// Share of requests that must run at most once.
    pub saves: f64,
    /// Share of repeatable calls to the service.
    pub lookups: f64,
    /// What callers send by traffic class.
    pub flows: Vec<Flow>,
    /// The tree of settings to publish at the start.
    pub tree: Value,
    machines: Machines,
}

#[derive(Debug, Clone)]
struct Machines {
    engines: usize,
    workers: usize,
    between: Duration,
    loading: Duration,
    limits: EngineLimits,
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

impl Site {
    /// Reads a site's settings file.
    ///
    /// # Errors
    /// With all findings and their places.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let name = file.display().to_string();
        let document = Document::parse(&name, &text(file)?)?;
        let mut findings = Findings::default();
        let site = Self::from_value(document.value(), &mut findings);
        match site {
            Some(site) if findings.is_empty() => Ok(site),
            _ => {
                document.locate(&mut findings);
                Err(SettingsError::Invalid(findings))
            }
        }
    }

    fn from_value(whole: &Value, findings: &mut Findings) -> Option<Self> {
        let nothing = Value::Null;
        let value = whole.get("site").unwrap_or(&nothing);
        let own = read_beside(SITE, &["flows"], value, "site", findings);
        let defaults = built_in(SITE);
        let row = complete(SITE, &own, &defaults, "site", findings);
        let flows = flows(value, findings);
        if !findings.is_empty() {
            return None;
        }
        Some(Self {
            domains: row.list("domains"),
            model: row.parsed("model"),
            service: row.parsed("service"),
            routers: row.whole("routers"),
            client: Duration::from_micros(row.whole("client")),
            rate: row.real("rate"),
            saves: row.real("saves"),
            lookups: row.real("lookups"),
            flows,
            tree: whole.get("tree").cloned().unwrap_or(Value::Null),
            machines: Machines::from(&row),
        })
    }

    /// The stand-ins of the site.
    pub fn plan(&self, operator: SmolStr) -> Plan {
        let machines = &self.machines;
        let platform = PlatformLimits {
            load: machines.loading,
            ..PlatformLimits::default()
        };
        Plan::builder()
            .domains(self.domains.clone())
            .engines(machines.engines)
            .model(self.model.clone(), &[1, 2])
            .workers(self.service.clone(), machines.workers)
            .store()
            .block(Tokens(4096))
            .between(machines.between)
            .engine(machines.limits.clone())
            .platform(platform)
            .operator(operator)
            .build()
    }
}

impl From<&Row<'_>> for Machines {
    fn from(row: &Row<'_>) -> Self {
        let limits = EngineLimits {
            slots: row.whole("slots"),
            capacity: row.whole("capacity"),
            prefill: Duration::from_nanos(row.whole("prefill")),
            decode: Duration::from_micros(row.whole("decode")),
            ..EngineLimits::default()
        };
        Self {
            engines: row.whole("engines"),
            workers: row.whole("workers"),
            between: Duration::from_micros(row.whole("between")),
            loading: row.span("loading"),
            limits,
        }
    }
}

fn flows(site: &Value, findings: &mut Findings) -> Vec<Flow> {
    let allowed = "an object from traffic class to its requests";
    let Some(object) = site.get("flows").and_then(Value::as_object) else {
        findings.add("site/flows", "missing or not an object", allowed);
        return Vec::new();
    };
    let mut flows = Vec::new();
    for (name, value) in object {
        let path = join("site/flows", name);
        let own = read(FLOW, value, &path, findings);
        let defaults = built_in(FLOW);
        let row = complete(FLOW, &own, &defaults, &path, findings);
        match name.parse() {
            Ok(class) => flows.push(Flow::new(class, &row)),
            Err(_) => findings.add(&path, "not the name of a class", allowed),
        }
    }
    if flows.is_empty() {
        findings.add("site/flows", "empty", "at least one traffic class");
    }
    flows
}

impl Flow {
    fn new(class: ClassId, row: &Row<'_>) -> Self {
        Self {
            class,
            share: row.real("share"),
            dossiers: row.whole("dossiers"),
            forms: row.whole("forms"),
            blocks: [
                row.whole("preamble"),
                row.whole("dossier"),
                row.whole("form"),
            ],
            answer: row.whole("answer"),
        }
    }
}
