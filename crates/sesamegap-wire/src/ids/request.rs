//! Request ids, which contain the router that issued them.

use super::VmId;
use crate::error::ParseError;
use crate::quantity::Incarnation;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

const ALLOWED: &str = "`VM~INCARNATION~SEQUENCE`, the numbers in hexadecimal";

/// The id of a request, which includes the incarnation of the router that accepted it.
///
/// A restarted router has a new incarnation, so it never issues the same id twice, and any router
/// can tell from the id alone which router handled the request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// VM of the router that issued the id.
    pub vm: VmId,
    /// That router's incarnation.
    pub incarnation: Incarnation,
    /// Sequence number of the request within this incarnation.
    pub seq: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{:x}~{:x}", self.vm, self.incarnation.0, self.seq)
    }
}

impl FromStr for RequestId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let invalid = || {
            let shown: String = text.chars().take(128).collect();
            ParseError::new("request id", shown, ALLOWED)
        };
        let mut parts = text.split('~');
        let (Some(vm), Some(incarnation), Some(seq), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(invalid());
        };
        Ok(Self {
            vm: vm.parse().map_err(|_| invalid())?,
            incarnation: Incarnation(u64::from_str_radix(incarnation, 16).map_err(|_| invalid())?),
            seq: u64::from_str_radix(seq, 16).map_err(|_| invalid())?,
        })
    }
}

impl Serialize for RequestId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for RequestId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
