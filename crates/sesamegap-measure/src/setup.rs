//! Names, settings and the clock of a run.

use crate::site::{BLOCK, Site, TEAMS};
use sesamegap_settings::{Catalogue, ClassSpec, ModelSpec, TeamSpec};
use sesamegap_wire::{DomainId, ModelId, Moment, Tokens, WeightsVersion};
use std::time::Duration;

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "virtual time is a few minutes, never negative"
)]
pub fn moment(seconds: f64) -> Moment {
    // Far from zero, so that nothing leans on the clock's start.
    Moment((seconds * 1e6) as u64 + 1_000_000_000)
}

pub fn name<T: std::str::FromStr>(text: &str) -> T {
    let Ok(name) = text.parse() else {
        unreachable!("names here are short and plain")
    };
    name
}

pub fn domain(at: usize) -> DomainId {
    name(&format!("d{}", at % 3))
}

pub fn catalogue(site: &Site, model: &ModelId) -> Catalogue {
    let mut catalogue = Catalogue::default();
    for kind in &site.kinds {
        let spec = ClassSpec {
            priority: kind.priority,
            deadline: kind.deadline,
            total: kind.deadline + Duration::from_secs(30),
            retries: 2,
            queue: Tokens(4_000_000),
            thrift: kind.thrift,
            hedge: false,
        };
        catalogue.classes.insert(name(kind.class), spec);
    }
    for team in 0..TEAMS.len() {
        let spec = TeamSpec {
            key_hashes: Vec::new(),
            weight: 1.0,
            rate: None,
            burst: Tokens(0),
            class: name(site.kinds[0].class),
            models: Vec::new(),
        };
        catalogue.teams.insert(name(&format!("t{team}")), spec);
    }
    let spec = ModelSpec {
        version: WeightsVersion(1),
        block: Tokens(BLOCK),
        longest: Tokens(200_000),
        answer: Tokens(1000),
        least: 1,
        engines: Vec::new(),
    };
    catalogue.models.insert(model.clone(), spec);
    catalogue
}
