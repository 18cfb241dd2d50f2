//! The files that operators write.
//!
//! What a file holds is told by its keys: `tree` is a settings tree (with `site` beside it for the
//! stand-ins), `edits` a change, `site` with `listen` the settings of `sesamegap-standin`,
//! `vm` those of a process, and all else those of `sesamegap-ctl`.

use crate::admin::RawEdit;
use crate::config::{Config, CtlConfig, ProcessConfig, StandinConfig, read};
use serde_json::Value;
use sesamegap_settings::{Catalogue, Document, Edit, Findings, SettingsError, Tree, TreePath};
use std::path::Path;

/// What a file holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileKind {
    /// A settings tree.
    Tree,
    /// A list of edits.
    Edits,
    /// Settings of a router, locator or controller.
    Process,
    /// Settings of `sesamegap-ctl`.
    Ctl,
    /// Settings of `sesamegap-standin`.
    Standin,
}

impl FileKind {
    /// Tells the kind by the keys.
    pub fn of(value: &Value) -> Self {
        let has = |key| value.get(key).is_some();
        match () {
            () if has("tree") => Self::Tree,
            () if has("edits") => Self::Edits,
            () if has("site") => Self::Standin,
            () if has("vm") || has("listen") => Self::Process,
            () => Self::Ctl,
        }
    }

    /// The kind in words.
    pub fn words(self) -> &'static str {
        match self {
            Self::Tree => "settings tree",
            Self::Edits => "edits",
            Self::Process => "process settings",
            Self::Ctl => "settings of sesamegap-ctl",
            Self::Standin => "settings of sesamegap-standin",
        }
    }
}

/// What can be published.
#[derive(Debug)]
pub enum Publishable {
    /// A whole tree.
    Tree(Box<Tree>),
    /// Some edits.
    Edits(Vec<Edit>),
}

/// Checks a file of any kind.
///
/// # Errors
/// With all findings and their places.
pub fn check(file: &Path) -> Result<FileKind, SettingsError> {
    let document = open(file)?;
    let value = document.value();
    let kind = FileKind::of(value);
    let mut findings = Findings::default();
    match kind {
        FileKind::Tree => {
            read_tree(value, &mut findings);
        }
        FileKind::Edits => {
            read_edits(value, &mut findings);
        }
        FileKind::Process => drop(ProcessConfig::from_value(value, &mut findings)),
        FileKind::Ctl => drop(CtlConfig::from_value(value, &mut findings)),
        FileKind::Standin => drop(StandinConfig::from_value(value, &mut findings)),
    }
    finish(&document, findings, kind)
}

/// Reads a file with a tree or with edits.
///
/// # Errors
/// With all findings and their places.
pub fn publishable(file: &Path) -> Result<Publishable, SettingsError> {
    let document = open(file)?;
    let value = document.value();
    let mut findings = Findings::default();
    let content = match FileKind::of(value) {
        FileKind::Tree => Publishable::Tree(Box::new(read_tree(value, &mut findings))),
        FileKind::Edits => Publishable::Edits(read_edits(value, &mut findings)),
        other => {
            let wrong = format!("the file holds {}", other.words());
            findings.add("", wrong, "a file with `tree` or `edits`");
            Publishable::Edits(Vec::new())
        }
    };
    finish(&document, findings, content)
}

fn open(file: &Path) -> Result<Document, SettingsError> {
    Document::parse(&file.display().to_string(), &read::text(file)?)
}

fn finish<T>(document: &Document, mut findings: Findings, read: T) -> Result<T, SettingsError> {
    if findings.is_empty() {
        return Ok(read);
    }
    document.locate(&mut findings);
    Err(SettingsError::Invalid(findings))
}

/// Reads the `tree` of a file, with a finding for each thing that is wrong.
pub fn read_tree(value: &Value, findings: &mut Findings) -> Tree {
    const KEYS: [&str; 3] = ["tree", "site", "traffic"];
    unknown_keys(value, &KEYS, findings);
    crate::site::check(value, findings);
    let tree = Tree::read(&value["tree"], "tree", findings);
    let mut within = Findings::default();
    Catalogue::resolve(&tree, &mut within);
    for mut finding in within {
        finding.path.insert_str(0, "tree/");
        // A value that is not valid was left out, so what its default refers to is beside the point.
        if !findings.has_path(&finding.path) {
            findings.push(finding);
        }
    }
    tree
}

fn read_edits(value: &Value, findings: &mut Findings) -> Vec<Edit> {
    unknown_keys(value, &["edits"], findings);
    let Some(items) = value["edits"].as_array() else {
        findings.add("edits", "not a list", "a list of {\"path\", \"value\"}");
        return Vec::new();
    };
    let mut edits = Vec::new();
    for (index, item) in items.iter().enumerate() {
        let at = format!("edits/{index}");
        match serde_json::from_value::<RawEdit>(item.clone()) {
            Err(error) => findings.add(&at, error.to_string(), "{\"path\", \"value\"}"),
            Ok(raw) => match raw.path.parse::<TreePath>() {
                Ok(path) => edits.push(Edit {
                    path,
                    value: raw.value,
                }),
                Err(error) => findings.add(&format!("{at}/path"), "not a path", error.allowed()),
            },
        }
    }
    edits
}

fn unknown_keys(value: &Value, known: &[&str], findings: &mut Findings) {
    let keys = value
        .as_object()
        .into_iter()
        .flat_map(|object| object.keys());
    for key in keys.filter(|key| !known.contains(&key.as_str())) {
        let wrong = format!("unknown key `{key}`");
        findings.add(key, wrong, format!("one of {}", known.join(", ")));
    }
}
