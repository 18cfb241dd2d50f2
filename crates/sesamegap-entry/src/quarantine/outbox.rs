//! Reports and records on their way to other VMs.

use super::message::Report;
use crate::peers::take_repeated;
use sesamegap_policy::quarantine::Record;

/// How often each is sent: a lost datagram costs the fleet an upstream.
const REPEATS: u8 = 3;

/// Reports and records that are still to be sent, and how often.
#[derive(Debug, Default)]
pub struct Outbox {
    reports: Vec<(Report, u8)>,
    records: Vec<(Record, u8)>,
}

impl Outbox {
    /// Sends a report to the coordinator and its replicas.
    pub fn report(&mut self, report: Report) {
        self.reports.push((report, REPEATS));
    }

    /// Sends records to all VMs, in place of older ones of the same requests.
    pub fn broadcast(&mut self, records: impl IntoIterator<Item = Record>) {
        for record in records {
            let request = record.fingerprint;
            self.records
                .retain(|(older, _)| older.fingerprint != request);
            self.records.push((record, REPEATS));
        }
    }

    /// Reports that go out now.
    pub fn reports(&mut self) -> Vec<Report> {
        take_repeated(&mut self.reports)
    }

    /// Records that go out now.
    pub fn records(&mut self) -> Vec<Record> {
        take_repeated(&mut self.records)
    }
}
