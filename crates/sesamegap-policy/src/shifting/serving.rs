//! Which version of a model's weights answers a request while another is being loaded.
//!
//! Made for the minutes in which a new version is rolled. If the settings' version answered at
//! once, callers would be refused until the first engine has loaded it, and then all of them would
//! meet on that one engine, whose cache is empty. So the old weights go on answering a part of the
//! requests that shrinks as engines take up the new ones. A request's prefix decides on which side
//! it is, so that requests that share one stay together and find it cached.

use sesamegap_wire::WeightsVersion;
use std::collections::BTreeMap;

/// Part of the holders from which on only the wanted version answers: half of the engines carry
/// all requests for the moments until the rest has loaded, and one engine that cannot load does
/// not keep old weights in service for good.
const ENOUGH: f64 = 0.5;

/// Picks the version that answers a request; `point` in 0..1 stands for its prefix.
///
/// `holders` counts the live engines that hold each version.
pub fn serving(
    wanted: WeightsVersion,
    holders: &BTreeMap<WeightsVersion, usize>,
    point: f64,
) -> WeightsVersion {
    let new = holders.get(&wanted).copied().unwrap_or(0);
    let others = holders.iter().filter(|(version, _)| **version != wanted);
    let Some((former, old)) = others.max_by_key(|(version, count)| (**count, **version)) else {
        return wanted;
    };
    let part = new as f64 / (ENOUGH * new.max(*old) as f64);
    if point < part { wanted } else { *former }
}
