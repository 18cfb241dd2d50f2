//! Identifier types.
//!
//! A name is a short string of ASCII letters, digits, `-`, `_`, `.` and `:`; anything else is
//! rejected when parsed, so that a name needs no escaping in a path, a header or a log line.

mod request;
mod software;

pub use request::RequestId;
pub use software::SoftwareVersion;

use crate::error::ParseError;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use smol_str::SmolStr;
use std::fmt;
use std::str::FromStr;

/// Maximum length of a name in bytes. A longer one is a mistake or an attempt to exhaust memory.
pub const MAX_NAME_BYTES: usize = 64;

const ALLOWED: &str = "1 to 64 letters, digits, `-`, `_`, `.` or `:`";

fn is_valid_name(text: &str) -> bool {
    let fits = (1..=MAX_NAME_BYTES).contains(&text.len());
    fits && text
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || b"-_.:".contains(&b))
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $type(SmolStr);

        impl $type {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $type {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                if is_valid_name(text) {
                    Ok(Self(SmolStr::new(text)))
                } else {
                    Err(ParseError::new($kind, text.chars().take(MAX_NAME_BYTES).collect::<String>(), ALLOWED))
                }
            }
        }

        impl Serialize for $type {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = SmolStr::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

name!(
    /// A team of callers, with its own keys, limits and cache namespace.
    TeamId,
    "team"
);
name!(
    /// A traffic class, which determines priority and deadline.
    ClassId,
    "class"
);
name!(
    /// A model, by the name that callers use.
    ModelId,
    "model"
);
name!(
    /// An upstream: a model engine, the kept-KV store or a worker of a plain service.
    UpstreamId,
    "upstream"
);
name!(
    /// A plain service beside the model engines.
    ServiceId,
    "service"
);
name!(
    /// An entry VM, which runs the system's own processes.
    VmId,
    "VM"
);
name!(
    /// A failure domain.
    DomainId,
    "failure domain"
);
name!(
    /// A stream of the platform's log.
    StreamId,
    "log stream"
);
