//! HTTP endpoints for peers: probes, and copies of tables and documents.
//!
//! The answer to a probe has a bounded size, whatever the sizes of documents and lists: it must arrive within the timeout
//! that tells a dead peer from a living one.

use super::message::{Hello, HelloReply, apply_state, named_weights};
use crate::catalogue::{self, Additions, Answer, Document, Revision};
use crate::clock;
use crate::core::Core;
use crate::follow::{
    DocumentQuestion, DocumentReply, FleetSnapshot, PullReply, PullRequest, SettingsCopy,
};
use crate::ports::Table;
use bytes::Bytes;
use poem::http::StatusCode;
use poem::web::Data;
use poem::{Body, EndpointExt, IntoEndpoint, Route, handler, post};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sesamegap_policy::agreement::replication::Ask;
use sesamegap_policy::routing::link_budget::LinkBudget;
use sesamegap_wire::{LogPosition, Moment};
use smol_str::ToSmolStr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Largest accepted message, in bytes; a document with thousands of routes is under a megabyte.
pub(super) const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Reply that is not sent while the link's budget is spent, in bytes.
const LARGE_REPLY_BYTES: usize = 4_096;

/// Age from which an encoded fleet list is renewed before it is sent; the receiver asks for the changes since.
const ENCODED_TTL: Duration = Duration::from_secs(1);

/// Returns the endpoints for peers.
pub fn endpoints(core: Arc<Core>) -> impl IntoEndpoint {
    Route::new()
        .at("/peers/hello", post(hello))
        .at("/peers/table", post(table))
        .at("/peers/document", post(document))
        .data(core)
}

#[handler]
async fn hello(core: Data<&Arc<Core>>, body: Body) -> poem::Result<Vec<u8>> {
    let hello: Hello = decode(body).await?;
    let now = clock::now();
    core.peers.record_heard(hello.me.addr.ip());
    core.record_revision(hello.revision);
    let source = hello.me.who.vm.to_smolstr();
    let (me, updates, is_back) = {
        let mut members = core.peers.lock();
        let is_back = members.apply_update(&hello.me, now);
        members.apply_updates(&hello.updates, now);
        let updates = members.select_updates_for(&hello.me.who.vm);
        (members.me().clone(), updates, is_back)
    };
    if is_back {
        core.peers.outbox.put_member(hello.me.clone());
    }
    apply_state(&core, None, &hello.weights, &source);
    let reply = HelloReply {
        me,
        updates,
        revision: core.revision(),
        document: None,
        weights: named_weights(&core),
    };
    let body = encode(&reply)?;
    core.copies.charge(body.len());
    Ok(body)
}

#[handler]
async fn table(core: Data<&Arc<Core>>, body: Body) -> poem::Result<Body> {
    let request: PullRequest = decode(body).await?;
    let reply = core.copies.answer(&core, &request).map_err(|error| {
        poem::Error::from_string(error.to_string(), StatusCode::INTERNAL_SERVER_ERROR)
    })?;
    Ok(Body::from(reply))
}

#[handler]
async fn document(core: Data<&Arc<Core>>, body: Body) -> poem::Result<Body> {
    let question: DocumentQuestion = decode(body).await?;
    core.record_revision(question.revision);
    let reply = core
        .copies
        .answer_question(&core, &question)
        .map_err(|error| {
            poem::Error::from_string(error.to_string(), StatusCode::INTERNAL_SERVER_ERROR)
        })?;
    Ok(Body::from(reply))
}

async fn decode<T: DeserializeOwned>(body: Body) -> poem::Result<T> {
    let bytes = body.into_bytes_limit(MAX_MESSAGE_BYTES).await?;
    rmp_serde::from_slice(&bytes)
        .map_err(|error| poem::Error::from_string(error.to_string(), StatusCode::BAD_REQUEST))
}

fn encode<T: Serialize>(message: &T) -> poem::Result<Vec<u8>> {
    rmp_serde::to_vec(message).map_err(|error| {
        poem::Error::from_string(error.to_string(), StatusCode::INTERNAL_SERVER_ERROR)
    })
}

/// Copies of tables and documents that this VM sends to peers, within its link's budget.
#[derive(Debug)]
pub struct CopyServer {
    budget: Mutex<LinkBudget>,
    /// Bytes sent to callers that the budget does not know of yet.
    for_callers: AtomicUsize,
    encoded: Mutex<Option<(Moment, Bytes)>>,
}

impl CopyServer {
    /// Creates a server for a VM with this link.
    pub fn new(link_mbps: f64) -> Self {
        Self {
            budget: Mutex::new(LinkBudget::new(link_mbps, clock::now())),
            for_callers: AtomicUsize::new(0),
            encoded: Mutex::default(),
        }
    }

    /// Counts bytes sent to callers, which go before copies.
    pub fn count_callers(&self, bytes: usize) {
        self.for_callers.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Charges a message to peers to the link's budget.
    pub fn charge(&self, bytes: usize) {
        self.lock_budget().charge(bytes, clock::now());
    }

    fn allows_copy(&self) -> bool {
        let now = clock::now();
        let mut budget = self.lock_budget();
        budget.count_callers(self.for_callers.swap(0, Ordering::Relaxed), now);
        budget.allows_copy(now)
    }

    fn lock_budget(&self) -> MutexGuard<'_, LinkBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Encodes the reply to a request for a table.
    ///
    /// # Errors
    /// If the reply cannot be encoded.
    pub fn answer(
        &self,
        core: &Core,
        request: &PullRequest,
    ) -> Result<Bytes, rmp_serde::encode::Error> {
        let allows_copy = self.allows_copy();
        let is_copy = request.since.is_none() || request.table == Table::Settings;
        let found = if is_copy && !allows_copy {
            Found::Reply(PullReply::Busy)
        } else {
            find_reply(core, request)
        };
        let mut bytes = match found {
            Found::Reply(reply) => rmp_serde::to_vec(&reply)?.into(),
            Found::WholeFleet(next, age_ms) => self.encoded_fleet(core, next, age_ms)?,
        };
        if !allows_copy && bytes.len() >= LARGE_REPLY_BYTES {
            bytes = rmp_serde::to_vec(&PullReply::Busy)?.into();
        }
        self.charge(bytes.len());
        Ok(bytes)
    }

    /// Encodes the reply to a question about the document.
    ///
    /// # Errors
    /// If the reply cannot be encoded.
    pub fn answer_question(
        &self,
        core: &Core,
        question: &DocumentQuestion,
    ) -> Result<Bytes, rmp_serde::encode::Error> {
        let is_spent = !self.allows_copy();
        let answer = core.catalogue().map_or(Answer::Current, |catalogue| {
            catalogue::answer(catalogue.content(), &core.fetch(), &question.ask, is_spent)
        });
        let bytes = Bytes::from(rmp_serde::to_vec(&document_reply(core, question, answer))?);
        self.charge(bytes.len());
        Ok(bytes)
    }

    fn encoded_fleet(
        &self,
        core: &Core,
        next: LogPosition,
        age_ms: u64,
    ) -> Result<Bytes, rmp_serde::encode::Error> {
        let now = clock::now();
        let mut encoded = self.encoded.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((at, bytes)) = encoded.as_ref()
            && now.since(*at) < ENCODED_TTL
        {
            return Ok(bytes.clone());
        }
        let snapshot = FleetSnapshot::of(&core.fleet.lock(), next);
        let bytes = Bytes::from(rmp_serde::to_vec(&PullReply::Fleet(snapshot, age_ms))?);
        *encoded = Some((now, bytes.clone()));
        Ok(bytes)
    }
}

/// What a request gets.
enum Found {
    Reply(PullReply),
    /// The whole fleet list up to a position, with the age of the data in milliseconds.
    WholeFleet(LogPosition, u64),
}

fn find_reply(core: &Core, request: &PullRequest) -> Found {
    if request.table == Table::Vms {
        return Found::Reply(PullReply::Members(core.peers.export()));
    }
    let known = core.table_progress(request.table);
    let (next, at) = {
        let position = known.position();
        (position.next(), position.last_update())
    };
    let Some(next) = next.filter(|next| request.since.is_none_or(|since| since <= *next)) else {
        return Found::Reply(PullReply::Behind);
    };
    let age_ms = clock::millis(clock::now().since(at));
    match request.table {
        Table::Fleet => {
            let changes = |since| known.journal().since(Table::Fleet, since);
            match request.since.and_then(changes) {
                Some(update) => Found::Reply(PullReply::Changes(update, age_ms)),
                None => Found::WholeFleet(next, age_ms),
            }
        }
        Table::Settings => Found::Reply(PullReply::Settings(Box::new(SettingsCopy {
            next,
            age_ms,
            document: newer_document(core, request.revision),
            weights: named_weights(core),
        }))),
        Table::Vms | Table::Quarantine | Table::Versions => Found::Reply(PullReply::Behind),
    }
}

fn newer_document(core: &Core, than: Revision) -> Option<(Document, Additions)> {
    let catalogue = core.catalogue()?;
    if catalogue.revision() <= than {
        return None;
    }
    let newer = catalogue.document();
    let additions = newer.additions();
    Some((Arc::unwrap_or_clone(newer), additions))
}

/// The reply to a question about the document; how far the store was read is told with the first one.
fn document_reply(core: &Core, question: &DocumentQuestion, answer: Answer) -> DocumentReply {
    let is_first = matches!(question.ask, Ask::Changes(..) | Ask::Outline);
    let position = core.table_progress(Table::Settings).position();
    let age_ms = clock::millis(clock::now().since(position.last_update()));
    DocumentReply {
        revision: core.revision(),
        known: position
            .next()
            .filter(|_| is_first)
            .map(|next| (next, age_ms)),
        weights: if is_first {
            named_weights(core)
        } else {
            Vec::new()
        },
        answer,
    }
}
