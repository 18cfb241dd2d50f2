//! What a router answers to operators, worked out from a fold.

use serde_json::json;
use sesamegap::admin::{self, ChangeAnswer, ChangeRequest};
use sesamegap_settings::{Change, ChangeId, Fold};
use sesamegap_wire::Offset;

fn request(base: u64, edits: &serde_json::Value) -> ChangeRequest {
    let body = json!({"base": base, "by": "op", "edits": edits});
    serde_json::from_value(body).unwrap()
}

fn change(id: u128, base: u64, edits: &serde_json::Value) -> Change {
    request(base, edits).into_change(ChangeId(id)).unwrap()
}

fn append(fold: &mut Fold, change: &Change) {
    let next = fold.next();
    fold.apply(next, 0, &change.encode().unwrap());
}

#[test]
fn all_paths_that_cannot_be_one_are_reported_at_once() {
    let edits = json!([{"path": "a b"}, {"path": "teams/a", "value": {}}, {"path": "/x"}]);
    let findings = request(0, &edits).into_change(ChangeId(1)).unwrap_err();
    assert_eq!(findings.len(), 2);
}

#[test]
fn a_router_that_is_behind_leaves_the_judgement_to_the_log() {
    // An operator reads the tree from one router and publishes through another, which has not yet
    // read the newest record. If it refused the base as unknown, the operator would be told of a
    // fault in a change that is right.
    let mut behind = Fold::default();
    let ahead = change(1, 4, &json!([{"path": "classes/c", "value": {}}]));
    assert_eq!(admin::refusal(&mut behind, &ahead), None);
}

#[test]
fn a_change_that_would_be_refused_costs_no_record() {
    let mut fold = Fold::default();
    append(
        &mut fold,
        &change(1, 0, &json!([{"path": "classes/c", "value": {}}])),
    );
    let broken = change(
        2,
        1,
        &json!([{"path": "teams/a", "value": {"class": "none"}}]),
    );
    let refusal = admin::refusal(&mut fold, &broken);
    assert!(matches!(refusal, Some(ChangeAnswer::Invalid { .. })));
    let late = change(3, 0, &json!([{"path": "classes/c/priority", "value": 7}]));
    let refusal = admin::refusal(&mut fold, &late).unwrap();
    assert_eq!(refusal.status(), 409);
    assert_eq!(fold.next(), Offset(1));
    assert!(fold.outcome(&ChangeId(3)).is_none());
}

#[test]
fn history_shows_what_became_of_each_change_newest_first() {
    let mut fold = Fold::default();
    append(
        &mut fold,
        &change(1, 0, &json!([{"path": "classes/c", "value": {}}])),
    );
    append(
        &mut fold,
        &change(2, 0, &json!([{"path": "classes/c", "value": null}])),
    );
    let history = admin::history(&fold);
    let shown = serde_json::to_value(&history.changes).unwrap();
    assert_eq!(shown[0]["outcome"]["outcome"], "conflict");
    assert_eq!(
        shown[1]["outcome"],
        json!({"outcome": "accepted", "revision": 1})
    );
    let back: admin::HistoryAnswer =
        serde_json::from_value(serde_json::to_value(&history).unwrap()).unwrap();
    assert_eq!(back, history);
}
