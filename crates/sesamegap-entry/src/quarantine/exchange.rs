//! Datagrams about requests under which upstreams ended.

use super::message::{Answer, Ask, Message};
use super::{Lost, Quarantine, lock};
use crate::clock;
use crate::core::Core;
use crate::peers;
use sesamegap_policy::quarantine::{HEARERS, LINE, Record, Standing};
use std::net::SocketAddr;
use std::time::Duration;

/// Reports in one datagram, of some 35 bytes each.
const REPORTS: usize = 32;

/// Records in one datagram, of up to 130 bytes each.
const RECORDS: usize = 8;

/// Ticks after which some peers are told anew, by turns, for those that missed what was told before.
const AGAIN: u32 = 20;

/// Peers told anew at a time.
const PEERS: usize = 3;

/// Sends what is due; called at a fixed pace.
pub async fn tick(core: &Core, ticks: u32) {
    let quarantine = &core.quarantine;
    quarantine.settle_uncertain(core);
    if quarantine.registry().is_empty() {
        return;
    }
    send_reports(core).await;
    judge(core);
    let records = lock(&quarantine.outbox).records();
    let alive = core.peers.datagram_addrs();
    for records in records.chunks(RECORDS) {
        for to in &alive {
            quarantine
                .send(Message::Records(records.to_vec()), *to)
                .await;
        }
    }
    if ticks.is_multiple_of(AGAIN) {
        tell_again(core, &alive, ticks / AGAIN).await;
    }
}

/// Sends what this VM saw to those first in line.
async fn send_reports(core: &Core) {
    let quarantine = &core.quarantine;
    let reports = lock(&quarantine.outbox).reports();
    if reports.is_empty() {
        return;
    }
    for to in core.peers.first(HEARERS, LINE).into_iter().flatten() {
        for reports in reports.chunks(REPORTS) {
            let reports = Message::Reports(reports.to_vec());
            quarantine.send(reports, to).await;
        }
    }
}

/// Judges trials, if this VM is first in line, and has all VMs told of what changed.
fn judge(core: &Core) {
    let quarantine = &core.quarantine;
    let is_first = core.peers.first(1, LINE) == [None];
    let news = {
        let mut registry = quarantine.registry();
        if is_first {
            for request in registry.judge(clock::now(), clock::unix_ms()) {
                super::log(request, Standing::Quarantined, registry.get(request), "own");
            }
        }
        registry.take_news()
    };
    if is_first && !news.is_empty() {
        lock(&quarantine.outbox).tell(news);
        quarantine.changed.notify_one();
    }
}

/// Tells some peers of some requests, by turns.
async fn tell_again(core: &Core, alive: &[SocketAddr], turn: u32) {
    let quarantine = &core.quarantine;
    let mut records: Vec<Record> = {
        let registry = quarantine.registry();
        registry.told(clock::unix_ms()).cloned().collect()
    };
    if records.is_empty() || alive.is_empty() {
        return;
    }
    records.sort_unstable_by_key(|record| record.fingerprint);
    let turn = turn as usize;
    let records = around(&records, turn * RECORDS, RECORDS);
    for to in around(alive, turn * PEERS, PEERS) {
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
                quarantine.hear(report, "peer");
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
        let grant = registry.ask(request, left, clock::now(), clock::unix_ms());
        Answer {
            number: ask.number,
            grant,
            record: registry.get(request).cloned(),
        }
    }

    /// Counts uncertain losses whose upstreams have left the list since.
    fn settle_uncertain(&self, core: &Core) {
        let now = clock::now();
        let mut uncertain = lock(&self.uncertain);
        if uncertain.is_empty() {
            return;
        }
        let fleet = core.fleet.lock();
        let is_gone = |lost: &Lost| {
            let known = fleet.get(&lost.upstream);
            known.is_none_or(|upstream| upstream.life != lost.ended.life)
        };
        let gone: Vec<Lost> = uncertain
            .extract_if(.., |loss| is_gone(&loss.lost))
            .map(|loss| loss.lost)
            .collect();
        uncertain.retain(|loss| now < loss.until);
        drop((fleet, uncertain));
        for lost in &gone {
            self.lost(lost);
        }
    }

    /// Sends a message, if there is a socket and the link takes it.
    pub(super) async fn send(&self, message: Message, to: SocketAddr) {
        if let Some(socket) = self.socket.get()
            && let Some(bytes) = peers::quarantine(message)
        {
            // What is lost is told again.
            drop(socket.send_to(&bytes, to).await);
        }
    }
}
