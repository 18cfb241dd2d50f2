//! Queue of reports and records to be sent to other VMs.

use super::message::Report;
use crate::peers::repeated::take_repeated;
use sesamegap_policy::quarantine::Record;

/// How many times each item is sent: if a report or record is lost, the request may crash one more upstream.
const TRANSMISSIONS: u8 = 3;

/// Reports and records, each with its number of remaining transmissions.
#[derive(Debug, Default)]
pub struct Outbox {
    reports: Vec<(Report, u8)>,
    records: Vec<(Record, u8)>,
}

impl Outbox {
    /// Queues a report for the coordinator and its replicas.
    pub fn queue_report(&mut self, report: Report) {
        self.reports.push((report, TRANSMISSIONS));
    }

    /// Queues records for all VMs, replacing queued records of the same subjects.
    pub fn queue_broadcast(&mut self, records: impl IntoIterator<Item = Record>) {
        for record in records {
            let subject = record.fingerprint;
            self.records
                .retain(|(older, _)| older.fingerprint != subject);
            self.records.push((record, TRANSMISSIONS));
        }
    }

    /// Returns the reports to send now, and counts them as sent once.
    pub fn take_reports(&mut self) -> Vec<Report> {
        take_repeated(&mut self.reports)
    }

    /// Returns the records to send now, and counts them as sent once.
    pub fn take_records(&mut self) -> Vec<Record> {
        take_repeated(&mut self.records)
    }
}
