//! Reading process settings from their files.

use super::fields::{BOUNDS, CTL, PROCESS, STANDIN, TIMING};
use super::{Bounds, CtlConfig, ProcessConfig, StandinConfig, Timing};
use serde_json::{Map, Value};
use sesamegap_settings::schema::reader::{complete, join, read, read_skipping};
use sesamegap_settings::schema::{Field, Row, built_in};
use sesamegap_settings::{Document, Findings, SettingsError};
use std::fs;
use std::path::Path;

const SECTIONS: [&str; 2] = ["timing", "bounds"];

/// What can be read from a settings file.
pub trait Config: Sized {
    /// Reads the file's content, with a finding for each thing that is wrong.
    fn from_value(value: &Value, findings: &mut Findings) -> Option<Self>;

    /// Reads a file's text; `file` is the name that findings show.
    ///
    /// # Errors
    /// With all findings and their places.
    fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let document = Document::parse(file, text)?;
        let mut findings = Findings::default();
        match Self::from_value(document.value(), &mut findings) {
            Some(config) if findings.is_empty() => Ok(config),
            _ => {
                document.locate(&mut findings);
                Err(SettingsError::Invalid(findings))
            }
        }
    }

    /// Reads a file.
    ///
    /// # Errors
    /// If the file cannot be read, or with all findings and their places.
    fn load(file: &Path) -> Result<Self, SettingsError> {
        Self::parse(&file.display().to_string(), &text(file)?)
    }
}

/// The text of a settings file.
///
/// # Errors
/// If the file cannot be read.
pub fn text(file: &Path) -> Result<String, SettingsError> {
    fs::read_to_string(file).map_err(|error| {
        let mut findings = Findings::default();
        let name = file.display().to_string();
        findings.add(&name, error.to_string(), "a readable file in UTF-8");
        SettingsError::Invalid(findings)
    })
}

/// Reads one object by its table.
fn object<T>(
    fields: &'static [Field],
    value: &Value,
    path: &str,
    findings: &mut Findings,
    make: impl FnOnce(&Row<'_>) -> T,
) -> Option<T> {
    let before = findings.len();
    let own = read(fields, value, path, findings);
    let defaults = built_in(fields);
    let row = complete(fields, &own, &defaults, path, findings);
    (findings.len() == before).then(|| make(&row))
}

fn section<T: for<'a, 'b> From<&'a Row<'b>>>(
    fields: &'static [Field],
    whole: &Value,
    key: &str,
    findings: &mut Findings,
) -> Option<T> {
    let nothing = Value::Object(Map::new());
    let value = whole.get(key).unwrap_or(&nothing);
    object(fields, value, &join("", key), findings, |row| T::from(row))
}

impl Config for ProcessConfig {
    fn from_value(value: &Value, findings: &mut Findings) -> Option<Self> {
        let own = read_skipping(PROCESS, &SECTIONS, value, "", findings);
        let defaults = built_in(PROCESS);
        let row = complete(PROCESS, &own, &defaults, "", findings);
        let timing: Option<Timing> = section(TIMING, value, "timing", findings);
        let bounds: Option<Bounds> = section(BOUNDS, value, "bounds", findings);
        if !findings.is_empty() {
            return None;
        }
        let config = Self {
            vm: row.parsed("vm"),
            domain: row.parsed("domain"),
            listen: row.parsed("listen"),
            advertise: row.parsed(if row.has("advertise") {
                "advertise"
            } else {
                "listen"
            }),
            log: row.text("log"),
            vms: row.text("vms"),
            weights: row.text("weights"),
            secret: row.text("secret"),
            operator: row.text("operator"),
            json_logs: row.flag("json_logs"),
            timing: timing?,
            bounds: bounds?,
        };
        config.check(findings);
        Some(config)
    }
}

impl ProcessConfig {
    /// Finds values that contradict one another.
    pub fn check(&self, findings: &mut Findings) {
        if self.advertise.ip().is_unspecified() {
            let wrong = format!("others cannot reach {}", self.advertise);
            findings.add(
                "advertise",
                wrong,
                "an address that other VMs can connect to",
            );
        }
        if self.timing.silence <= self.timing.connect {
            let wrong = "a connection would be mute before it could be opened anew";
            findings.add("timing/silence", wrong, "more than `timing/connect`");
        }
        if self.timing.lease <= self.timing.log {
            let wrong = "the lease could lapse within one call to the log";
            findings.add("timing/lease", wrong, "more than `timing/log`");
        }
        if self.timing.retention <= self.timing.keep {
            let wrong = "answers would be kept longer than the claims on their keys";
            findings.add("timing/retention", wrong, "more than `timing/keep`");
        }
        if self.bounds.kept < self.bounds.answer {
            let wrong = "all kept answers together would be less than one";
            findings.add("bounds/kept", wrong, "at least `bounds/answer`");
        }
    }
}

impl Config for CtlConfig {
    fn from_value(value: &Value, findings: &mut Findings) -> Option<Self> {
        object(CTL, value, "", findings, |row| Self {
            routers: row.list("routers"),
            locators: row.list("locators"),
            key: row.has("key").then(|| row.text("key")),
            by: row.text("by"),
            call: row.span("call"),
            patience: row.span("patience"),
        })
    }
}

impl Config for StandinConfig {
    fn from_value(value: &Value, findings: &mut Findings) -> Option<Self> {
        object(STANDIN, value, "", findings, |row| Self {
            listen: row.parsed("listen"),
            operator: row.text("operator"),
            secret: row.text("secret"),
            site: row.text("site"),
            json_logs: row.flag("json_logs"),
        })
    }
}

impl From<&Row<'_>> for Timing {
    fn from(row: &Row<'_>) -> Self {
        Self {
            list: row.span("list"),
            report: row.span("report"),
            gossip: row.span("gossip"),
            silence: row.span("silence"),
            connect: row.span("connect"),
            age: row.span("age"),
            address: row.span("address"),
            keep: row.span("keep"),
            log: row.span("log"),
            lease: row.span("lease"),
            stop: row.span("stop"),
            retention: row.span("retention"),
        }
    }
}

impl From<&Row<'_>> for Bounds {
    fn from(row: &Row<'_>) -> Self {
        Self {
            body: row.size("body"),
            receive: row.span("receive"),
            flights: row.integer("flights"),
            ring: row.integer("ring"),
            answer: row.size("answer"),
            kept: row.size("kept"),
            connections: row.integer("connections"),
        }
    }
}

/// What a table's built-in values alone make.
fn from_built_in<T: for<'a, 'b> From<&'a Row<'b>>>(fields: &'static [Field]) -> T {
    let defaults = built_in(fields);
    T::from(&Row::new(fields, defaults.iter().collect()))
}

impl Default for Timing {
    fn default() -> Self {
        from_built_in(TIMING)
    }
}

impl Default for Bounds {
    fn default() -> Self {
        from_built_in(BOUNDS)
    }
}

impl Default for CtlConfig {
    fn default() -> Self {
        let empty = Value::Object(Map::new());
        let config = Self::from_value(&empty, &mut Findings::default());
        config.expect("every setting of ctl has a default")
    }
}
