//! A site's file, as the stand-ins bring it up.

use sesamegap::config::Config;
use sesamegap::site::Site;
use sesamegap::site::fields::SITE;
use sesamegap_settings::SettingsError;
use std::path::Path;
use std::time::Duration;

fn load(name: &str) -> Site {
    let file = format!("{}/../../settings/{name}.jsonc", env!("CARGO_MANIFEST_DIR"));
    Site::load(Path::new(&file)).unwrap()
}

#[test]
fn the_sites_have_the_sizes_of_today() {
    for (name, engines, load_ms) in [("desai", 9, 400), ("vannas", 12, 500)] {
        let site = load(name);
        let plan = site.standins.clone().build();
        assert_eq!(plan.engines.len(), engines);
        assert_eq!((site.domains.len(), plan.workers.len()), (3, 3));
        assert!((7..=9).contains(&site.routers));
        assert!(plan.store.is_some());
        assert_eq!(plan.platform.load, Duration::from_millis(load_ms));
    }
    assert_eq!(load("desai").clients, Duration::from_millis(1));
    assert_eq!(load("vannas").clients, Duration::from_millis(3));
    let between = |name| load(name).standins.build().between;
    assert_eq!(between("desai"), Duration::from_micros(1500));
    assert_eq!(between("vannas"), Duration::from_micros(500));
}

#[test]
fn engines_hold_what_the_tree_deploys() {
    let plan = load("desai").standins.build();
    let (model, versions) = &plan.models[0];
    assert!(versions.len() > 1, "there is nothing to roll out");
    for engine in &plan.engines {
        assert_eq!(engine.loaded, [(model.clone(), versions[0])]);
    }
}

/// An operator mistypes several things at once and must not be told of them one by one.
#[test]
fn all_mistakes_are_found_at_once_with_their_places() {
    let text = "{\n  \"site\": { \"engines\": 0,\n    \"spare\": 1 },\n  \"tree\": {}\n}";
    let error = Site::parse("site.jsonc", text).unwrap_err();
    let SettingsError::Invalid(findings) = &error else {
        panic!("{error}");
    };
    assert_eq!(findings.len(), 2);
    let shown = error.to_string();
    assert!(shown.contains("site.jsonc:2:24: site/engines"), "{shown}");
    assert!(shown.contains("site.jsonc:3:14: site/spare"), "{shown}");
}

#[test]
fn the_page_on_standins_tells_each_setting_with_its_default() {
    let page = include_str!("../../../../docs/standins.md");
    for field in SITE {
        let default = field.default.unwrap_or_default().trim_matches('"');
        let default = if default.starts_with('[') {
            "three"
        } else {
            default
        };
        let row = format!("| `{}` | {default} |", field.name);
        assert!(page.contains(&row), "{row}");
    }
}
