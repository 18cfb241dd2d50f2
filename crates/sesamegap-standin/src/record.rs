//! The record of what was run, against which refusals and promises are checked.
//!
//! It is the stand-ins' own knowledge and no part of any protocol: a router that says a request was
//! not run is right only if the request is not in here.

use serde::{Deserialize, Serialize};
use sesamegap_wire::{RequestId, UpstreamId};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// One attempt at a request that some upstream ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request.
    pub request: RequestId,
    /// The attempt; plain services know of none, theirs is 0.
    pub attempt: u32,
    /// Who ran it.
    pub upstream: UpstreamId,
    /// How often.
    pub count: u32,
}

/// All that was run so far.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executions {
    /// How often each idempotency key ran.
    pub keys: BTreeMap<SmolStr, u32>,
    /// How often each attempt ran, and where.
    pub requests: Vec<Run>,
}

impl Executions {
    /// How often an idempotency key ran.
    pub fn of_key(&self, key: &str) -> u32 {
        self.keys.get(key).copied().unwrap_or(0)
    }

    /// How often a request ran, in all its attempts.
    pub fn of_request(&self, request: &RequestId) -> u32 {
        let own = self.requests.iter().filter(|run| run.request == *request);
        own.map(|run| run.count).sum()
    }
}

type Place = (RequestId, u32, UpstreamId);

#[derive(Debug, Default)]
struct Counts {
    keys: BTreeMap<SmolStr, u32>,
    requests: BTreeMap<Place, u32>,
}

/// Where stand-ins write down what they run.
#[derive(Debug, Default)]
pub(crate) struct Record(Mutex<Counts>);

impl Record {
    /// Writes down a run and returns how often its key ran, this time included.
    pub(crate) fn ran(
        &self,
        request: &RequestId,
        attempt: u32,
        upstream: &UpstreamId,
        key: Option<&str>,
    ) -> u32 {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let place = (request.clone(), attempt, upstream.clone());
        *counts.requests.entry(place).or_default() += 1;
        let Some(key) = key else {
            return 1;
        };
        let count = counts.keys.entry(SmolStr::new(key)).or_default();
        *count += 1;
        *count
    }

    /// All that was run so far.
    pub(crate) fn read(&self) -> Executions {
        let counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let run = |(place, count): (&Place, &u32)| Run {
            request: place.0.clone(),
            attempt: place.1,
            upstream: place.2.clone(),
            count: *count,
        };
        Executions {
            keys: counts.keys.clone(),
            requests: counts.requests.iter().map(run).collect(),
        }
    }
}
