use crate::support::{Act, Process, Upstream, ask, unused_addr};

/// A save's answer is lost in one of many ways after the worker may have run it. A second run
/// would file it twice; "not run" would make the clerk do so.
#[tokio::test]
async fn a_save_that_may_have_run_is_neither_repeated_nor_called_not_run() {
    let acts = [
        Act::Close,
        Act::Half,
        Act::Garbage,
        Act::OtherId,
        Act::Unsealed,
        Act::FalsePromise(503),
        Act::FalsePromise(429),
        Act::FalsePromise(408),
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

/// A worker is gone but still listed. Nothing was written to it, so the save may go elsewhere.
#[tokio::test]
async fn a_save_goes_on_after_a_connection_that_was_refused() {
    let process = Process::new().await;
    let good = Upstream::start(vec![Act::Answer(200, "saved")]).await;
    process.add("w1", "desk", unused_addr());
    process.add("w2", "desk", good.addr);
    for _ in 0..4 {
        let answer = ask(process.callers, "POST", "/save/", "", "form").await;
        assert_eq!(answer.body, "saved");
    }
}

/// A full worker says that it did not run the save, and another has room.
#[tokio::test]
async fn a_save_that_was_not_run_goes_to_another_worker() {
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

/// All workers are full. The caller must learn at once that its save was not run, and when to try
/// again.
#[tokio::test]
async fn a_save_that_nobody_ran_is_refused_with_a_time_to_come_back() {
    let process = Process::new().await;
    for id in ["w1", "w2"] {
        let full = Upstream::start(vec![Act::NotRun(503)]).await;
        process.add(id, "desk", full.addr);
    }
    let answer = ask(process.callers, "POST", "/save/", "", "form").await;
    assert_eq!(answer.status, 503);
    let back: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!(back > 0.0 && back < 2.0, "{back}");
}

/// Another worker has taken over the address of one that is gone. It must not run the save under
/// the other's name, and says so.
#[tokio::test]
async fn a_save_for_a_worker_that_moved_goes_elsewhere() {
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
