//! Open queries to shard owners, and prompt reports queued for them.

use super::message::{PlacementAnswer, PlacementMessage, PromptReport};
use crate::clock;
use crate::fleet::Flight;
use crate::peers::{self, MessageNumbers, PeerSocket};
use rustc_hash::FxHashMap;
use sesamegap_wire::Moment;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// How long an owner that did not answer gets no queries: about the time until its peers suspect
/// it.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(1);

/// Reports to one owner per datagram, at about 25 bytes each.
const REPORTS_PER_DATAGRAM: usize = 48;

/// Sends queries and prompt reports of this VM to the owners of shards.
#[derive(Debug, Default)]
pub struct PlacementClient {
    state: Arc<Mutex<State>>,
    /// Socket for all messages.
    pub(crate) socket: PeerSocket,
}

#[derive(Debug, Default)]
struct State {
    numbers: MessageNumbers,
    pending: FxHashMap<u64, oneshot::Sender<PlacementAnswer>>,
    reports: FxHashMap<SocketAddr, Vec<PromptReport>>,
    unresponsive: FxHashMap<SocketAddr, Moment>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A prompt that an owner knows about; dropping this reports its end to the owner.
#[derive(Debug)]
pub struct TrackedPrompt {
    state: Arc<Mutex<State>>,
    owner: SocketAddr,
    number: u64,
}

impl TrackedPrompt {
    /// Number of the prompt, unique among those of this VM.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Address of the owner.
    pub fn owner(&self) -> SocketAddr {
        self.owner
    }

    /// Reports that the engine has prefilled the prompt.
    pub fn report_read(&self) {
        self.report(PromptReport::Read(self.number));
    }

    fn report(&self, report: PromptReport) {
        let mut state = lock(&self.state);
        state.reports.entry(self.owner).or_default().push(report);
    }
}

impl Drop for TrackedPrompt {
    fn drop(&mut self) {
        self.report(PromptReport::Ended(self.number));
        lock(&self.state).pending.remove(&self.number);
    }
}

impl PlacementClient {
    /// Registers a query to an owner; the receiver gets the answer.
    pub fn start_query(
        &self,
        owner: SocketAddr,
    ) -> (TrackedPrompt, oneshot::Receiver<PlacementAnswer>) {
        let (sender, receiver) = oneshot::channel();
        let mut state = lock(&self.state);
        let number = state.numbers.allocate();
        state.pending.insert(number, sender);
        (self.track(owner, number), receiver)
    }

    /// Reports a prompt to an owner that did not place it.
    pub fn report_begun(
        &self,
        owner: SocketAddr,
        flight: &Flight,
        left: Duration,
    ) -> TrackedPrompt {
        let number = lock(&self.state).numbers.allocate();
        let tracked = self.track(owner, number);
        tracked.report(PromptReport::Began {
            number,
            life: flight.life(),
            tokens: flight.tokens(),
            left_ms: clock::wire_millis(left),
            priority: flight.priority(),
        });
        tracked
    }

    fn track(&self, owner: SocketAddr, number: u64) -> TrackedPrompt {
        TrackedPrompt {
            state: Arc::clone(&self.state),
            owner,
            number,
        }
    }

    /// Passes an answer to its query.
    ///
    /// If nothing waits for it any more, the owner counts the prompt until the report of its end,
    /// which the query sent when it was dropped.
    pub fn complete_query(&self, answer: PlacementAnswer) {
        let number = answer.number;
        let sender = lock(&self.state).pending.remove(&number);
        if let Some(sender) = sender
            && sender.send(answer).is_err()
        {
            tracing::debug!(number, "an owner's answer came after its query had ended");
        }
    }

    /// The owners that recently failed to answer.
    pub fn unresponsive(&self, now: Moment) -> Vec<SocketAddr> {
        let state = lock(&self.state);
        let owners = state.unresponsive.iter();
        owners
            .filter(|(_, until)| now < **until)
            .map(|(owner, _)| *owner)
            .collect()
    }

    /// Stops queries to an owner for [`UNRESPONSIVE_TIME`].
    pub fn mark_unresponsive(&self, owner: SocketAddr, now: Moment) {
        let mut state = lock(&self.state);
        state.unresponsive.retain(|_, until| now < *until);
        state.unresponsive.insert(owner, now + UNRESPONSIVE_TIME);
    }

    /// Takes all queued reports, split to fit into datagrams.
    pub fn take_reports(&self) -> Vec<(SocketAddr, PlacementMessage)> {
        let reports = std::mem::take(&mut lock(&self.state).reports);
        let messages = reports.into_iter().flat_map(|(owner, reports)| {
            let chunks = reports
                .chunks(REPORTS_PER_DATAGRAM)
                .map(<[PromptReport]>::to_vec);
            chunks
                .map(move |chunk| (owner, PlacementMessage::Reports(chunk)))
                .collect::<Vec<_>>()
        });
        messages.collect()
    }

    /// Sends a message if the socket is set; the network may drop it.
    pub async fn send(&self, message: PlacementMessage, to: SocketAddr) {
        if let Some(bytes) = peers::encode_placing(message) {
            // A lost query or answer ends in a timeout; the effect of a lost report expires at the
            // owner.
            self.socket.send(&bytes, to).await;
        }
    }
}
