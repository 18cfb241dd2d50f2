use crate::support::{Act, Process, Upstream, ask, unused_addr};

/// The response to a save is lost in one of several ways after the worker may have run it. A retry could save
/// twice, and so could the caller if it were told that the save did not run.
#[tokio::test]
async fn a_save_that_may_have_run_is_neither_retried_nor_reported_as_not_run() {
    let acts = [
        Act::Close,
        Act::Half,
        Act::Garbage,
        Act::OtherId,
        Act::Unsealed,
        Act::MisleadingStatus(503),
        Act::MisleadingStatus(429),
        Act::MisleadingStatus(408),
    ];
    for act in acts {
        let process = Process::new().await;
        let one = Upstream::start(vec![act.clone()]).await;
        let two = Upstream::start(vec![act.clone()]).await;
        process.add("w1", "desk", one.addr);
        process.add("w2", "desk", two.addr);
        let answer = ask(process.callers, "POST", "/save/", "", "form").await;
        assert_eq!(answer.status, 502, "{act:?}");
        assert!(answer.header("x-seal").is_none(), "{act:?}");
        assert_eq!(one.seen().len() + two.seen().len(), 1, "{act:?}");
    }
}

/// A worker is gone but still listed. Nothing was sent to it, so the save may be retried elsewhere.
#[tokio::test]
async fn a_save_is_retried_after_a_refused_connection() {
    let process = Process::new().await;
    let good = Upstream::start(vec![Act::Answer(200, "saved")]).await;
    process.add("w1", "desk", unused_addr());
    process.add("w2", "desk", good.addr);
    for _ in 0..4 {
        let answer = ask(process.callers, "POST", "/save/", "", "form").await;
        assert_eq!(answer.body, "saved");
    }
}

/// A full worker reports that it did not run the save, and another has a free slot.
#[tokio::test]
async fn a_save_that_did_not_run_is_retried_at_another_worker() {
    let process = Process::new().await;
    let full = Upstream::start(vec![Act::NotRun(503)]).await;
    let good = Upstream::start(vec![Act::Answer(200, "saved")]).await;
    process.add("w1", "desk", full.addr);
    process.add("w2", "desk", good.addr);
    for _ in 0..4 {
        let answer = ask(process.callers, "POST", "/save/", "", "form").await;
        assert_eq!(answer.body, "saved");
    }
}

/// All workers are full. The caller must learn at once that its save did not run and when to retry.
#[tokio::test]
async fn a_save_refused_by_all_workers_gets_a_retry_after() {
    let process = Process::new().await;
    for id in ["w1", "w2"] {
        let full = Upstream::start(vec![Act::NotRun(503)]).await;
        process.add(id, "desk", full.addr);
    }
    let answer = ask(process.callers, "POST", "/save/", "", "form").await;
    assert_eq!(answer.status, 503);
    let retry_after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!(retry_after > 0.0 && retry_after < 2.0, "{retry_after}");
}

/// A new worker has the address of one that is gone. It must not run a save meant for the old worker, and
/// refuses it with 421.
#[tokio::test]
async fn a_save_for_a_replaced_worker_is_retried_at_another() {
    let process = Process::new().await;
    let other = Upstream::start(vec![Act::NotRun(421)]).await;
    let good = Upstream::start(vec![Act::Answer(200, "saved")]).await;
    process.add("w1", "desk", other.addr);
    process.add("w2", "desk", good.addr);
    let answer = ask(process.callers, "POST", "/save/", "", "form").await;
    assert_eq!(answer.body, "saved");
    let seen = good.seen();
    assert!(seen[0].contains("x-meant: w2"), "{seen:?}");
}
