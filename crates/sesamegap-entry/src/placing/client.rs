//! Open queries to shard owners, and prompt reports queued for them.

use super::message::{PlacementAnswer, PlacementMessage, PromptReport};
use crate::clock;
use crate::fleet::{Flight, Shard};
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
    /// Prompts that owners know or were asked about, by their numbers.
    tracked: FxHashMap<u64, Tracked>,
    /// The owner that was asked last about each shard.
    owners: FxHashMap<Shard, SocketAddr>,
    reports: FxHashMap<SocketAddr, Vec<PromptReport>>,
    unresponsive: FxHashMap<SocketAddr, Moment>,
}

/// A prompt that an owner knows or was asked about.
#[derive(Debug)]
struct Tracked {
    owner: SocketAddr,
    shard: Shard,
    /// Set once it was placed.
    placed: Option<Placed>,
}

/// A placed prompt, as a new owner needs to know it.
#[derive(Debug, Clone, Copy)]
struct Placed {
    life: u64,
    /// Tokens that are not prefilled.
    tokens: u64,
    priority: u8,
    /// Until when its caller waits.
    until: Moment,
}

impl Placed {
    fn new(flight: &Flight, left: Duration, now: Moment) -> Self {
        Self {
            life: flight.life(),
            tokens: flight.tokens(),
            priority: flight.priority(),
            until: now + left,
        }
    }

    fn report(&self, number: u64, now: Moment) -> PromptReport {
        PromptReport::Began {
            number,
            life: self.life,
            tokens: self.tokens,
            left_ms: clock::wire_millis(self.until.since(now)),
            priority: self.priority,
        }
    }
}

impl State {
    fn report(&mut self, owner: SocketAddr, report: PromptReport) {
        self.reports.entry(owner).or_default().push(report);
    }

    /// Tells a shard's new owner of the prompts that this VM has there, and the former one that they ended.
    ///
    /// A new owner knows nothing of what others placed before it, and would fill the engines a second time. The former
    /// one may only have been paused.
    fn hand_over(&mut self, shard: Shard, to: SocketAddr, now: Moment) {
        let mut reports = Vec::new();
        for (number, tracked) in &mut self.tracked {
            if tracked.shard != shard || tracked.owner == to {
                continue;
            }
            if let Some(placed) = &tracked.placed {
                reports.push((tracked.owner, PromptReport::Ended(*number)));
                reports.push((to, placed.report(*number, now)));
                tracked.owner = to;
            }
        }
        for (owner, report) in reports {
            self.report(owner, report);
        }
    }
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

    /// Address of the owner that was asked first.
    pub fn owner(&self) -> SocketAddr {
        self.owner
    }

    /// Records that the prompt was placed, so that the next owner of its shard is told of it.
    pub fn record_placed(&self, flight: &Flight, left: Duration, now: Moment) {
        let placed = Placed::new(flight, left, now);
        if let Some(tracked) = lock(&self.state).tracked.get_mut(&self.number) {
            tracked.placed = Some(placed);
        }
    }

    /// Reports that the engine has prefilled the prompt.
    pub fn report_read(&self) {
        let mut state = lock(&self.state);
        let Some(tracked) = state.tracked.get_mut(&self.number) else {
            return;
        };
        if let Some(placed) = &mut tracked.placed {
            placed.tokens = 0;
        }
        let owner = tracked.owner;
        state.report(owner, PromptReport::Read(self.number));
    }
}

impl Drop for TrackedPrompt {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        if let Some(tracked) = state.tracked.remove(&self.number) {
            state.report(tracked.owner, PromptReport::Ended(self.number));
        }
        state.pending.remove(&self.number);
    }
}

impl PlacementClient {
    /// Registers a query to an owner; the receiver gets the answer.
    ///
    /// If the owner of the shard is another one than before, it is told of the prompts that this VM has there.
    pub fn start_query(
        &self,
        owner: SocketAddr,
        shard: Shard,
        now: Moment,
    ) -> (TrackedPrompt, oneshot::Receiver<PlacementAnswer>) {
        let (sender, receiver) = oneshot::channel();
        let mut state = lock(&self.state);
        let former = state.owners.insert(shard, owner);
        if former.is_some_and(|former| former != owner) {
            state.hand_over(shard, owner, now);
        }
        let number = state.numbers.allocate();
        state.pending.insert(number, sender);
        (self.track(&mut state, owner, shard, number), receiver)
    }

    /// Reports a prompt to an owner that did not place it.
    pub fn report_begun(
        &self,
        owner: SocketAddr,
        shard: Shard,
        flight: &Flight,
        left: Duration,
    ) -> TrackedPrompt {
        let now = clock::now();
        let placed = Placed::new(flight, left, now);
        let mut state = lock(&self.state);
        let number = state.numbers.allocate();
        state.report(owner, placed.report(number, now));
        let prompt = self.track(&mut state, owner, shard, number);
        if let Some(tracked) = state.tracked.get_mut(&number) {
            tracked.placed = Some(placed);
        }
        prompt
    }

    fn track(
        &self,
        state: &mut State,
        owner: SocketAddr,
        shard: Shard,
        number: u64,
    ) -> TrackedPrompt {
        let tracked = Tracked {
            owner,
            shard,
            placed: None,
        };
        state.tracked.insert(number, tracked);
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
