//! A request that was accepted and is to be forwarded.

use crate::catalogue::{Catalogue, Kind, Route, Team};
use crate::core::Arrival;
use crate::fleet::PromptShape;
use crate::ports::{PromptPart, RequestHead};
use crate::quota::Charged;
use crate::refusal::Refusal;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use rustc_hash::FxHasher;
use sesamegap_policy::quarantine::Subjects;
use sesamegap_policy::resumption::{self, Origin, StreamKey};
use sesamegap_policy::routing::engines::{Prefix, Prompt};
use sesamegap_wire::{Fingerprint, ServiceId};
use std::hash::{Hash, Hasher};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// Fraction of the latency objective that a request may wait before it is refused, as a divisor.
const WAIT_DIVISOR: u32 = 8;

/// Maximum number of shared parts of a prompt that are told apart; prompts are nested in a few levels.
const MAX_SHARED_PARTS: usize = 8;

/// An accepted request.
#[derive(Debug)]
pub struct Job {
    /// Fields parsed from its headers.
    pub head: RequestHead,
    /// The configuration in force when it was accepted.
    pub catalogue: Arc<Catalogue>,
    /// The matched route.
    pub route: Arc<Route>,
    /// The team that its API key belongs to, if it carried one.
    pub team: Option<Arc<Team>>,
    /// HTTP method.
    pub method: Method,
    /// Request target.
    pub uri: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Buffered request body.
    pub body: Bytes,
    /// Share of the body memory limit that it occupies, released when the request is dropped.
    pub body_permit: Option<OwnedSemaphorePermit>,
    /// When and on what connection its head arrived.
    pub arrival: Arrival,
    /// The earlier of the caller's deadline and the route's timeout.
    pub deadline: Instant,
    /// The charge to its team's rate limit, if it has one.
    pub charge: Option<Charged>,
    /// The version at which it must run, if it takes a stream up again.
    pub origin: Option<Origin>,
    /// Whether any of it may have reached an upstream.
    pub sent: Arc<AtomicBool>,
    /// Computed on first use by [`Job::subjects`].
    pub subjects: OnceLock<Arc<Subjects>>,
}

/// Priorities of routes that are told apart within one priority of a team.
const CLASSES: u8 = 3;

/// The least urgent priority that engines know.
const LAST_RANK: u8 = 9;

impl Job {
    /// Time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Until when it may wait, from now on, for an upstream or for tokens of its team.
    ///
    /// Such states often end within moments, but a long wait would only keep the caller from retrying.
    pub fn wait_deadline(&self) -> Instant {
        let wait = self.route.objective / WAIT_DIVISOR;
        self.deadline.min(Instant::now() + wait)
    }

    /// Its priority; 0 is the most urgent.
    pub fn priority(&self) -> u8 {
        let priority = self.team.as_ref().and_then(|team| team.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// Its priority at an engine if admission orders prompts: that of its team or route first, then that of its route.
    ///
    /// A team's priority overrides those of its routes, but does not make its own urgent prompts wait behind its others.
    pub fn rank(&self) -> u8 {
        let rank = self
            .priority()
            .saturating_mul(CLASSES)
            .saturating_add(self.route.priority.min(CLASSES - 1));
        rank.min(LAST_RANK)
    }

    /// The error response if it may have run and no complete response arrived.
    pub fn lost_refusal(&self) -> Refusal {
        if self.time_left().is_zero() {
            Refusal::Timeout
        } else {
            Refusal::Lost
        }
    }

    /// Hash of the request id, the same for all attempts.
    pub fn hash(&self) -> u64 {
        let mut hasher = FxHasher::default();
        self.head.id.hash(&mut hasher);
        hasher.finish()
    }

    /// Identifies the request across attempts and VMs.
    pub fn fingerprint(&self) -> Fingerprint {
        self.subjects().request()
    }

    /// What a crash of its upstream counts against: the request and the shared parts of its prompt.
    pub fn subjects(&self) -> &Arc<Subjects> {
        self.subjects.get_or_init(|| {
            let caller = self.team.as_ref().map(|team| team.name.as_str());
            let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
            let target = format!("{} {path}", self.method);
            let request = Fingerprint::of(&target, caller, &self.body);
            let model = self.head.model.as_deref().unwrap_or_default();
            let parts = self.shared_parts().iter();
            let parts = parts.map(|part| Fingerprint::of_part(model, &part.name));
            Arc::new(Subjects::new(parts, caller, request))
        })
    }

    /// The parts of its prompt that other prompts may share, outermost first: all but the last.
    ///
    /// Callers name the parts, so their number is limited.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let parts = &self.head.parts;
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        &shared[..shared.len().min(MAX_SHARED_PARTS)]
    }

    /// Names of the shared parts for a log line, if there are any.
    pub fn part_names(&self) -> Option<String> {
        let names = self.shared_parts().iter().map(|part| part.name.as_str());
        let names: Vec<&str> = names.collect();
        (!names.is_empty()).then(|| names.join(","))
    }

    /// Whether it takes up a stream that an earlier attempt of its caller began.
    pub fn takes_up(&self) -> bool {
        let head = &self.head;
        let is_named = head.after.is_some() || head.resumes.is_some();
        is_named && self.route.kind == Kind::ResumableStream
    }

    /// Identifies its stream over all attempts of the caller.
    pub fn stream_key(&self) -> StreamKey {
        let first = self.head.resumes.as_ref().unwrap_or(&self.head.id);
        let team = self.team.as_ref().map(|team| team.name.as_str());
        StreamKey::of(team, first)
    }

    /// Time for which its caller may still take the stream up again.
    pub fn caller_time_left(&self) -> Duration {
        let window = resumption::window(self.route.timeout);
        let patience = self.head.timeout.unwrap_or(window);
        patience.saturating_sub(self.arrival.at.elapsed())
    }

    /// Services to which its route sends requests.
    pub fn services(&self) -> Vec<ServiceId> {
        let targets = self.route.targets.iter();
        let targets = targets.filter(|target| target.weight > 0);
        targets.map(|target| target.service.clone()).collect()
    }

    /// The target service: the one that began its stream, or else one selected by the route's weights.
    pub fn service(&self) -> &ServiceId {
        if let Some(origin) = &self.origin {
            return &origin.service;
        }
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

    /// The hashes and token counts of its prompt, if it names a model.
    pub fn prompt_shape(&self) -> Option<PromptShape> {
        let model = self.head.model.clone()?;
        let parts = &self.head.parts;
        // A prompt without named parts may go to any engine too, but needs a shape so that it does not run on
        // outdated weights.
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let mut hasher = FxHasher::default();
        let mut tokens = 0;
        // Other teams cannot find an isolated team's cache entries, so its prefixes get hashes of their own.
        let isolated = self.team.as_ref().filter(|team| team.isolated);
        isolated.map(|team| team.name.as_str()).hash(&mut hasher);
        // Without a shared prefix any engine will do; the prompt's own part spreads such prompts as well as any key.
        let hashed_parts = if shared.is_empty() { parts } else { shared };
        let prefixes = hashed_parts.iter().map(|part| {
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
