//! Writes records of streams to the store's log, and reads them.
//!
//! A record goes to the VM that appends to its partition for all ([`record`]), which collects it and appends it with others
//! ([`run_log`]). The first event of a stream waits for it, so that no caller takes up a stream that is not in the log; but
//! not for long, as a stream must begin while the store is away too. A VM that finds no record
//! of a stream at others reads the log if it is one of the first two in the partition's ranking, or asks these, and reads it
//! itself if they do not answer ([`find`]).

use super::history::is_divided;
use crate::clock;
use crate::core::Core;
use crate::ports::StoreError;
use crate::telemetry::events;
use bytes::Bytes;
use rustc_hash::FxHashSet;
use sesamegap_policy::resumption::{
    Backlog, LogAnswer, LoggedStreams, Message, Origin, PARTITIONS, Partition, StreamBatch,
    StreamKey, Submission,
};
use sesamegap_wire::{LogPosition, Moment, Offset, ServiceId};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use tracing::{info, warn};

/// Added to a partition's number, the key of the ranking of the VMs that append to it and read it.
const RANK_KEY: u64 = 0x5354_5245_414d;

/// VMs that read a partition when others ask. The second one answers if the first one has just ended.
const READERS: usize = 2;

/// Time for which a caller's request waits for the log: a slow store answers within it, and callers of a silent one are told
/// to come back.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which a stream's first event waits for a record, twice if the VM that appends for all does not answer: several
/// times an append, and a small part of what callers wait for a first event.
const APPEND_TIMEOUT: Duration = Duration::from_millis(120);

/// Time for which streams do not wait for records once the store did not take one.
const AWAY_TIME: Duration = Duration::from_secs(2);

/// Time between a failed append and the next one.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Minimum time between two readings of a partition; questions that come meanwhile wait for the next one.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// Longest sleep of the task that appends.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// Records in one message, at about ten bytes each.
const RECORDS_PER_DATAGRAM: usize = 64;

/// What this VM writes to the log and has read of it.
#[derive(Debug, Default)]
pub(super) struct LogState {
    writing: Mutex<Writing>,
    /// Wakes the task that appends.
    collected: Notify,
    readings: [tokio::sync::Mutex<Reading>; PARTITIONS as usize],
}

/// Who waits until records are in the log.
#[derive(Debug)]
enum Waiter {
    /// A task of this VM.
    Own(oneshot::Sender<()>),
    /// Another VM, by the number of its call.
    Peer(SocketAddr, u64),
}

#[derive(Debug, Default)]
struct Writing {
    backlogs: [Backlog<Waiter>; PARTITIONS as usize],
    /// Until when streams do not wait for the store, which did not take records lately.
    away_until: Moment,
    /// Services whose streams are recorded in the log.
    divided: FxHashSet<ServiceId>,
}

/// How far a partition was read.
#[derive(Debug, Default)]
struct Reading {
    next: LogPosition,
    /// When the last reading began.
    begun: Option<Instant>,
    /// When the last complete reading began; later records may be missing.
    as_of: Option<Instant>,
    streams: LoggedStreams,
}

impl LogState {
    fn lock(&self) -> MutexGuard<'_, Writing> {
        self.writing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn ranking_key(partition: Partition) -> u64 {
    RANK_KEY + u64::from(partition.0)
}

fn index(partition: Partition) -> usize {
    partition.0 as usize % PARTITIONS as usize
}

/// Records a stream in the log if several versions can have begun streams of its service; waits for it if it is to.
pub(super) async fn record(core: &Core, stream: StreamKey, origin: Origin, waits: bool) {
    // If a second version has appeared since the last tick, the next one finds the stream among this VM's own.
    let is_waiting = {
        let writing = core.resumption.log.lock();
        if !writing.divided.contains(&origin.service) {
            return;
        }
        waits && writing.away_until <= clock::now()
    };
    let partition = Partition::of(stream);
    let batch: StreamBatch = [(stream, origin)].into_iter().collect();
    let appended = submit(core, partition, batch.clone());
    if !is_waiting
        || timeout(APPEND_TIMEOUT, appended)
            .await
            .is_ok_and(|done| done.is_ok())
    {
        return;
    }
    // The VM that appends for all may have ended, or a message was lost.
    let appended = collect_own(core, &batch);
    if !timeout(APPEND_TIMEOUT, appended)
        .await
        .is_ok_and(|done| done.is_ok())
    {
        core.resumption.log.lock().away_until = clock::now() + AWAY_TIME;
        info!(event = events::STREAM_LOG, %partition, "the store does not take records of streams; streams begin without");
    }
}

/// Records the running streams of services for which a second version has appeared; called at fixed intervals.
pub(super) fn tick(core: &Core) {
    let Some(catalogue) = core.catalogue() else {
        return;
    };
    let services = catalogue.resumption_windows().keys();
    let divided: FxHashSet<ServiceId> = services
        .filter(|service| is_divided(core, service))
        .cloned()
        .collect();
    let former = {
        let mut writing = core.resumption.log.lock();
        if writing.divided == divided {
            return;
        }
        std::mem::replace(&mut writing.divided, divided.clone())
    };
    for service in divided.difference(&former) {
        let own = core.resumption.own_records(service);
        info!(event = events::STREAM_LOG, %service, streams = own.len(), "several software versions serve; recording streams in the store");
        for partition in Partition::all() {
            let own = own.iter();
            let records = own.filter(|(stream, _)| Partition::of(*stream) == partition);
            let records: Vec<_> = records.cloned().collect();
            for records in records.chunks(RECORDS_PER_DATAGRAM) {
                drop(submit(core, partition, records.iter().cloned().collect()));
            }
        }
    }
    for service in former.difference(&divided) {
        info!(event = events::STREAM_LOG, %service, "one software version serves; streams are no longer recorded in the store");
    }
}

/// Hands records to the VM that appends to a partition; the receiver is told when they are in the log.
fn submit(core: &Core, partition: Partition, batch: StreamBatch) -> oneshot::Receiver<()> {
    let first = core.peers.first_ranked(1, ranking_key(partition));
    let Some(Some(writer)) = first.first() else {
        return collect_own(core, &batch);
    };
    let (number, appended) = core.resumption.start_append();
    core.resumption.send(&Message::Log(number, batch), *writer);
    appended
}

/// Collects records of this VM to append.
fn collect_own(core: &Core, batch: &StreamBatch) -> oneshot::Receiver<()> {
    let (sender, appended) = oneshot::channel();
    collect(core, batch, Waiter::Own(sender));
    appended
}

/// Collects records of another VM to append.
pub(super) fn collect_for(core: &Core, from: SocketAddr, number: u64, batch: &StreamBatch) {
    collect(core, batch, Waiter::Peer(from, number));
}

fn collect(core: &Core, batch: &StreamBatch, waiter: Waiter) {
    let Some((stream, _)) = batch.records().next() else {
        return;
    };
    let is_kept = {
        let mut writing = core.resumption.log.lock();
        let backlog = &mut writing.backlogs[index(Partition::of(stream))];
        backlog.push(Submission {
            batch: batch.clone(),
            waiter: Some(waiter),
        })
    };
    if !is_kept {
        warn!(
            event = events::STREAM_LOG,
            "too many records wait for the store; dropped the oldest"
        );
    }
    core.resumption.log.collected.notify_one();
}

/// Appends the records that were collected, also while the last requests of a process end.
pub async fn run_log(core: Arc<Core>) {
    let log = &core.resumption.log;
    loop {
        let now = clock::now();
        let due = {
            let writing = log.lock();
            let backlogs = writing.backlogs.iter();
            backlogs.filter_map(|backlog| backlog.due_in(now)).min()
        };
        match due {
            Some(time) if time.is_zero() => begin_due(&core),
            Some(time) => sleep(time.min(MAX_SLEEP)).await,
            None => drop(timeout(MAX_SLEEP, log.collected.notified()).await),
        }
    }
}

/// Begins an append to each partition whose next one may begin.
fn begin_due(core: &Arc<Core>) {
    let now = clock::now();
    for partition in Partition::all() {
        let submissions = {
            let mut writing = core.resumption.log.lock();
            let backlog = &mut writing.backlogs[index(partition)];
            if backlog.due_in(now).is_none_or(|time| !time.is_zero()) {
                continue;
            }
            backlog.take(now)
        };
        let core = Arc::clone(core);
        tokio::spawn(async move { append(&core, partition, submissions).await });
    }
}

async fn append(core: &Core, partition: Partition, submissions: Vec<Submission<Waiter>>) {
    let mut batch = StreamBatch::default();
    for submission in &submissions {
        if !batch.extend(&submission.batch) {
            warn!(event = events::STREAM_LOG, %partition, "too many software versions in records of streams");
        }
    }
    let outcome = match rmp_serde::to_vec(&batch) {
        Ok(bytes) => {
            let is_for_all = core.peers.is_among_first(1, ranking_key(partition));
            let appended = core
                .store
                .append_streams(partition, bytes.into(), is_for_all);
            appended.await
        }
        Err(error) => {
            warn!(event = events::STREAM_LOG, %partition, %error, "failed to encode records of streams");
            return;
        }
    };
    if let Err(error @ StoreError::Malformed(_)) = &outcome {
        // What the store does not take now it never takes.
        warn!(event = events::STREAM_LOG, %partition, streams = batch.len(), %error, "records of streams were not written");
        return;
    }
    if let Err(error) = outcome {
        let retry_at = clock::now() + RETRY_DELAY;
        let mut writing = core.resumption.log.lock();
        writing.backlogs[index(partition)].put_back(submissions, retry_at);
        drop(writing);
        info!(event = events::STREAM_LOG, %partition, streams = batch.len(), %error, "records of streams were not written; trying again");
        return;
    }
    for waiter in submissions
        .into_iter()
        .filter_map(|submission| submission.waiter)
    {
        match waiter {
            // Nobody waits for the records of streams that run already.
            Waiter::Own(sender) => drop(sender.send(())),
            Waiter::Peer(peer, number) => core.resumption.send(&Message::Logged(number), peer),
        }
    }
}

/// What the log tells of a stream, from this VM's reading or another one's.
pub(super) async fn find(core: &Core, stream: StreamKey) -> LogAnswer {
    let partition = Partition::of(stream);
    let readers = core.peers.first_ranked(READERS, ranking_key(partition));
    if readers.contains(&None) {
        let answer = read(core, stream).await;
        // The store may turn this VM away and serve others.
        if answer != LogAnswer::Unread || readers.len() == 1 {
            return answer;
        }
    }
    let mut pending = core.resumption.start_log_question();
    let message = Message::AskLog(pending.number, stream);
    for reader in readers.iter().flatten() {
        core.resumption.send(&message, *reader);
    }
    let until = Instant::now() + READ_TIMEOUT;
    let mut left = readers.iter().flatten().count();
    while left > 0 {
        match timeout_at(until, pending.answers.recv()).await {
            Ok(Some(LogAnswer::Unread)) => left -= 1,
            Ok(Some(answer)) => return answer,
            Ok(None) | Err(_) => break,
        }
    }
    let is_own = readers.contains(&None);
    if left == 0 || is_own {
        return LogAnswer::Unread;
    }
    // This VM may be cut off from the others, and reach the store.
    read(core, stream).await
}

/// Answers another VM's question once the log has been read.
pub(super) fn answer(core: &Arc<Core>, from: SocketAddr, number: u64, stream: StreamKey) {
    let core = Arc::clone(core);
    tokio::spawn(async move {
        let answer = read(&core, stream).await;
        core.resumption
            .send(&Message::LogAnswer(number, answer), from);
    });
}

/// Reads the log up to now and looks a stream up.
async fn read(core: &Core, stream: StreamKey) -> LogAnswer {
    let partition = Partition::of(stream);
    let asked_at = Instant::now();
    let read = async {
        let mut reading = core.resumption.log.readings[index(partition)].lock().await;
        // A reading that began after this question has all that it needs.
        if reading.as_of.is_none_or(|as_of| as_of < asked_at) {
            if let Some(begun) = reading.begun {
                sleep_until(begun + READ_INTERVAL).await;
            }
            reading.begun = Some(Instant::now());
            reading.catch_up(core, partition).await?;
        }
        Ok::<_, StoreError>(match reading.streams.get(stream) {
            Some(origin) => LogAnswer::Record(origin.clone()),
            None => LogAnswer::Absent,
        })
    };
    match timeout(READ_TIMEOUT, read).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => {
            info!(event = events::STREAM_LOG, %partition, %error, "the log of streams cannot be read");
            LogAnswer::Unread
        }
        Err(_) => {
            info!(event = events::STREAM_LOG, %partition, "the log of streams was not read in time");
            LogAnswer::Unread
        }
    }
}

impl Reading {
    /// Reads to the present end of the log.
    async fn catch_up(&mut self, core: &Core, partition: Partition) -> Result<(), StoreError> {
        let began = Instant::now();
        let mut records = 0;
        loop {
            match core.store.stream_records(partition, self.next).await {
                Ok((read, _)) if read.is_empty() => break,
                Ok((read, next)) => {
                    records += read.len();
                    self.apply(partition, &read);
                    self.next = next;
                }
                Err(StoreError::Compacted(first)) if first > self.next.offset => {
                    // Streams in the dropped records count as not recorded.
                    self.next.offset = first;
                }
                Err(StoreError::Restored(timeline)) if timeline > self.next.timeline => {
                    self.next = LogPosition::new(timeline, Offset(0));
                }
                Err(error) => return Err(error),
            }
        }
        if records > 0 {
            info!(event = events::STREAM_LOG, %partition, records, next = %self.next, took_ms = clock::millis(began.elapsed()), "read the log of streams");
        }
        self.as_of = Some(began);
        Ok(())
    }

    fn apply(&mut self, partition: Partition, records: &[Bytes]) {
        for record in records {
            match rmp_serde::from_slice::<StreamBatch>(record) {
                Ok(batch) => self.streams.extend(&batch),
                Err(error) => {
                    warn!(event = events::STREAM_LOG, %partition, %error, "cannot decode a record of the log of streams");
                }
            }
        }
    }
}
