//! Selection of the weights version that serves a request during a rollout.
//!
//! If the version in the settings served all requests at once, callers would be refused until the
//! first engine has loaded it, and then all requests would go to that one engine, whose cache is
//! empty. Instead, the old version serves a fraction of the requests that shrinks as engines load
//! the new one. The fraction is selected by prefix, so that requests with the same prefix use the
//! same version and its cached tokens.

use sesamegap_wire::WeightsVersion;
use std::collections::BTreeMap;

/// Ratio of engines with the wanted version, to the more widely held of the two versions, from
/// which the wanted version serves all requests. Half of the engines can carry all requests until
/// the rest have loaded it, and an engine that can't load it doesn't keep old weights in service
/// indefinitely.
const TAKEOVER_RATIO: f64 = 0.5;

/// Selects the version that serves a request; `point` in 0..1 is derived from its prefix.
///
/// `holders` is the number of live engines that hold each version.
pub fn select_version(
    wanted: WeightsVersion,
    holders: &BTreeMap<WeightsVersion, usize>,
    point: f64,
) -> WeightsVersion {
    let new = holders.get(&wanted).copied().unwrap_or(0);
    let others = holders.iter().filter(|(version, _)| **version != wanted);
    let Some((former, old)) = others.max_by_key(|(version, count)| (**count, **version)) else {
        return wanted;
    };
    let part = new as f64 / (TAKEOVER_RATIO * new.max(*old) as f64);
    if point < part { wanted } else { *former }
}
