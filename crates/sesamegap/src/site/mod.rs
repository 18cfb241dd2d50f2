//! A site as the stand-ins bring it up: its machines, delays and speeds.
//!
//! They stand under `site` in a file whose `tree` is published to the routers and whose `traffic`
//! says what callers send. What they must agree on (models, their versions and blocks, plain services) is taken from the tree.

pub mod fields;

use crate::config::Config;
use crate::local::Demand;
use fields::SITE;
use serde_json::{Map, Value};
use sesamegap_settings::schema::reader::{complete, read as read_fields};
use sesamegap_settings::schema::{Row, built_in};
use sesamegap_settings::{Catalogue, Findings, Tree};
use sesamegap_standin::Plan;
use sesamegap_standin::plan::{Builder, EngineLimits, PlatformLimits};
use sesamegap_wire::DomainId;
use std::time::Duration;

/// Versions after the deployed one that the weight store has, so that one can be rolled out.
const LATER_VERSIONS: u32 = 3;

/// A site: what the stand-ins bring up, and what is run beside them.
#[derive(Debug, Clone)]
pub struct Site {
    /// Failure domains.
    pub domains: Vec<DomainId>,
    /// Entry VMs.
    pub routers: usize,
    /// Round trip to clients.
    pub clients: Duration,
    /// The stand-ins.
    pub standins: Builder,
    /// The tree, as it is published.
    pub tree: Tree,
    /// What callers send, if the file says so.
    pub demand: Option<Demand>,
}

impl Config for Site {
    fn from_value(value: &Value, findings: &mut Findings) -> Option<Self> {
        let tree = crate::ctl::file::read_tree(value, findings);
        let nothing = Value::Object(Map::new());
        let section = value.get("site").unwrap_or(&nothing);
        if !findings.is_empty() {
            return None;
        }
        // Whatever is wrong with the section was found together with the tree.
        let own = read_fields(SITE, section, "site", findings);
        let defaults = built_in(SITE);
        let row = complete(SITE, &own, &defaults, "site", findings);
        let catalogue = Catalogue::resolve(&tree, findings);
        Some(Self {
            domains: row.list("domains"),
            routers: row.integer("routers"),
            clients: millis(&row, "clients_ms"),
            standins: standins(&row, &catalogue),
            tree,
            demand: value
                .get("traffic")
                .and_then(|_| Demand::from_value(value, findings)),
        })
    }
}

/// Checks the `site` and the `traffic` of a whole file.
pub fn check(whole: &Value, findings: &mut Findings) {
    if let Some(site) = whole.get("site") {
        read_fields(SITE, site, "site", findings);
    }
    if whole.get("traffic").is_some() {
        let _ = Demand::from_value(whole, findings);
    }
}

fn standins(row: &Row<'_>, catalogue: &Catalogue) -> Builder {
    let mut plan = Plan::builder()
        .domains(row.list("domains"))
        .engines(row.integer("engines"))
        .between(millis(row, "between_ms"))
        .engine(engine(row))
        .platform(platform(row));
    if row.flag("store") {
        plan = plan.store();
    }
    for (model, spec) in &catalogue.models {
        let first = spec.version.0;
        let versions: Vec<u32> = (first..=first.saturating_add(LATER_VERSIONS)).collect();
        plan = plan.model(model.clone(), &versions).block(spec.block);
    }
    for service in catalogue.services.keys() {
        plan = plan.workers(service.clone(), row.integer("workers"));
    }
    plan
}

fn engine(row: &Row<'_>) -> EngineLimits {
    EngineLimits {
        slots: row.integer("slots"),
        queue: row.integer("queue"),
        capacity: row.integer("capacity"),
        prefill: millis(row, "prefill_ms") / 1000,
        import: millis(row, "import_ms"),
        decode: millis(row, "decode_ms"),
        ..EngineLimits::default()
    }
}

fn platform(row: &Row<'_>) -> PlatformLimits {
    PlatformLimits {
        appends: row.integer("appends"),
        retention: row.span("retention"),
        lag: row.span("lag"),
        load: row.span("load"),
        ..PlatformLimits::default()
    }
}

fn millis(row: &Row<'_>, name: &str) -> Duration {
    Duration::from_secs_f64(row.real(name) / 1000.0)
}
