//! Handling of invalid input: settings files with errors, and arbitrary bytes.

use crate::support::{change, populated_fold, property_test};
use quickcheck::TestResult;
use serde_json::{Value, json};
use sesamegap_settings::{Catalogue, Change, Document, Findings, Fold, SettingsError, Tree};
use sesamegap_settings::{ChangeId, key_hash, matches};

fn findings(text: &str) -> Vec<String> {
    let document = match Document::parse("site.jsonc", text) {
        Ok(document) => document,
        Err(SettingsError::Invalid(findings)) => {
            return findings.iter().map(ToString::to_string).collect();
        }
        Err(other) => panic!("{other}"),
    };
    let mut findings = Findings::default();
    let tree = Tree::read(document.value(), "", &mut findings);
    Catalogue::resolve(&tree, &mut findings);
    document.locate(&mut findings);
    findings.iter().map(ToString::to_string).collect()
}

#[test]
fn all_findings_come_at_once_with_their_places() {
    let text = r#"{
  // A comment with an umlaut: ä
  "classes": { "standard": { "priority": 300 } },
  "teams": {
    "ä b": {},
    "a": { "weight": 0, "colour": 1, "key_hashes": ["ABC"] }, /* ü */ "c": { "rate": "none" },
  },
  "models": { "m": { "block": 9000, "longest": 100 } },
}"#;
    let found = findings(text);
    let starts = [
        "site.jsonc:3:42: classes/standard/priority: `300` is not valid, allowed: a whole number \
         from 0 to 255",
        "site.jsonc:5:12: teams/ä b: `ä b` is not a valid name",
        "site.jsonc:6:22: teams/a/weight: `0` is not valid, allowed: a number from 0.001",
        "site.jsonc:6:35: teams/a/colour: unknown key `colour`, allowed: one of key_hashes, weight",
        "site.jsonc:6:52: teams/a/key_hashes: `[\"ABC\"]` is not valid, allowed: up to 256",
        "site.jsonc:6:86: teams/c/rate: `\"none\"` is not valid, allowed: a number from 1",
        "site.jsonc:8:48: models/m/longest: the longest prompt is shorter than a block",
    ];
    assert_eq!(found.len(), starts.len(), "{found:#?}");
    for (line, start) in found.iter().zip(starts) {
        assert!(line.starts_with(start), "{start}\n{found:#?}");
    }
}

#[test]
fn json_errors_have_a_location() {
    assert!(findings("{\n  \"a\": ,\n}")[0].starts_with("site.jsonc:2:8: "));
    assert!(findings("{ \"teams\": {}, \"teams\": {} }")[0].contains("`teams` stands twice"));
    assert!(findings("{ 'teams': {} }")[0].starts_with("site.jsonc:1:3: "));
    assert_eq!(findings("").len(), 1);
    assert_eq!(findings(&"[".repeat(100_000)).len(), 1);
}

#[test]
fn a_missing_class_is_reported() {
    let found = findings(r#"{ "teams": { "a": {} } }"#);
    assert_eq!(
        found,
        [
            "site.jsonc:1:19: teams/a/class: there is no class `standard`, allowed: a class that \
          stands in the tree"
        ]
    );
}

#[test]
fn findings_are_bounded() {
    let teams: serde_json::Map<String, Value> = (0..1000)
        .map(|n| (format!("t{n}"), json!({"weight": -1})))
        .collect();
    let mut findings = Findings::default();
    Tree::read(&json!({ "teams": teams }), "", &mut findings);
    assert_eq!(findings.len(), 1000);
    assert_eq!(findings.iter().count(), 200);
    assert!(findings.to_string().ends_with("and 800 more"));
}

#[test]
fn decoders_accept_arbitrary_bytes_without_a_panic() {
    let any: fn(Vec<u8>) -> bool = |bytes| {
        let framed = |kind| [&[1, kind], &bytes[..]].concat();
        let mut fold = Fold::default();
        for body in [bytes.clone(), framed(b'c'), framed(b's')] {
            let _ = Change::decode(&body);
            let _ = fold.adopt(&body);
            let next = fold.next();
            fold.apply(next, 0, &body);
        }
        let _ = Document::parse("any", &String::from_utf8_lossy(&bytes));
        true
    };
    property_test(0xa0, 2000, 200).quickcheck(any);
}

#[test]
fn a_snapshot_with_any_byte_changed_is_refused_or_the_same() {
    // Corruption of one byte of a snapshot in transit from a peer.
    let property: fn(usize, u8) -> TestResult = |at, flip| {
        let whole = populated_fold().snapshot();
        let mut body = whole.clone();
        let at = at % body.len();
        body[at] ^= flip;
        let mut fresh = Fold::default();
        match fresh.adopt(&body) {
            Ok(true) => TestResult::from_bool(fresh.snapshot() == whole),
            _ => TestResult::from_bool(fresh.next() == Fold::default().next()),
        }
    };
    property_test(0xa1, 3000, 5000).quickcheck(property);
}

#[test]
fn a_change_with_any_byte_changed_is_judged_without_a_panic() {
    let any: fn(usize, u8) -> bool = |at, flip| {
        let mut fold = populated_fold();
        let change = change(2, 1, "groups/desk", json!({"teams": {"x": {"weight": 3}}}));
        let mut body = change.encode().expect("within bounds");
        let at = at % body.len();
        body[at] ^= flip;
        let next = fold.next();
        fold.apply(next, 0, &body);
        fold.next() > next
    };
    property_test(0xa2, 2000, 500).quickcheck(any);
}

#[test]
fn keys_match_their_hash_only() {
    let hash = key_hash("desk-key");
    assert!(matches("desk-key", &hash));
    assert!(!matches("desk-kez", &hash));
    assert!(!matches("desk-key", "no hash"));
    assert!(!matches("desk-key", ""));
}

#[test]
fn change_ids_are_read_as_written() {
    let property: fn(u128) -> bool = |id| ChangeId(id).to_string().parse() == Ok(ChangeId(id));
    property_test(0xa3, 200, 100).quickcheck(property);
    assert!("+1".parse::<ChangeId>().is_err());
    assert!("".parse::<ChangeId>().is_err());
}
