//! What may cause the crash of an upstream: a request, or a part of its prompt.

use serde::{Deserialize, Serialize};
use sesamegap_wire::Fingerprint;

/// Depth of a request, which is narrower than all parts of its prompt.
pub const REQUEST_DEPTH: u8 = u8::MAX;

/// What may cause a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Subject {
    /// The request or the prompt part.
    pub fingerprint: Fingerprint,
    /// Place in the order from the widest to the narrowest, in which the request is the last.
    pub depth: u8,
}

impl Subject {
    /// Whether this is a prompt part as all teams name it.
    pub fn is_common_part(self) -> bool {
        self.depth != REQUEST_DEPTH && self.depth.is_multiple_of(2)
    }
}

/// The subjects of one request, from the outermost part of its prompt to the request itself.
///
/// Each shared part stands twice: as all teams name it, and as the request's team names it. A team whose requests
/// crash upstreams can name any part in them; its crashes alone then count against the part as this team names it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subjects {
    parts: Vec<Fingerprint>,
    request: Fingerprint,
}

impl Subjects {
    /// Creates the subjects of a request from the shared parts of its prompt, outermost first, and its team.
    pub fn new(
        parts: impl IntoIterator<Item = Fingerprint>,
        team: Option<&str>,
        request: Fingerprint,
    ) -> Self {
        let parts = parts.into_iter();
        Self {
            parts: parts.flat_map(|part| [part, part.of_team(team)]).collect(),
            request,
        }
    }

    /// Creates the subjects of a request without prompt parts.
    pub fn of_request(request: Fingerprint) -> Self {
        Self::new([], None, request)
    }

    /// The request itself.
    pub fn request(&self) -> Fingerprint {
        self.request
    }

    /// Returns all subjects, the widest first.
    pub fn iter(&self) -> impl Iterator<Item = Subject> {
        let depths = 0..REQUEST_DEPTH;
        let parts = self.parts.iter().zip(depths);
        let parts = parts.map(|(fingerprint, depth)| Subject {
            fingerprint: *fingerprint,
            depth,
        });
        parts.chain([Subject {
            fingerprint: self.request,
            depth: REQUEST_DEPTH,
        }])
    }
}
