//! The log: batches, waiting reads, retention, outages, lost answers.

use crate::support::{plan, platform_limits, settings, start, url};
use bytes::Bytes;
use sesamegap_platform::{HttpLog, Log, Reason};
use sesamegap_standin::{Deployment, Fault, Hit};
use sesamegap_wire::{Offset, StreamId};
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(5);

fn client(deployment: &Deployment) -> HttpLog {
    HttpLog::new(url(deployment.addresses().log), settings())
}

fn stream() -> StreamId {
    "settings".parse().unwrap()
}

fn bodies(texts: &[&'static str]) -> Vec<Bytes> {
    texts
        .iter()
        .map(|text| Bytes::from_static(text.as_bytes()))
        .collect()
}

async fn read_all(log: &HttpLog) -> Vec<Bytes> {
    let page = log
        .read(&stream(), Offset(0), Duration::ZERO)
        .await
        .unwrap();
    page.records.into_iter().map(|record| record.body).collect()
}

#[tokio::test]
async fn a_batch_is_read_back_in_order() {
    let deployment = start(plan()).await;
    let log = client(&deployment);
    let first = log.append(&stream(), bodies(&["a", "b"])).await.unwrap();
    let second = log.append(&stream(), bodies(&["c"])).await.unwrap();
    assert_eq!((first, second), (Offset(0), Offset(2)));
    let page = log.read(&stream(), Offset(1), WAIT).await.unwrap();
    let offsets: Vec<_> = page.records.iter().map(|record| record.offset.0).collect();
    assert_eq!(
        (offsets, page.next, page.end),
        (vec![1, 2], Offset(3), Offset(3))
    );
    assert_eq!(read_all(&log).await, bodies(&["a", "b", "c"]));
}

#[tokio::test]
async fn a_read_waits_for_the_next_record() {
    let deployment = start(plan()).await;
    let log = client(&deployment);
    let name = stream();
    let (page, offset) = tokio::join!(
        log.read(&name, Offset(0), WAIT),
        log.append(&name, bodies(&["late"])),
    );
    assert_eq!(offset.unwrap(), Offset(0));
    assert_eq!(page.unwrap().records.len(), 1);
    let empty = log.read(&name, Offset(1), Duration::from_millis(5)).await;
    assert_eq!(empty.unwrap().next, Offset(1));
}

/// The append takes effect and its answer is lost. A writer that took the silence for a failure
/// would append twice; the error must say that nobody knows.
#[tokio::test]
async fn a_lost_answer_is_unknown_and_took_effect() {
    let deployment = start(plan()).await;
    let log = client(&deployment);
    deployment
        .fault(Hit::once(Fault::LogLostAnswer), None)
        .unwrap();
    let error = log.append(&stream(), bodies(&["once"])).await.unwrap_err();
    assert_eq!(error.reason(), Reason::Unknown);
    assert_eq!(read_all(&log).await, bodies(&["once"]));
}

/// A reader was away for longer than the log keeps records. It must be told where to start again,
/// or it would take a stream with a hole for the whole of it.
#[tokio::test]
async fn records_dropped_by_retention_are_named() {
    let deployment = start(plan()).await;
    let log = client(&deployment);
    log.append(&stream(), bodies(&["a", "b", "c"]))
        .await
        .unwrap();
    deployment.expire(&stream(), Offset(2));
    let error = log.read(&stream(), Offset(0), WAIT).await.unwrap_err();
    assert_eq!(error.reason(), Reason::Expired(Offset(2)));
    let page = log.read(&stream(), Offset(2), WAIT).await.unwrap();
    assert_eq!(page.records[0].body, "c");
}

#[tokio::test]
async fn old_records_expire_by_themselves() {
    let mut limits = platform_limits();
    limits.retention = Duration::ZERO;
    let deployment = start(plan().platform(limits)).await;
    let log = client(&deployment);
    log.append(&stream(), bodies(&["a"])).await.unwrap();
    let error = log.read(&stream(), Offset(0), WAIT).await.unwrap_err();
    assert_eq!(error.reason(), Reason::Expired(Offset(1)));
}

/// The log is out. Nothing is written to it meanwhile, callers may say so, and it comes back with
/// all it had.
#[tokio::test]
async fn an_outage_takes_nothing_and_loses_nothing() {
    let deployment = start(plan()).await;
    let log = client(&deployment);
    log.append(&stream(), bodies(&["before"])).await.unwrap();
    deployment.set_log_down(true);
    loop {
        let error = log
            .append(&stream(), bodies(&["during"]))
            .await
            .unwrap_err();
        // The first one may still find the old connection, and learn nothing from its end.
        if error.reason() == Reason::Unreached {
            break;
        }
    }
    deployment.set_log_down(false);
    while log.append(&stream(), bodies(&["after"])).await.is_err() {}
    assert_eq!(read_all(&log).await, bodies(&["before", "after"]));
}

/// The log answers far too late. Whether the append is in cannot be known from here.
#[tokio::test]
async fn a_slow_log_leaves_an_append_unknown() {
    let deployment = start(plan()).await;
    let log = client(&deployment);
    deployment.fault(Hit::once(Fault::LogSlow), None).unwrap();
    let error = log.append(&stream(), bodies(&["slow"])).await.unwrap_err();
    assert_eq!(error.reason(), Reason::Unknown);
}

/// More appends than the log takes: those refused must not be in it, or a retry would double them.
#[tokio::test]
async fn appends_above_the_limit_are_refused_and_not_taken() {
    let mut limits = platform_limits();
    limits.appends = 4;
    let deployment = start(plan().platform(limits)).await;
    let log = client(&deployment);
    let mut taken = 0;
    for _ in 0..20 {
        match log.append(&stream(), bodies(&["x"])).await {
            Ok(_) => taken += 1,
            Err(error) => assert_eq!(error.reason(), Reason::Refused),
        }
    }
    assert!(taken < 20);
    assert_eq!(read_all(&log).await.len(), taken);
}
