//! What callers are told, and what routers know of each other, over sockets.

use crate::support::{PATIENCE, Site, domain, plan, url};
use rand::SeedableRng;
use rand::rngs::ChaCha12Rng;
use sesamegap::locator::choice::NAMED;
use sesamegap::locator::http::Addresses;
use sesamegap::locator::{self, Candidate, Running, choose};
use sesamegap::router::Links;
use sesamegap_platform::VmState;
use sesamegap_wire::DomainId;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

async fn start(site: &Site) -> Running {
    let config = site.config(9, None);
    let vms = Links::http(&config).vms;
    locator::start(config, vms).await.unwrap()
}

async fn named(site: &Site, locator: &Running) -> Vec<String> {
    let address = format!("{}/v1/address", url(locator.addr()));
    let response = site.http.get(address).send().await.unwrap();
    match response.json::<Addresses>().await {
        Ok(answer) => answer.addresses,
        Err(_) => Vec::new(),
    }
}

async fn until_named(site: &Site, locator: &Running, wanted: &BTreeSet<String>) {
    let started = Instant::now();
    loop {
        let now: BTreeSet<String> = named(site, locator).await.into_iter().collect();
        if now == *wanted {
            return;
        }
        assert!(started.elapsed() < PATIENCE, "{now:?}, wanted {wanted:?}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn urls(site: &Site) -> BTreeSet<String> {
    let routers = site.routers.iter();
    routers.map(|router| url(router.addr())).collect()
}

/// A router dies without a word and the VM list does not notice. Callers would be sent to a dead
/// address for as long as the list lags.
#[tokio::test]
async fn a_dead_router_is_not_named_again() {
    let mut site = Site::start(plan(), 3).await;
    let locator = start(&site).await;
    until_named(&site, &locator, &urls(&site)).await;
    let at = site.crash(1).await;
    until_named(&site, &locator, &urls(&site)).await;
    site.revive(1, at).await;
    until_named(&site, &locator, &urls(&site)).await;
    locator.stop().await;
}

/// The platform's list says that a VM is leaving while its router still answers. A caller sent
/// there would find it gone before its answer is whole.
#[tokio::test]
async fn a_leaving_vm_is_not_named() {
    let site = Site::start(plan(), 2).await;
    let locator = start(&site).await;
    until_named(&site, &locator, &urls(&site)).await;
    assert!(site.deployment.mark("vm-0", VmState::Leaving));
    let rest = [url(site.routers[1].addr())].into();
    until_named(&site, &locator, &rest).await;
    locator.stop().await;
}

/// A router is told to stop. It must be named to no new caller, or callers would come as long as
/// it stops.
#[tokio::test]
async fn a_stopping_router_is_not_named() {
    let mut site = Site::start(plan(), 2).await;
    let locator = start(&site).await;
    until_named(&site, &locator, &urls(&site)).await;
    let stopping = site.routers.remove(0);
    let rest = urls(&site);
    tokio::join!(stopping.stop(), until_named(&site, &locator, &rest));
    locator.stop().await;
}

/// A router dies; its peers must stop relaying to it in bounded time, and find its next life.
#[tokio::test]
async fn routers_notice_a_death_and_the_next_life() {
    let mut site = Site::start(plan(), 3).await;
    let at = site.crash(2).await;
    for router in 0..2 {
        let dead = "a peer that is dead";
        site.until(router, dead, |dump| peers(dump) == 1).await;
    }
    site.revive(2, at).await;
    for router in 0..3 {
        let back = "two live peers";
        site.until(router, back, |dump| peers(dump) == 2).await;
    }
}

fn peers(dump: &serde_json::Value) -> usize {
    dump["peers"].as_array().map_or(0, Vec::len)
}

fn candidates(count: u16) -> Vec<Candidate> {
    let candidate = |index: u16| Candidate {
        addr: SocketAddr::from(([127, 0, 0, 1], 9000 + index)),
        domain: format!("domain-{}", index % 3).parse().unwrap(),
    };
    (0..count).map(candidate).collect()
}

/// A failure domain is lost as a whole. A caller that knew addresses of that domain alone would
/// have nowhere to go until its answer's time to live is over.
#[test]
fn an_answer_names_the_callers_domain_first_and_another_one() {
    let all = candidates(12);
    let home: DomainId = "domain-1".parse().unwrap();
    for seed in 0..200 {
        let mut rng = ChaCha12Rng::seed_from_u64(seed);
        let chosen = choose(&all, &home, &mut rng);
        let domains: Vec<&DomainId> = chosen
            .iter()
            .map(|addr| &all.iter().find(|one| one.addr == *addr).unwrap().domain)
            .collect();
        assert_eq!(chosen.len(), NAMED);
        assert_eq!(domains[0], &home);
        assert!(domains.iter().any(|domain| **domain != home), "{domains:?}");
    }
}

/// After a router is lost all its callers ask within a second. Told the same order, they would
/// all meet on one router.
#[test]
fn answers_spread_callers_over_a_domain() {
    let all = candidates(12);
    let mut rng = ChaCha12Rng::seed_from_u64(1);
    let firsts: Vec<SocketAddr> = (0..4000)
        .map(|_| choose(&all, &domain(), &mut rng)[0])
        .collect();
    for candidate in all.iter().filter(|one| one.domain == domain()) {
        let count = firsts
            .iter()
            .filter(|addr| **addr == candidate.addr)
            .count();
        assert!((800..1200).contains(&count), "{count} of 4000");
    }
}
