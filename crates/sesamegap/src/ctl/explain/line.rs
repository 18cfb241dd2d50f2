//! A line of a VM's log, and what it says.

use serde::Deserialize;
use serde_json::{Map, Value};
use smol_str::SmolStr;
use time::OffsetDateTime;

/// A line that carries an event number.
#[derive(Debug, Clone)]
pub struct Line {
    /// When it was logged, by the clock of its VM.
    pub at: OffsetDateTime,
    /// The VM that logged it.
    pub vm: SmolStr,
    /// What it says.
    pub said: Said,
    /// Its text.
    pub message: String,
    /// Its other fields.
    pub fields: Map<String, Value>,
}

/// What a line says, as far as a request's story needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Said {
    /// What became of a request.
    Step(SmolStr, Step),
    /// What a VM believes from now on.
    Belief(Topic),
    /// The store, a peer or the lease was lost or is back, or the process started or stops.
    Trouble,
    /// Nothing that a story needs.
    Else,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Refused before it was placed.
    Refused,
    /// Sent to an upstream.
    Sent(SmolStr),
    /// An attempt at an upstream failed.
    Failed(SmolStr),
    /// Its connection to an upstream broke.
    Broke(SmolStr),
    /// Upstreams had ended under it before; by its fingerprint.
    Held(SmolStr),
    /// It ended.
    Ended,
    /// Its caller left.
    Left,
}

/// What a belief is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Topic {
    /// The document in force.
    Document,
    /// The newest weights of a model.
    Weights(SmolStr),
    /// An upstream, by the number of the event: the last word on it, one discarded, its last order.
    Upstream(SmolStr, u16),
    /// A request under which upstreams ended, by its fingerprint.
    Request(SmolStr),
}

/// A line that is no JSON object, or lacks what its event always has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unreadable;

#[derive(Debug, Deserialize)]
struct Raw {
    #[serde(with = "time::serde::rfc3339")]
    timestamp: OffsetDateTime,
    event: Option<u16>,
    #[serde(default)]
    message: String,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; none if it is empty or carries no event number.
    ///
    /// # Errors
    ///
    /// [`Unreadable`].
    pub fn read(text: &str, stem: &str) -> Result<Option<Self>, Unreadable> {
        if text.trim().is_empty() {
            return Ok(None);
        }
        let (prefix, json) = text.split_at(text.find('{').ok_or(Unreadable)?);
        let raw: Raw = serde_json::from_str(json).map_err(|_| Unreadable)?;
        let Some(event) = raw.event else {
            return Ok(None);
        };
        Ok(Some(Self {
            at: raw.timestamp,
            vm: vm(prefix).unwrap_or(stem).into(),
            said: said(event, &raw.fields).ok_or(Unreadable)?,
            message: raw.message,
            fields: raw.fields,
        }))
    }

    /// What it says of a request.
    pub fn step(&self) -> Option<&Step> {
        match &self.said {
            Said::Step(_, step) => Some(step),
            _ => None,
        }
    }

    /// A field as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// A field as text, without quotes; nothing if the line lacks it.
    pub fn text(&self, name: &str) -> String {
        self.fields.get(name).map_or_else(String::new, text)
    }
}

/// A value as text. Some lines have a name as `Some(UpstreamId("i-1"))`, which would never be found
/// when it is compared with the other lines' names.
pub fn text(value: &Value) -> String {
    match value.as_str() {
        Some(text) if text.contains("Id(\"") => text.split('"').nth(1).unwrap_or(text).to_owned(),
        Some(text) => text.to_owned(),
        None => value.to_string(),
    }
}

/// The VM that a prefix names: its last word that begins with a letter, which times of collectors
/// do not.
fn vm(prefix: &str) -> Option<&str> {
    let words = prefix.split(char::is_whitespace);
    let mut words = words.map(|word| word.trim_matches(|c: char| !c.is_alphanumeric()));
    words.rfind(|word| word.starts_with(char::is_alphabetic))
}

/// What a line says by its event number, which never changes its meaning (`docs/events.md`).
fn said(event: u16, fields: &Map<String, Value>) -> Option<Said> {
    let name = |name| fields.get(name).map(text).map(SmolStr::from);
    let step = |step| Some(Said::Step(name("request")?, step));
    match event {
        750 | 760 => step(Step::Refused),
        751 => step(Step::Sent(name("upstream")?)),
        752 => step(Step::Failed(name("upstream")?)),
        753 => step(Step::Ended),
        754 => step(Step::Left),
        756 => step(Step::Broke(name("upstream")?)),
        758 => step(Step::Held(name("fingerprint")?)),
        710 => Some(Said::Belief(Topic::Document)),
        711 => Some(Said::Belief(Topic::Weights(name("model")?))),
        713 | 714 => Some(Said::Belief(Topic::Upstream(name("upstream")?, event))),
        741 => Some(Said::Belief(Topic::Upstream(name("engine")?, event))),
        757 => Some(Said::Belief(Topic::Request(name("fingerprint")?))),
        700..=704 | 720..=722 | 730 | 731 | 740 | 761 => Some(Said::Trouble),
        _ => Some(Said::Else),
    }
}
