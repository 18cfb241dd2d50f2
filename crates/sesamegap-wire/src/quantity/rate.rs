//! A number of requests a second.

use crate::error::ParseError;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

/// Highest rate, in requests a second: a higher one is no limit to any fleet, and sums of it would overflow.
const MAX_RATE: f64 = 1e9;

/// Requests a second that an upstream takes from all VMs together: zero or more, and finite.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// A rate, at most a thousand million; `None` if the number is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then_some(Self(per_second.min(MAX_RATE)))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RequestRate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let shown = || text.chars().take(32).collect::<String>();
        let number: Option<f64> = text.parse().ok();
        number
            .and_then(Self::new)
            .ok_or_else(|| ParseError::new("rate of requests", shown(), "a number, zero or more"))
    }
}

impl Serialize for RequestRate {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_f64(self.0)
    }
}

impl<'de> Deserialize<'de> for RequestRate {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let number = f64::deserialize(deserializer)?;
        Self::new(number).ok_or_else(|| serde::de::Error::custom("a rate below zero"))
    }
}
