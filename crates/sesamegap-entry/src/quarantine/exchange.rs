//! Datagrams about requests under which upstreams ended.

use super::message::{Answer, Ask, Message};
use super::{Quarantine, UpstreamLoss, is_coordinator, lock};
use crate::clock;
use crate::core::Core;
use crate::peers;
use sesamegap_policy::quarantine::{COORDINATOR_RANKING_KEY, REPORT_REPLICAS, Record, Standing};
use std::net::SocketAddr;
use std::time::Duration;

/// Reports in one datagram, of some 35 bytes each.
const REPORTS: usize = 32;

/// Records in one datagram, of up to 130 bytes each.
const RECORDS: usize = 8;

/// Ticks between two rounds of gossip, for VMs that missed a broadcast.
const GOSSIP: u32 = 20;

/// Peers in one round of gossip.
const FANOUT: usize = 3;

/// Sends what is due; called at a fixed pace.
pub async fn tick(core: &Core, ticks: u32) {
    let quarantine = &core.quarantine;
    quarantine.settle_unconfirmed(core);
    if quarantine.registry().is_empty() {
        return;
    }
    send_reports(core).await;
    judge(core);
    let records = lock(&quarantine.outbox).records();
    let gossips = ticks.is_multiple_of(GOSSIP);
    if records.is_empty() && !gossips {
        return;
    }
    let alive = core.peers.datagram_addrs();
    for records in records.chunks(RECORDS) {
        for to in &alive {
            quarantine
                .send(Message::Records(records.to_vec()), *to)
                .await;
        }
    }
    if gossips {
        gossip(core, &alive, ticks / GOSSIP).await;
    }
}

/// Sends what this VM saw to the coordinator and its replicas.
async fn send_reports(core: &Core) {
    let quarantine = &core.quarantine;
    let reports = lock(&quarantine.outbox).reports();
    if reports.is_empty() {
        return;
    }
    let replicas = core
        .peers
        .first_ranked(REPORT_REPLICAS, COORDINATOR_RANKING_KEY);
    for to in replicas.into_iter().flatten() {
        for reports in reports.chunks(REPORTS) {
            let reports = Message::Reports(reports.to_vec());
            quarantine.send(reports, to).await;
        }
    }
}

/// Judges trials and broadcasts what changed, if this VM is the coordinator.
fn judge(core: &Core) {
    let quarantine = &core.quarantine;
    let is_coordinator = is_coordinator(core);
    let news = {
        let mut registry = quarantine.registry();
        if is_coordinator {
            for request in registry.judge(clock::now(), clock::unix_ms()) {
                super::log(request, Standing::Quarantined, registry.get(request), "own");
            }
            super::log_cleared(&mut registry);
        }
        registry.take_unpublished()
    };
    if is_coordinator && !news.is_empty() {
        lock(&quarantine.outbox).broadcast(news);
        quarantine.changed.notify_one();
    }
}

/// Sends some records to some peers, both by turns.
async fn gossip(core: &Core, alive: &[SocketAddr], turn: u32) {
    let quarantine = &core.quarantine;
    let mut records: Vec<Record> = {
        let registry = quarantine.registry();
        registry.published(clock::unix_ms()).cloned().collect()
    };
    if records.is_empty() || alive.is_empty() {
        return;
    }
    records.sort_unstable_by_key(|record| record.fingerprint);
    let turn = turn as usize;
    let records = around(&records, turn * RECORDS, RECORDS);
    for to in around(alive, turn * FANOUT, FANOUT) {
        quarantine.send(Message::Records(records.clone()), to).await;
    }
}

/// Up to `count` items from a place on, going on at the begin.
fn around<T: Clone>(items: &[T], from: usize, count: usize) -> Vec<T> {
    let places = (0..count.min(items.len())).map(|no| (from + no) % items.len());
    places.map(|at| items[at].clone()).collect()
}

/// Takes in a message.
pub async fn receive(core: &Core, from: SocketAddr, message: Message) {
    let quarantine = &core.quarantine;
    match message {
        Message::Reports(reports) => {
            for report in &reports {
                quarantine.handle(report, "peer");
            }
        }
        Message::Records(records) => {
            for record in &records {
                quarantine.merge(record, "peer");
            }
        }
        Message::Ask(ask) => {
            let answer = quarantine.answer(&ask);
            quarantine.send(Message::Answer(answer), from).await;
        }
        Message::Answer(answer) => {
            if let Some(record) = &answer.record {
                quarantine.merge(record, "peer");
            }
            let open = lock(&quarantine.asks).open.remove(&answer.number);
            if let Some(open) = open
                && open.send(answer.grant).is_err()
            {
                tracing::debug!(number = answer.number, "an answer came too late");
            }
        }
    }
}

impl Quarantine {
    /// Answers a question, by what this VM and the asker know.
    fn answer(&self, ask: &Ask) -> Answer {
        self.merge(&ask.record, "peer");
        let request = ask.record.fingerprint;
        let left = Duration::from_millis(u64::from(ask.left_ms));
        let mut registry = self.registry();
        let grant = registry.request_trial(request, left, clock::now(), clock::unix_ms());
        Answer {
            number: ask.number,
            grant,
            record: registry.get(request).cloned(),
        }
    }

    /// Counts unconfirmed losses whose upstreams have left the list since.
    fn settle_unconfirmed(&self, core: &Core) {
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
        unconfirmed.retain(|unconfirmed| now < unconfirmed.until);
        drop((fleet, unconfirmed));
        for loss in &gone {
            self.crashed(loss);
        }
    }

    /// Sends a message, if there is a socket and the link takes it.
    pub(super) async fn send(&self, message: Message, to: SocketAddr) {
        if let Some(socket) = self.socket.get()
            && let Some(bytes) = peers::encode_quarantine(message)
        {
            // What is lost is sent again.
            drop(socket.send_to(&bytes, to).await);
        }
    }
}
