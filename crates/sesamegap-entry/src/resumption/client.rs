//! Records of streams, and questions about them, as entry VMs exchange them in datagrams.

use super::list::ListReadings;
use super::log::{self, LogState};
use crate::clock;
use crate::core::Core;
use crate::job::Job;
use crate::peers::{self, MessageNumbers, PeerSocket};
use crate::ports::Table;
use crate::telemetry::events;
use rustc_hash::FxHashMap;
use sesamegap_policy::resumption::{
    ASKED, Answer, HOLDERS, LogAnswer, Message, Origin, Question, Records, StreamKey, Testimony,
};
use sesamegap_wire::{Moment, ServiceId};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tracing::{debug, info};

/// Incarnations of upstreams in one datagram, at nine bytes each.
const LIVES_PER_DATAGRAM: usize = 128;

/// Time between two passes that drop expired records.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Age from which the fleet list may lack a version that other VMs know: readers renew it every second or two.
const MAX_LIST_AGE: Duration = Duration::from_secs(5);

/// Streams that were begun at this VM or for which it is a holder, and its open questions.
#[derive(Debug, Default)]
pub struct Resumption {
    state: Mutex<State>,
    /// The log of streams in the store.
    pub(super) log: LogState,
    /// Readings of the fleet list.
    pub(super) list: ListReadings,
    /// Socket for all messages.
    pub(crate) socket: PeerSocket,
}

#[derive(Debug, Default)]
struct State {
    records: Records,
    numbers: MessageNumbers,
    pending: FxHashMap<u64, UnboundedSender<(SocketAddr, Answer)>>,
    pending_log: FxHashMap<u64, UnboundedSender<LogAnswer>>,
    pending_appends: FxHashMap<u64, oneshot::Sender<()>>,
    expired_at: Moment,
}

/// A question that waits for answers; dropping it discards those that come later.
#[derive(Debug)]
pub(super) struct PendingQuestion<'a> {
    resumption: &'a Resumption,
    pub(super) number: u64,
    pub(super) answers: UnboundedReceiver<(SocketAddr, Answer)>,
}

impl Drop for PendingQuestion<'_> {
    fn drop(&mut self) {
        self.resumption.lock().pending.remove(&self.number);
    }
}

/// A question about the store's log that waits for answers; dropping it discards those that come later.
#[derive(Debug)]
pub(super) struct PendingLogQuestion<'a> {
    resumption: &'a Resumption,
    pub(super) number: u64,
    pub(super) answers: UnboundedReceiver<LogAnswer>,
}

impl Drop for PendingLogQuestion<'_> {
    fn drop(&mut self) {
        self.resumption.lock().pending_log.remove(&self.number);
    }
}

impl Resumption {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The version that began a stream, if this VM has a record of it.
    pub(super) fn record(&self, stream: StreamKey) -> Option<Origin> {
        self.lock().records.get(stream, clock::now()).cloned()
    }

    fn insert(&self, stream: StreamKey, origin: Origin, left: Duration) {
        let until = clock::now() + left;
        self.lock().records.insert(stream, origin, until);
    }

    fn insert_own(&self, stream: StreamKey, origin: Origin, left: Duration) {
        let until = clock::now() + left;
        self.lock().records.insert_own(stream, origin, until);
    }

    /// The records of the streams of a service that this VM began or took up.
    pub(super) fn own_records(&self, service: &ServiceId) -> Vec<(StreamKey, Origin)> {
        let state = self.lock();
        let own = state.records.own_of(service, clock::now());
        own.map(|(stream, origin)| (stream, origin.clone()))
            .collect()
    }

    fn expire(&self) {
        let now = clock::now();
        let mut state = self.lock();
        if now.since(state.expired_at) >= EXPIRY_INTERVAL {
            state.expired_at = now;
            state.records.expire(now);
            state
                .pending_appends
                .retain(|_, sender| !sender.is_closed());
        }
    }

    /// Number of records that this VM keeps.
    pub fn record_count(&self) -> usize {
        self.lock().records.len()
    }

    pub(super) fn start_question(&self) -> PendingQuestion<'_> {
        let (sender, answers) = unbounded_channel();
        let mut state = self.lock();
        let number = state.numbers.allocate();
        state.pending.insert(number, sender);
        PendingQuestion {
            resumption: self,
            number,
            answers,
        }
    }

    pub(super) fn start_log_question(&self) -> PendingLogQuestion<'_> {
        let (sender, answers) = unbounded_channel();
        let mut state = self.lock();
        let number = state.numbers.allocate();
        state.pending_log.insert(number, sender);
        PendingLogQuestion {
            resumption: self,
            number,
            answers,
        }
    }

    /// Returns the number of a call to append records, and what is told of its end.
    pub(super) fn start_append(&self) -> (u64, oneshot::Receiver<()>) {
        let (sender, done) = oneshot::channel();
        let mut state = self.lock();
        let number = state.numbers.allocate();
        state.pending_appends.insert(number, sender);
        (number, done)
    }

    /// Ends a call to append records, if it still waits.
    pub(super) fn end_append(&self, number: u64) {
        let sender = self.lock().pending_appends.remove(&number);
        if let Some(sender) = sender
            && sender.send(()).is_err()
        {
            debug!(
                number,
                "nobody waits any more for records to be in the log of streams"
            );
        }
    }

    /// Sends a message without waiting; one that is lost costs at most the resumption of a stream.
    pub(super) fn send(&self, message: &Message, to: SocketAddr) {
        if let Some(bytes) = peers::encode_resumption(message) {
            self.socket.try_send(&bytes, to);
        }
    }
}

/// Returns the other VMs that may hold the record of a stream, the first ones most likely.
pub(super) fn record_vms(core: &Core, stream: StreamKey) -> impl Iterator<Item = SocketAddr> {
    let ranked = core.peers.first_ranked(ASKED, stream.0);
    ranked.into_iter().flatten()
}

/// Records which version began a stream, or took it up, before its first event goes to the caller.
///
/// Waits until the store has the record if all VMs' memory may be needed, and the store answers in time.
pub async fn record_begin(core: &Core, job: &Job, origin: Origin) {
    let stream = job.stream_key();
    let left = job.caller_time_left();
    let message = Message::Began(origin.clone(), stream, clock::wire_millis(left));
    core.resumption.insert_own(stream, origin.clone(), left);
    for holder in record_vms(core, stream).take(HOLDERS) {
        core.resumption.send(&message, holder);
    }
    // One that is taken up has a record already.
    log::record(core, stream, origin, !job.takes_up()).await;
}

/// Tells peers which upstreams may have restarted, and drops expired records; called at fixed intervals.
pub async fn tick(core: &Core) {
    core.resumption.expire();
    log::tick(core);
    let broke = core.fleet.lock().take_broken();
    if !broke.is_empty() {
        info!(event = events::UPSTREAM, lives = ?broke, change = "may have restarted", "connections broke");
    }
    for broke in broke.chunks(LIVES_PER_DATAGRAM) {
        peers::broadcast_resumption(core, Message::Broke(broke.to_vec())).await;
    }
}

/// Handles a message of another VM.
pub fn receive(core: &Arc<Core>, from: SocketAddr, message: Message) {
    match message {
        Message::Began(origin, stream, left_ms) => {
            let left = Duration::from_millis(u64::from(left_ms));
            core.resumption.insert(stream, origin, left);
        }
        Message::Broke(lives) => {
            info!(event = events::UPSTREAM, ?lives, change = "may have restarted", by = %from, "others say so");
            let mut fleet = core.fleet.lock();
            fleet.record_broken_elsewhere(&lives, clock::now());
        }
        Message::Ask(question) => {
            let answer = Message::Answer(question.number, answer(core, &question));
            core.resumption.send(&answer, from);
        }
        Message::Answer(number, answer) => {
            let state = core.resumption.lock();
            let sender = state.pending.get(&number);
            if sender.is_none_or(|sender| sender.send((from, answer)).is_err()) {
                debug!(number, %from, "an answer about a stream came too late");
            }
        }
        Message::Log(number, batch) => log::collect_for(core, from, number, &batch),
        Message::Logged(number) => core.resumption.end_append(number),
        Message::AskLog(number, stream) => log::answer(core, from, number, stream),
        Message::LogAnswer(number, answer) => {
            let state = core.resumption.lock();
            let sender = state.pending_log.get(&number);
            if sender.is_none_or(|sender| sender.send(answer).is_err()) {
                debug!(number, %from, "an answer about the log of streams came too late");
            }
        }
    }
}

fn answer(core: &Core, question: &Question) -> Answer {
    if let Some(origin) = core.resumption.record(question.stream) {
        return Answer::Record(origin);
    }
    let window = Duration::from_millis(u64::from(question.window_ms));
    Answer::Versions(testimony(core, &question.services, window))
}

/// What this VM knows of the versions of some services that served within a time.
pub(super) fn testimony(core: &Core, services: &[ServiceId], window: Duration) -> Testimony {
    let catalogue = core.catalogue();
    let stores = catalogue.as_ref().map(|all| all.kv_stores());
    let now = clock::now();
    let mut testimony = {
        let mut fleet = core.fleet.lock();
        fleet.testimony(services, stores.unwrap_or_default(), window, now)
    };
    // A VM that has heard nothing for a while may lack a version that others have used since.
    testimony.complete &= is_list_current(core);
    testimony
}

/// Whether this VM has heard of changes of the fleet list lately.
pub(super) fn is_list_current(core: &Core) -> bool {
    let position = core.table_progress(Table::Fleet).position();
    position.next().is_some() && clock::now().since(position.last_update()) < MAX_LIST_AGE
}
