//! Replication of a document's entries, alone and in a fleet with thin links.

mod swarm;
mod world;

use quickcheck::{TestResult, quickcheck};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use sesamegap_policy::agreement::replication::{
    Answer, Content, Encode, EntryId, Fetch, answer, apply_answer,
};
use std::collections::BTreeSet;
use std::convert::Infallible;

/// Bytes of an encoded route.
pub const ENTRY_BYTES: usize = 70;

/// Entries that consist of their ids.
#[derive(Debug)]
pub struct Ids;

impl Encode<()> for Ids {
    type Encoded = EntryId;

    fn encode(&self, id: EntryId, (): &()) -> (EntryId, usize) {
        (id, ENTRY_BYTES)
    }
}

#[expect(clippy::unnecessary_wraps, reason = "real entries may be malformed")]
pub fn decode(id: EntryId) -> Result<(EntryId, ()), Infallible> {
    Ok((id, ()))
}

/// Id of the entry with a number.
pub fn id(no: u64) -> EntryId {
    EntryId::of(&no.to_be_bytes())
}

/// The next version: without some entries, and with others.
pub fn changed(
    content: &Content<()>,
    revision: u64,
    removed: &[u64],
    added: &[u64],
) -> Content<()> {
    let removed = removed.iter().map(|no| id(*no)).collect();
    let added = added.iter().map(|no| (id(*no), ())).collect();
    content.changed(revision, removed, added)
}

fn ids(content: &Content<()>) -> BTreeSet<EntryId> {
    content.entries().map(|(id, ())| id).collect()
}

/// Random versions, each derived from the one before.
fn versions(rng: &mut StdRng, count: u64) -> Vec<Content<()>> {
    let mut versions = vec![Content::default()];
    for revision in 1..=count {
        let last = versions.last().unwrap();
        let entries = rng.random_range(1..400);
        let removed: Vec<u64> = (0..entries).map(|_| rng.random_range(0..2_000)).collect();
        let added: Vec<u64> = (0..entries).map(|_| rng.random_range(0..2_000)).collect();
        let next = changed(last, revision, &removed, &added);
        versions.push(next);
    }
    versions
}

/// Guards against a document that mixes two revisions, lacks routes, or is older than the one before it: peers have different
/// revisions, answers are lost, and newer revisions appear while one is fetched.
fn fetches_end_at_a_published_version(seed: u64) -> TestResult {
    let mut rng = StdRng::seed_from_u64(seed);
    let versions = versions(&mut rng, 12);
    let mut own = versions[rng.random_range(0..4)].clone();
    let mut fetch = Fetch::default();
    let mut newest = 4;
    for step in 0..4_000 {
        if step % 100 == 99 && newest + 1 < versions.len() {
            newest += 1;
        }
        let peer = if rng.random_bool(0.7) {
            &versions[newest]
        } else {
            versions.choose(&mut rng).unwrap()
        };
        let first = step % 20 == 0 || fetch.target().is_none();
        let ask = if first {
            Some(fetch.first_ask(&own, &mut rng))
        } else {
            fetch.next_ask(rng.random(), &mut rng)
        };
        let Some(ask) = ask else { continue };
        if rng.random_bool(0.8) {
            let reply = answer(peer, &Fetch::default(), &ask, rng.random_bool(0.1), &Ids);
            apply_answer(&own, &mut fetch, reply, decode).unwrap();
        }
        fetch.release(&ask);
        if let Some(next) = fetch.finish(&own).unwrap() {
            assert!(next.version().revision > own.version().revision);
            let published = &versions[usize::try_from(next.version().revision).unwrap()];
            assert_eq!(ids(&next), ids(published));
            own = next;
        }
    }
    assert_eq!(own.version(), versions.last().unwrap().version());
    TestResult::passed()
}

#[test]
fn random_fetches_end_at_a_published_version() {
    quickcheck(fetches_end_at_a_published_version as fn(u64) -> TestResult);
}

/// Guards against a wrong account of what changed that is taken for a document.
#[test]
fn a_version_with_another_digest_is_not_accepted() {
    let old = changed(&Content::default(), 1, &[], &[1, 2, 3]);
    let new = changed(&old, 2, &[1], &[4]);
    let mut fetch = Fetch::default();
    let mut rng = StdRng::seed_from_u64(1);
    let Answer::Changes(base, version, removed, _, entries) = answer(
        &new,
        &Fetch::default(),
        &fetch.first_ask(&old, &mut rng),
        false,
        &Ids,
    ) else {
        panic!("the version before is remembered");
    };
    let forged = Answer::Changes(base, version, removed, Vec::new(), entries);
    apply_answer(&old, &mut fetch, forged, decode).unwrap();
    assert_eq!(fetch.finish(&old).unwrap_err().announced, new.version());
    // The peer's account is not asked for again.
    let reply = answer(
        &new,
        &Fetch::default(),
        &fetch.first_ask(&old, &mut rng),
        false,
        &Ids,
    );
    assert!(matches!(reply, Answer::Outline(..)));
}
