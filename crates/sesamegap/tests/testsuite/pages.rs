//! The page of settings against the code.

use sesamegap::config::fields::{BOUNDS, CTL, PROCESS, STANDIN, TIMING};
use sesamegap_settings::change::{MAX_BY, MAX_CHANGE, MAX_EDITS, MAX_NOTE};
use sesamegap_settings::document::MAX_FILE;
use sesamegap_settings::fold::snapshot::MAX_SNAPSHOT;
use sesamegap_settings::fold::{MAX_CHANGE_IDS, MAX_HISTORY, MAX_TRACKED_PATHS};
use sesamegap_settings::schema::shape::MAX_LIST;
use sesamegap_settings::schema::{Field, Kind};
use sesamegap_settings::tree::path::{MAX_DEPTH, MAX_PATH};
use std::fs;
use std::path::Path;

const HEAD: &str = "| key | unit | default | allowed | what it does |\n|---|---|---|---|---|\n";

fn row(field: &Field) -> String {
    let Field {
        name,
        shape,
        default,
        about,
    } = field;
    let default = match default {
        None => "must be set".to_owned(),
        Some("null") => "none".to_owned(),
        Some(text) => format!("`{text}`"),
    };
    let (unit, allowed) = (shape.unit(), shape.allowed());
    format!("| `{name}` | {unit} | {default} | {allowed} | {about} |\n")
}

fn table(fields: &[Field]) -> String {
    HEAD.to_owned() + &fields.iter().map(row).collect::<String>()
}

#[test]
fn the_page_lists_every_setting_as_the_code_has_it() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings.md");
    let page = fs::read_to_string(page).unwrap();
    let kinds = Kind::ALL.map(|kind| (kind.plural(), kind.fields()));
    let processes = [
        ("process", PROCESS),
        ("timing", TIMING),
        ("bounds", BOUNDS),
        ("ctl", CTL),
        ("standin", STANDIN),
    ];
    for (name, fields) in kinds.into_iter().chain(processes) {
        let table = table(fields);
        assert!(page.contains(&(table.clone() + "\n")), "{name}:\n{table}");
    }
    let bounds = [
        ("edits in a change", MAX_EDITS),
        ("bytes of a change", MAX_CHANGE),
        ("bytes of `by`", MAX_BY),
        ("bytes of `note`", MAX_NOTE),
        ("bytes of a file", MAX_FILE),
        ("bytes of a snapshot", MAX_SNAPSHOT),
        ("names or hashes in a list", MAX_LIST),
        ("groups one below the other", MAX_DEPTH),
        ("bytes of a path", MAX_PATH),
        ("changes in the history", MAX_HISTORY),
        ("change ids remembered", MAX_CHANGE_IDS),
        ("touched paths remembered", MAX_TRACKED_PATHS),
    ];
    for (what, bound) in bounds {
        let line = format!("| {what} | {bound} |\n");
        assert!(page.contains(&line), "{line}");
    }
}
