//! Process settings: all findings before anything starts.

use sesamegap::config::{Bounds, Config, CtlConfig, ProcessConfig, Timing};
use sesamegap_settings::SettingsError;
use std::net::SocketAddr;
use std::time::Duration;

const GOOD: &str = r#"{
  "vm": "entry-1", "domain": "d", "listen": "127.0.0.1:7000",
  "log": "http://127.0.0.1:1", "vms": "http://127.0.0.1:1", "weights": "http://127.0.0.1:1",
  "secret": "sixteen bytes long", // of any kind
  "operator": "7bf5759b14cc9cbcc3aa1a96d42bcfffcd6cd119f837acafb94a83060c8bacee",
}"#;

fn findings<T: Config>(text: &str) -> Vec<String> {
    match T::parse("f.jsonc", text) {
        Ok(_) => Vec::new(),
        Err(SettingsError::Invalid(findings)) => findings.iter().map(ToString::to_string).collect(),
        Err(other) => panic!("{other}"),
    }
}

#[test]
fn what_is_left_out_has_its_default() {
    let config = ProcessConfig::parse("f.jsonc", GOOD).unwrap();
    assert_eq!(config.advertise, config.listen);
    assert_eq!(config.timing.address, Duration::from_secs(2));
    assert_eq!(config.bounds.body, 8 << 20);
    assert!(!config.json_logs);
}

#[test]
fn secrets_do_not_get_into_logs() {
    let config = ProcessConfig::parse("f.jsonc", GOOD).unwrap();
    assert!(!format!("{config:?}").contains("sixteen"));
}

#[test]
fn all_findings_of_a_process_come_at_once() {
    let text = GOOD
        .replace("\"vm\": \"entry-1\", ", "")
        .replace("sixteen bytes long", "short")
        .replace("\"127.0.0.1:7000\"", "\"here\"")
        .replace(
            "\"operator\"",
            "\"timing\": {\"gossip\": 5, \"lease\": \"1 week\"},\n\
             \"bounds\": {\"ring\": 3, \"rings\": 4},\n\"operator\"",
        );
    let found = findings::<ProcessConfig>(&text);
    let starts = [
        "f.jsonc:1:1: vm: the key is missing, allowed: 1 to 64 letters",
        "f.jsonc:2:28: listen: `\"here\"` is not valid, allowed: an IP address and a port",
        "f.jsonc:4:13: secret: `\"short\"` is not valid, allowed: text of 16 to 256 bytes",
        "f.jsonc:5:24: timing/gossip: `5` is not valid, allowed: \"10ms\" to \"1m\"",
        "f.jsonc:5:36: timing/lease: `\"1 week\"` is not valid",
        "f.jsonc:6:20: bounds/ring: `3` is not valid, allowed: a whole number from 16",
        "f.jsonc:6:32: bounds/rings: unknown key `rings`, allowed: one of body, receive",
    ];
    assert_eq!(found.len(), starts.len(), "{found:#?}");
    for (line, start) in found.iter().zip(starts) {
        assert!(line.starts_with(start), "{start}\n{found:#?}");
    }
}

#[test]
fn values_that_contradict_one_another_are_found() {
    let section = "\"timing\": {\"lease\": \"1s\", \"silence\": \"200ms\"}, \"operator\"";
    let text = GOOD
        .replace("\"operator\"", section)
        .replace("127.0.0.1:7000", "0.0.0.0:7000");
    let found = findings::<ProcessConfig>(&text);
    assert_eq!(found.len(), 3, "{found:#?}");
}

#[test]
fn a_file_of_something_else_is_no_settings() {
    assert!(!findings::<ProcessConfig>("[]").is_empty());
    assert!(!findings::<CtlConfig>("7").is_empty());
    assert!(findings::<CtlConfig>("{}").is_empty());
}

#[test]
fn a_builder_checks_what_a_file_is_checked_for() {
    let listen: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let builder = || ProcessConfig::builder("v".parse().unwrap(), "d".parse().unwrap(), listen);
    let short = Timing {
        lease: Duration::from_millis(100),
        ..Timing::default()
    };
    assert!(builder().timing(short).build().is_err());
    let tight = Bounds {
        kept: 10,
        ..Bounds::default()
    };
    assert!(builder().bounds(tight).build().is_err());
    assert!(builder().build().is_ok());
}
