//! Sends a request to upstreams and its answer back.
//!
//! [`plain`] relays whole answers, [`stream`] events as they come. Both go through [`attempt`]:
//! what became of a request at one upstream decides what may follow. What was not run may always
//! go to another upstream; what may have run is sent again only where the route allows it and the
//! fleet's budget for repeats has room.

mod attempt;
mod head;
mod loss;
mod plain;
mod progress;
mod request_log;
pub mod sse;
mod stream;
mod transfer;
mod waiting;

use crate::catalogue::{Catalogue, Route, Team};
use crate::core::Core;
use crate::fleet::PromptShape;
use crate::intake::{Body, Refusal};
use crate::ports::RequestHead;
use bytes::Bytes;
use http::{HeaderMap, Method, Response, Uri};
use rustc_hash::FxHasher;
use sesamegap_policy::routing::engines::{Prefix, Prompt};
use sesamegap_wire::{Fingerprint, ServiceId};
use std::hash::{Hash, Hasher};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// A request that was taken in.
#[derive(Debug)]
pub struct Job {
    /// What its head says.
    pub head: RequestHead,
    /// The document that it is handled under.
    pub catalogue: Arc<Catalogue>,
    /// Its route.
    pub route: Arc<Route>,
    /// Its team, if it showed a key.
    pub team: Option<Arc<Team>>,
    /// Its method.
    pub method: Method,
    /// Its target.
    pub uri: Uri,
    /// Its headers as the caller sent them.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Room that its body takes, given back with the request.
    pub body_permit: Option<OwnedSemaphorePermit>,
    /// When it came.
    pub arrived: Instant,
    /// When its caller or its route gives up.
    pub deadline: Instant,
    /// Its fingerprint, once it was asked for.
    pub fingerprint: OnceLock<Fingerprint>,
}

impl Job {
    /// Time left.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// What to answer when it may have run and no whole answer came.
    fn lost(&self) -> Refusal {
        if self.time_left().is_zero() {
            Refusal::Timeout
        } else {
            Refusal::Lost
        }
    }

    /// A number that is the same for all attempts of this request.
    fn hash(&self) -> u64 {
        let mut hasher = FxHasher::default();
        self.head.id.hash(&mut hasher);
        hasher.finish()
    }

    /// The same for all sends of this request, by whichever VM.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let caller = self.team.as_ref().map(|team| team.name.as_str());
            let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
            let target = format!("{} {path}", self.method);
            Fingerprint::of(&target, caller, &self.body)
        })
    }

    /// The service that it goes to, by the shares of its route.
    fn service(&self) -> &ServiceId {
        let targets = &self.route.targets;
        let total: u32 = targets.iter().map(|target| target.weight).sum();
        let mut point = u32::try_from(self.hash() >> 32).unwrap_or(0) % total.max(1);
        for target in targets {
            if point < target.weight {
                return &target.service;
            }
            point -= target.weight;
        }
        &targets[0].service
    }

    /// Its prompt's shape, if it names a model.
    fn shape(&self) -> Option<PromptShape> {
        let model = self.head.model.clone()?;
        let parts = &self.head.parts;
        // A prompt without named parts goes anywhere too, but not on weights that are too old.
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let mut hasher = FxHasher::default();
        let mut tokens = 0;
        // An isolated team's cache entries are found by no other team, so its prefixes are its own.
        let isolated = self.team.as_ref().filter(|team| team.isolated);
        isolated.map(|team| team.name.as_str()).hash(&mut hasher);
        // A prompt with nothing shared goes anywhere, which its own part decides as well as any.
        let named = if shared.is_empty() { parts } else { shared };
        let prefixes = named.iter().map(|part| {
            part.name.hash(&mut hasher);
            tokens += part.tokens.0;
            Prefix {
                hash: hasher.finish(),
                tokens,
            }
        });
        let prefixes = prefixes.collect();
        let all: u64 = parts.iter().map(|part| part.tokens.0).sum();
        Some(PromptShape {
            model,
            prompt: Prompt {
                prefixes,
                tokens: all,
            },
        })
    }
}

/// Serves a request.
pub async fn run(core: &Arc<Core>, job: Job) -> Response<Body> {
    core.count_request(job.service());
    if job.route.kind.streams() {
        stream::run(Arc::clone(core), job).await
    } else {
        plain::run(core, &job).await
    }
}
