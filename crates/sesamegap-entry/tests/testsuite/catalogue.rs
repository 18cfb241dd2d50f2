use crate::support::{HOST, KEY, Process, document, route};
use sesamegap_entry::catalogue::{Catalogue, Kind, Revision};
use std::sync::Arc;

#[test]
fn the_longest_matching_prefix_is_chosen() {
    let mut document = document(1);
    document
        .routes
        .push(route("/pull/old/", Kind::Once, "desk", 1));
    let catalogue = Catalogue::new(&document);
    let kind = |path: &str| catalogue.route(HOST, path).map(|route| route.kind);
    assert_eq!(kind("/pull/x"), Ok(Kind::Idempotent));
    assert_eq!(kind("/pull/old/x"), Ok(Kind::Once));
    assert!(kind("/pul").is_err());
    assert!(catalogue.route("elsewhere.example", "/pull/x").is_err());
    assert!(catalogue.route("DESK.example:8080", "/pull/x").is_ok());
    assert!(catalogue.team(KEY).is_some());
}

/// The store delivers stale history, or a peer lags behind. Adopting an older document would make a revoked key valid
/// again.
#[tokio::test]
async fn a_document_is_never_replaced_by_an_older_one() {
    let process = Process::empty().await;
    for (revision, newer) in [(3, true), (2, false), (3, false), (7, true), (4, false)] {
        let adopted = process.core.adopt(&Arc::new(document(revision)), "test");
        assert_eq!(adopted, newer, "revision {revision}");
    }
    assert_eq!(process.core.revision(), Revision(7));
}
