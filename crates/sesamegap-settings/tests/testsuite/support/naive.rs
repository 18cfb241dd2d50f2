//! Naive reference implementation of the fold, used as a test oracle.
//!
//! The tree is one JSON value, each change is compared with all changes before it, and every value
//! is found by walking from the object to the root.

use serde_json::{Map, Value};
use sesamegap_settings::schema::Kind;
use sesamegap_settings::{Catalogue, Change, ChangeId, Findings, Outcome, Tree};
use sesamegap_wire::Offset;

/// Outcome of a change in the reference implementation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    Accepted,
    Conflict(Offset),
    Invalid,
}

/// The expected state at one log position.
#[derive(Debug, Clone, Default)]
pub struct Oracle {
    pub tree: Value,
    pub revision: Offset,
    accepted: Vec<(Offset, Change)>,
    pub judged: Vec<(ChangeId, Verdict)>,
}

impl Oracle {
    pub fn new() -> Self {
        Self {
            tree: Value::Object(Map::new()),
            ..Self::default()
        }
    }

    /// The state after applying one more record.
    pub fn after(&self, offset: Offset, body: &[u8]) -> Self {
        let mut next = self.clone();
        let Ok(change) = Change::decode(body) else {
            return next;
        };
        if next.judged.iter().any(|(id, _)| *id == change.id) {
            return next;
        }
        let id = change.id;
        let verdict = next.judge(offset, change);
        next.judged.push((id, verdict));
        next
    }

    fn judge(&mut self, offset: Offset, change: Change) -> Verdict {
        if change.base > offset {
            return Verdict::Invalid;
        }
        let newer = self
            .accepted
            .iter()
            .rev()
            .filter(|(revision, _)| *revision > change.base);
        let overlapping = |other: &Change| {
            let mut pairs = other
                .edits
                .iter()
                .flat_map(|o| change.edits.iter().map(move |e| (o, e)));
            pairs.any(|(o, e)| overlap(o.path.as_str(), e.path.as_str()))
        };
        if let Some((revision, _)) = { newer }.find(|(_, other)| overlapping(other)) {
            return Verdict::Conflict(*revision);
        }
        let mut tree = self.tree.clone();
        let applied = change.edits.iter().all(|edit| {
            let parts: Vec<&str> = edit.path.as_str().split('/').collect();
            set(&mut tree, &parts, edit.value.clone()) && read(&tree).is_some()
        });
        if !applied || resolve(&tree).is_none() {
            return Verdict::Invalid;
        }
        self.tree = tree;
        self.revision = offset.next();
        self.accepted.push((self.revision, change));
        Verdict::Accepted
    }

    /// The catalogue, resolved from the whole tree.
    pub fn catalogue(&self) -> Catalogue {
        let mut catalogue = resolve(&self.tree).expect("only valid trees are accepted");
        catalogue.revision = self.revision;
        catalogue
    }
}

/// Whether an outcome matches the oracle's verdict.
pub fn agrees(outcome: &Outcome, verdict: Verdict) -> bool {
    match outcome {
        Outcome::Accepted { .. } => verdict == Verdict::Accepted,
        Outcome::Conflict { winner, .. } => verdict == Verdict::Conflict(*winner),
        Outcome::Invalid(_) => verdict == Verdict::Invalid,
        _ => false,
    }
}

fn overlap(one: &str, other: &str) -> bool {
    let parts = |path: &str| path.split('/').map(str::to_owned).collect::<Vec<_>>();
    let (one, other) = (parts(one), parts(other));
    one.starts_with(&other) || other.starts_with(&one)
}

/// Parses the tree; `None` if any value is invalid on its own.
fn read(tree: &Value) -> Option<Tree> {
    let mut findings = Findings::default();
    let tree = Tree::read(tree, "", &mut findings);
    findings.is_empty().then_some(tree)
}

fn resolve(tree: &Value) -> Option<Catalogue> {
    let mut findings = Findings::default();
    let catalogue = Catalogue::resolve(&read(tree)?, &mut findings);
    findings.is_empty().then_some(catalogue)
}

/// Sets or removes the value at a path. `false` if the edit is not possible there.
fn set(at: &mut Value, parts: &[&str], value: Option<Value>) -> bool {
    let object = at.as_object_mut().expect("an object");
    match (parts, value) {
        (["groups", name], None) => take(object, "groups", name),
        (["groups", name], Some(value)) => put(object, "groups", name, value),
        (["groups", name, rest @ ..], value) => {
            let below = object
                .get_mut("groups")
                .and_then(|groups| groups.get_mut(name));
            below.is_some_and(|group| set(group, rest, value))
        }
        (["defaults", kind], Some(value)) => put(object, "defaults", kind, value),
        (["defaults", kind], None) => {
            // Every group has defaults of each kind, possibly empty, so removal always succeeds.
            take(object, "defaults", kind);
            true
        }
        (["defaults", kind, field], value) => {
            let defaults = entry(object, "defaults");
            let own = entry(defaults, kind);
            leaf(own, field, value)
        }
        ([kind, name], Some(value)) => put(object, kind, name, value),
        ([kind, name], None) => take(object, kind, name),
        ([kind, name, field], value) => {
            let own = object.get_mut(*kind).and_then(|items| items.get_mut(name));
            let own = own.and_then(Value::as_object_mut);
            own.is_some_and(|own| leaf(own, field, value))
        }
        _ => false,
    }
}

fn entry<'a>(object: &'a mut Map<String, Value>, key: &str) -> &'a mut Map<String, Value> {
    let below = object
        .entry(key)
        .or_insert_with(|| Value::Object(Map::new()));
    below.as_object_mut().expect("an object")
}

fn put(object: &mut Map<String, Value>, key: &str, name: &str, value: Value) -> bool {
    entry(object, key).insert(name.to_owned(), value);
    true
}

fn take(object: &mut Map<String, Value>, key: &str, name: &str) -> bool {
    entry(object, key).remove(name).is_some()
}

fn leaf(own: &mut Map<String, Value>, field: &str, value: Option<Value>) -> bool {
    match value {
        Some(value) => {
            own.insert(field.to_owned(), value);
            true
        }
        None => own.remove(field).is_some(),
    }
}

/// The tree without empty containers, as [`Tree::to_value`] writes it.
pub fn tidy(tree: &Value) -> Value {
    let Some(object) = tree.as_object() else {
        return tree.clone();
    };
    let full = |value: &Value| value.as_object().is_some_and(|object| !object.is_empty());
    let mut out = Map::new();
    for (key, value) in object.iter().filter(|(_, value)| full(value)) {
        let children = value.as_object().into_iter().flatten();
        let kept: Map<String, Value> = match key.as_str() {
            "groups" => children
                .map(|(name, group)| (name.clone(), tidy(group)))
                .collect(),
            "defaults" => children.filter(|(_, own)| full(own)).map(owned).collect(),
            _ => children.map(owned).collect(),
        };
        if !kept.is_empty() {
            out.insert(key.clone(), Value::Object(kept));
        }
    }
    Value::Object(out)
}

fn owned((key, value): (&String, &Value)) -> (String, Value) {
    (key.clone(), value.clone())
}

/// A field's value and origin, found by walking from the object to the root.
pub fn walk(tree: &Value, groups: &[&str], kind: Kind, name: &str, field: &str) -> (Value, String) {
    let mut levels = vec![(String::new(), tree)];
    for group in groups {
        let (path, above) = levels.last().expect("the root");
        let path = join(path, &format!("groups/{group}"));
        levels.push((path, &above["groups"][group]));
    }
    let (path, innermost) = levels.last().expect("the root");
    if let Some(value) = innermost[kind.plural()][name].get(field) {
        return (
            value.clone(),
            join(path, &format!("{}/{name}", kind.plural())),
        );
    }
    for (path, level) in levels.iter().rev() {
        if let Some(value) = level["defaults"][kind.single()].get(field) {
            return (value.clone(), join(path, &format!("defaults/{kind}")));
        }
    }
    let described = kind
        .fields()
        .iter()
        .find(|f| f.name == field)
        .expect("a field");
    let text = described.default.expect("a default");
    (
        serde_json::from_str(text).expect("JSON"),
        "built-in".to_owned(),
    )
}

fn join(path: &str, rest: &str) -> String {
    if path.is_empty() {
        rest.to_owned()
    } else {
        format!("{path}/{rest}")
    }
}
