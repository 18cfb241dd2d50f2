//! Exchange of quarantine messages between VMs in datagrams.

use super::message::{Message, Report, TrialRequest, TrialResponse};
use super::{Quarantine, UpstreamLoss, is_coordinator, lock};
use crate::clock;
use crate::core::Core;
use crate::peers;
use sesamegap_policy::quarantine::{
    COORDINATOR_RANKING_KEY, REPORT_REPLICAS, Record, Role, Standing,
};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of bytes of reports in a datagram.
const REPORT_BYTES_PER_DATAGRAM: usize = 1_200;

/// Size of a report in bytes, and of each subject in it.
const REPORT_BYTES: usize = 48;
const SUBJECT_BYTES: usize = 18;

/// Maximum number of records in a datagram; each has up to 130 bytes.
const RECORDS_PER_DATAGRAM: usize = 8;

/// Number of these that gossip leaves to restricted subjects, if there are so many.
const RESTRICTED_PER_DATAGRAM: usize = 6;

/// Ticks between two gossip rounds, which bring records to VMs that missed a broadcast.
const GOSSIP_INTERVAL_TICKS: u32 = 20;

/// Number of peers that receive records in a gossip round.
const GOSSIP_FANOUT: usize = 3;

/// Sends the messages that are due; called at fixed intervals.
pub async fn tick(core: &Core, ticks: u32) {
    let quarantine = &core.quarantine;
    quarantine.set_coordinator(is_coordinator(core));
    quarantine.resolve_unconfirmed_losses(core);
    if quarantine.registry().is_empty() {
        return;
    }
    send_reports(core).await;
    judge(core);
    let records = lock(&quarantine.outbox).take_records();
    let is_gossip_due = ticks.is_multiple_of(GOSSIP_INTERVAL_TICKS);
    if records.is_empty() && !is_gossip_due {
        return;
    }
    for records in records.chunks(RECORDS_PER_DATAGRAM) {
        peers::broadcast_quarantine(core, Message::Records(records.to_vec())).await;
    }
    if is_gossip_due {
        let alive = core.peers.datagram_addrs();
        gossip(core, &alive, ticks / GOSSIP_INTERVAL_TICKS).await;
    }
}

/// Sends this VM's reports to the coordinator and its replicas.
async fn send_reports(core: &Core) {
    let quarantine = &core.quarantine;
    let reports = lock(&quarantine.outbox).take_reports();
    if reports.is_empty() {
        return;
    }
    let replicas = core
        .peers
        .first_ranked(REPORT_REPLICAS, COORDINATOR_RANKING_KEY);
    for to in replicas.into_iter().flatten() {
        for reports in split_reports(&reports) {
            quarantine.send(Message::Reports(reports), to).await;
        }
    }
}

/// Splits reports into those that fit into one datagram each.
fn split_reports(reports: &[Report]) -> Vec<Vec<Report>> {
    let mut split: Vec<Vec<Report>> = Vec::new();
    let mut room = 0;
    for report in reports {
        let bytes = match report {
            Report::Crashed { subjects, .. } => {
                REPORT_BYTES + SUBJECT_BYTES * subjects.iter().count()
            }
            Report::Completed { .. } | Report::Released { .. } => REPORT_BYTES,
        };
        if bytes > room {
            split.push(Vec::new());
            room = REPORT_BYTES_PER_DATAGRAM;
        }
        room = room.saturating_sub(bytes);
        if let Some(last) = split.last_mut() {
            last.push(report.clone());
        }
    }
    split
}

/// If this VM is the coordinator, judges trials and queues changed records for broadcast.
fn judge(core: &Core) {
    let quarantine = &core.quarantine;
    let is_coordinator = quarantine.role() == Role::Coordinator;
    let mut is_any_condemned = false;
    let changed = {
        let mut registry = quarantine.registry();
        if is_coordinator {
            for request in registry.judge(clock::now(), clock::unix_ms()) {
                super::log(request, Standing::Quarantined, registry.get(request), "own");
                is_any_condemned = true;
            }
            super::log_cleared(&mut registry);
        }
        registry.take_unpublished()
    };
    if is_any_condemned {
        quarantine.announce_verdict();
    }
    if is_coordinator && !changed.is_empty() {
        lock(&quarantine.outbox).queue_broadcast(changed);
        quarantine.changed.notify_one();
    }
}

/// Sends a part of the records to some of the peers, rotating through both from round to round.
///
/// Most records are of subjects that were cleared. A VM that missed a verdict needs that sooner.
async fn gossip(core: &Core, alive: &[SocketAddr], round: u32) {
    let quarantine = &core.quarantine;
    let (mut restricted, mut cleared): (Vec<Record>, Vec<Record>) = {
        let registry = quarantine.registry();
        let unix_ms = clock::unix_ms();
        let published = registry.published(unix_ms).cloned();
        published
            .partition(|record| registry.standing(record.fingerprint, unix_ms) != Standing::Clear)
    };
    if alive.is_empty() || restricted.is_empty() && cleared.is_empty() {
        return;
    }
    restricted.sort_unstable_by_key(|record| record.fingerprint);
    cleared.sort_unstable_by_key(|record| record.fingerprint);
    let round = round as usize;
    let count = RESTRICTED_PER_DATAGRAM.min(restricted.len());
    let mut records = cyclic_slice(&restricted, round * count, count);
    let count = RECORDS_PER_DATAGRAM - records.len();
    records.extend(cyclic_slice(&cleared, round * count, count));
    for to in cyclic_slice(alive, round * GOSSIP_FANOUT, GOSSIP_FANOUT) {
        quarantine.send(Message::Records(records.clone()), to).await;
    }
}

/// Returns up to `count` items starting at index `from`, wrapping around at the end.
fn cyclic_slice<T: Clone>(items: &[T], from: usize, count: usize) -> Vec<T> {
    let places = (0..count.min(items.len())).map(|no| (from + no) % items.len());
    places.map(|at| items[at].clone()).collect()
}

/// Handles a message from a peer.
pub async fn receive(core: &Core, from: SocketAddr, message: Message) {
    let quarantine = &core.quarantine;
    match message {
        Message::Reports(reports) => {
            for report in &reports {
                quarantine.apply_report(report, "peer");
            }
        }
        Message::Records(records) => {
            for record in &records {
                quarantine.merge(record, "peer");
            }
        }
        Message::Ask(ask) => {
            let answer = quarantine.respond(&ask);
            quarantine.send(Message::Answer(answer), from).await;
        }
        Message::Answer(answer) => {
            for record in &answer.records {
                quarantine.merge(record, "peer");
            }
            let sender = lock(&quarantine.pending_responses)
                .senders
                .remove(&answer.number);
            if let Some(sender) = sender
                && sender.send(answer.grant).is_err()
            {
                tracing::debug!(
                    number = answer.number,
                    "response arrived after the request timed out"
                );
            }
        }
    }
}

impl Quarantine {
    /// Decides on a trial request, from the records of this VM and of the sender.
    fn respond(&self, ask: &TrialRequest) -> TrialResponse {
        for record in &ask.records {
            self.merge(record, "peer");
        }
        let left = Duration::from_millis(u64::from(ask.left_ms));
        let grant = {
            let mut registry = self.registry();
            registry.request_trial(&ask.subjects, left, clock::now(), clock::unix_ms())
        };
        let records = ask.records.iter().map(|record| record.fingerprint);
        TrialResponse {
            number: ask.number,
            grant,
            records: self.records(&records.collect::<Vec<_>>()),
        }
    }

    /// Records a crash for each unconfirmed loss whose upstream has left the list since, and drops expired losses.
    fn resolve_unconfirmed_losses(&self, core: &Core) {
        let now = clock::now();
        let mut unconfirmed = lock(&self.unconfirmed);
        if unconfirmed.is_empty() {
            return;
        }
        let fleet = core.fleet.lock();
        let is_gone = |loss: &UpstreamLoss| {
            let known = fleet.get(&loss.upstream);
            known.is_none_or(|upstream| upstream.life != loss.crash.life)
        };
        let gone: Vec<UpstreamLoss> = unconfirmed
            .extract_if(.., |unconfirmed| is_gone(&unconfirmed.loss))
            .map(|unconfirmed| unconfirmed.loss)
            .collect();
        unconfirmed.retain(|unconfirmed| now < unconfirmed.expires_at);
        drop((fleet, unconfirmed));
        for loss in &gone {
            self.record_crash(loss);
        }
    }

    /// Sends a message if the socket is set; ignores errors.
    pub(super) async fn send(&self, message: Message, to: SocketAddr) {
        if let Some(bytes) = peers::encode_quarantine(message) {
            self.socket.send(&bytes, to).await;
        }
    }
}
