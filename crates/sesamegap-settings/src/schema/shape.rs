//! Types and bounds of setting values.

use super::units;
use crate::findings::shown;
use serde_json::Value;
use sesamegap_wire::TeamId;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of items in one list.
pub const MAX_LIST: usize = 256;

/// Maximum length of a name, the limit of identifiers in `sesamegap-wire`.
const MAX_NAME: usize = sesamegap_wire::ids::MAX_NAME_BYTES;

/// Keyword for an unlimited rate.
pub const UNLIMITED: &str = "unlimited";

/// Type and bounds of a value; ranges are inclusive.
#[derive(Debug, Clone, Copy)]
pub enum Shape {
    /// `true` or `false`.
    Flag,
    /// An integer: minimum, maximum and unit.
    Whole(u64, u64, &'static str),
    /// A number: minimum, maximum and unit.
    Real(f64, f64, &'static str),
    /// A number or the keyword `unlimited`: minimum, maximum and unit.
    Rate(f64, f64, &'static str),
    /// A duration: minimum and maximum in milliseconds.
    Span(u64, u64),
    /// A size: minimum and maximum in bytes.
    Size(u64, u64),
    /// An identifier.
    Name,
    /// A list of identifiers.
    Names,
    /// A BLAKE3 hash in hexadecimal.
    Hash,
    /// A list of BLAKE3 hashes.
    Hashes,
    /// An IP address and port.
    Socket,
    /// The URL of an HTTP server, without a path.
    Server,
    /// A list of HTTP server URLs.
    Servers,
    /// Text: minimum and maximum length in bytes.
    Text(usize, usize),
}

impl Shape {
    /// Unit of the value, or its type if it has no unit.
    pub fn unit(&self) -> &'static str {
        match self {
            Self::Flag => "flag",
            Self::Whole(_, _, unit) | Self::Real(_, _, unit) | Self::Rate(_, _, unit) => unit,
            Self::Span(..) => "span of time",
            Self::Size(..) => "size",
            Self::Name => "name",
            Self::Names => "names",
            Self::Hash => "hash",
            Self::Hashes => "hashes",
            Self::Socket => "IP:PORT",
            Self::Server => "http://IP:PORT",
            Self::Servers => "list of http://IP:PORT",
            Self::Text(..) => "text",
        }
    }

    /// Describes the allowed values, for findings.
    pub fn allowed(&self) -> String {
        match self {
            Self::Flag => "true or false".to_owned(),
            Self::Whole(least, most, _) => format!("a whole number from {least} to {most}"),
            Self::Real(least, most, _) => format!("a number from {least} to {most}"),
            Self::Rate(least, most, _) => {
                format!("a number from {least} to {most}, or \"{UNLIMITED}\"")
            }
            Self::Span(least, most) => {
                let text = |ms| units::span_text(Duration::from_millis(ms));
                format!(
                    "\"{}\" to \"{}\" in ms, s, m or h",
                    text(*least),
                    text(*most)
                )
            }
            Self::Size(least, most) => {
                let text = units::size_text;
                format!(
                    "\"{}\" to \"{}\" in B, KiB, MiB or GiB",
                    text(*least),
                    text(*most)
                )
            }
            Self::Name => format!("1 to {MAX_NAME} letters, digits, `-`, `_`, `.` or `:`"),
            Self::Names => format!(
                "up to {MAX_LIST} different names of 1 to {MAX_NAME} letters, digits, `-`, `_`, `.` or `:`"
            ),
            Self::Hash => "64 hexadecimal digits in lower case".to_owned(),
            Self::Hashes => {
                format!("up to {MAX_LIST} different hashes of 64 hexadecimal digits in lower case")
            }
            Self::Socket => "an IP address and a port, as in \"10.0.0.1:7000\"".to_owned(),
            Self::Server => {
                "an HTTP server by IP address and port, as in \"http://10.0.0.1:7000\"".to_owned()
            }
            Self::Servers => {
                format!("up to {MAX_LIST} different servers, as in \"http://10.0.0.1:7000\"")
            }
            Self::Text(least, most) => format!("text of {least} to {most} bytes"),
        }
    }

    /// Whether a value has this type and is within the bounds.
    pub fn admits(&self, value: &Value) -> bool {
        match self {
            Self::Flag => value.is_boolean(),
            Self::Whole(least, most, _) => {
                whole(value).is_some_and(|n| (*least..=*most).contains(&n))
            }
            Self::Real(least, most, _) => real(value, *least, *most),
            Self::Rate(least, most, _) => {
                value.as_str() == Some(UNLIMITED) || real(value, *least, *most)
            }
            Self::Span(least, most) => {
                let bounds = Duration::from_millis(*least)..=Duration::from_millis(*most);
                text(value, |t| {
                    units::span(t).is_some_and(|s| bounds.contains(&s))
                })
            }
            Self::Size(least, most) => text(value, |t| {
                units::size(t).is_some_and(|s| (*least..=*most).contains(&s))
            }),
            Self::Name => text(value, is_name),
            Self::Names => list(value, is_name),
            Self::Hash => text(value, is_hash),
            Self::Hashes => list(value, is_hash),
            Self::Socket => text(value, |t| t.parse::<SocketAddr>().is_ok()),
            Self::Server => text(value, is_server),
            Self::Servers => list(value, is_server),
            Self::Text(least, most) => text(value, |t| (*least..=*most).contains(&t.len())),
        }
    }
}

/// Whether text is a valid identifier; all identifier types of `sesamegap-wire` share one syntax.
pub fn is_name(text: &str) -> bool {
    text.parse::<TeamId>().is_ok()
}

fn is_hash(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}

fn is_server(text: &str) -> bool {
    text.strip_prefix("http://")
        .is_some_and(|rest| rest.parse::<SocketAddr>().is_ok())
}

fn whole(value: &Value) -> Option<u64> {
    value.as_u64()
}

fn real(value: &Value, least: f64, most: f64) -> bool {
    value.as_f64().is_some_and(|n| (least..=most).contains(&n))
}

fn text(value: &Value, check: impl Fn(&str) -> bool) -> bool {
    value.as_str().is_some_and(check)
}

fn list(value: &Value, check: impl Fn(&str) -> bool) -> bool {
    let Some(items) = value.as_array() else {
        return false;
    };
    let distinct = |index: usize| !items[..index].contains(&items[index]);
    items.len() <= MAX_LIST
        && items.iter().all(|item| text(item, &check))
        && (0..items.len()).all(distinct)
}

/// Formats a value for a finding, abbreviating objects and long lists.
pub fn brief(value: &Value) -> String {
    match value {
        Value::Object(_) => "an object".to_owned(),
        Value::Array(items) if items.len() > 4 => format!("a list of {}", items.len()),
        other => format!("`{}`", shown(&other.to_string())),
    }
}
