use std::collections::BTreeMap;

/// Guards against events whose number or meaning is missing or outdated in `docs/events.md`.
#[test]
fn every_event_is_in_the_catalogue() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let code = std::fs::read_to_string(format!(
        "{root}/crates/sesamegap-entry/src/telemetry/events.rs"
    ));
    let page = std::fs::read_to_string(format!("{root}/docs/events.md")).unwrap();
    let mut meaning = "";
    let code = code.unwrap();
    let mut numbers = BTreeMap::new();
    for line in code.lines() {
        if let Some(doc) = line.strip_prefix("/// ") {
            meaning = doc;
        } else if let Some((_, number)) = line.split_once(": u16 = ") {
            numbers.insert(number.trim_end_matches(';').to_owned(), meaning.to_owned());
        }
    }
    assert!(numbers.len() > 15, "{numbers:?}");
    for (number, meaning) in &numbers {
        let row = format!("| {number} | {meaning} |");
        assert!(page.contains(&row), "docs/events.md lacks {row}");
    }
}
