//! Which peers send requests on for a partitioned VM.

use rand::SeedableRng;
use rand::rngs::StdRng;
use sesamegap_policy::routing::gateways::{Avoided, MAX_GATEWAYS, Place};
use sesamegap_wire::Moment;
use std::collections::HashMap;
use std::time::Duration;

/// VMs of a large fleet, dealt out in turn to this many failure domains.
const VMS: usize = 985;
const DOMAINS: usize = 5;

fn at(ms: u64) -> Moment {
    Moment(0) + Duration::from_millis(ms)
}

fn peers(own: usize, upstream: usize) -> Vec<(usize, Place)> {
    let place = |vm: usize| Place::of(Some(&(vm % DOMAINS)), &upstream, &own);
    (0..VMS).map(|vm| (vm, place(vm))).collect()
}

#[test]
fn peers_beside_the_upstream_come_first_and_unresponsive_ones_last() {
    let places = [
        (5, Place::Unresponsive),
        (1, Place::Stopping),
        (2, Place::WithSelf),
        (3, Place::Elsewhere),
        (4, Place::WithUpstream),
    ];
    let avoided = Avoided::default();
    let chosen = avoided.choose(places.to_vec(), at(0), &mut StdRng::seed_from_u64(1));
    assert_eq!(chosen, [4, 3, 2]);
    let left = vec![(5, Place::Unresponsive), (1, Place::Stopping)];
    let chosen = avoided.choose(left, at(0), &mut StdRng::seed_from_u64(1));
    assert_eq!(chosen, [1, 5], "better than to refuse");
    assert_eq!(Place::of(Some(&1), &1, &1), Place::WithSelf);
    assert_eq!(Place::of(None, &1, &2), Place::Elsewhere);
}

/// A domain with a fifth of 985 VMs loses its links. If its VMs used the same peers, those would be overloaded; if they
/// stayed in their own domain, nothing would get through.
#[test]
fn vms_of_a_partitioned_domain_spread_over_the_others() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut avoided: Vec<Avoided<usize>> = Vec::new();
    avoided.resize_with(VMS / DOMAINS, Avoided::default);
    let (mut load, mut asked) = (HashMap::new(), 0);
    let requests = 20_000;
    for request in 0..requests {
        let now = at(request as u64);
        let own = &mut avoided[request % (VMS / DOMAINS)];
        let upstream = request / 7 % DOMAINS;
        let chosen = own.choose(peers(0, upstream), now, &mut rng);
        assert_eq!(chosen.len(), MAX_GATEWAYS);
        let sound = chosen.iter().position(|vm| vm % DOMAINS != 0);
        let sound = sound.expect("a gateway outside the partitioned domain");
        asked += sound + 1;
        for vm in &chosen[..sound] {
            own.avoid(*vm, now);
        }
        *load.entry(chosen[sound]).or_insert(0) += 1;
    }
    let mean = requests / (VMS - VMS / DOMAINS);
    let most = load.values().max().copied().unwrap_or_default();
    assert!(most < 3 * mean, "{most} at one gateway, {mean} on average");
    assert!(asked < requests * 11 / 10, "{asked} gateways asked");
}

/// Most VMs are partitioned. Each that declines is asked again only a second later.
#[test]
fn a_gateway_that_declined_is_not_asked_again_at_once() {
    let mut rng = StdRng::seed_from_u64(9);
    let mut avoided = Avoided::default();
    avoided.avoid(1, at(0));
    let places = vec![(1, Place::WithUpstream), (2, Place::WithSelf)];
    assert_eq!(avoided.choose(places.clone(), at(900), &mut rng), [2]);
    assert_eq!(avoided.choose(places, at(1_100), &mut rng), [1, 2]);
}
